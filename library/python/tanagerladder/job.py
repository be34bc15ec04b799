"""Builds and prints jobs for ``tanagerladder submit-job``.

The schema is ``JobSpec`` of the crate ``tanager-jobs``; durations are in milliseconds.
"""

import json
import sys

from .checks import MAX_U32
from .checks import MAX_U64
from .checks import DocumentError
from .checks import check_number

# Maximum number of tasks in all steps of a job that the service accepts.
MAX_TASKS = 20_000
FLAG_FIELDS = ("checkpointing", "gang", "same_rack", "speculative", "long_running", "fills")
NUMBER_FIELDS = ("anti_affinity", "may_miss", "target_ms")
TEXT_FIELDS = ("requirement", "affinity", "image")


def new_job(specification, repetitions=0, first_run_ms=0, interval_ms=0):
    """Creates a job without steps. Each of its tasks is started with ``specification``.

    ``first_run_ms`` and ``interval_ms`` are in milliseconds.
    """
    if not isinstance(specification, str):
        raise DocumentError("specification: must be a string")
    job = {"specification": specification, "steps": []}
    schedule = {
        "repetitions": (repetitions, MAX_U32),
        "first_run_ms": (first_run_ms, MAX_U64),
        "interval_ms": (interval_ms, MAX_U64),
    }
    for name, (value, maximum) in schedule.items():
        check_number(name, value, 0, maximum)
        if value:
            job[name] = value
    return job


def add_step(job, count, cpu, memory_mb, gpu=0, estimated_ms=0, after=(), **options):
    """Adds a step of ``count`` tasks and returns its number.

    ``cpu`` is in thousandths of a core, ``memory_mb`` in MB and ``estimated_ms`` in milliseconds.
    ``after`` lists the numbers of earlier steps that this step depends on. Options are the fields
    of ``StepSpec``, such as ``gang=True`` or ``affinity="rack-1"``.
    """
    number = len(job["steps"])
    name = f"step {number}"
    task_count = sum(step["count"] for step in job["steps"])
    check_number(f"{name}, count", count, 1, MAX_TASKS - task_count)
    request = {"cpu": cpu, "memory_mb": memory_mb, "gpu": gpu}
    for field, value in {**request, "estimated_ms": estimated_ms}.items():
        check_number(f"{name}, {field}", value, 0, MAX_U64)
    for earlier in after:
        if earlier not in range(number):
            raise DocumentError(f"{name} is after step {earlier!r}, which is not earlier")
    step = {"count": count, "request": request, "estimated_ms": estimated_ms}
    if after:
        step["after"] = list(after)
    for field, value in options.items():
        _check_option(name, field, value)
        step[field] = value
    job["steps"].append(step)
    return number


def print_job(job, file=None):
    """Prints a job as JSON. The job must have at least one step."""
    if not job["steps"]:
        raise DocumentError("a job needs at least one step")
    json.dump(job, file or sys.stdout, indent=2)
    (file or sys.stdout).write("\n")


def _check_option(name, field, value):
    if field in FLAG_FIELDS:
        if not isinstance(value, bool):
            raise DocumentError(f"{name}, {field}: must be True or False, not {value!r}")
    elif field in NUMBER_FIELDS:
        check_number(f"{name}, {field}", value, 0, MAX_U32)
    elif field in TEXT_FIELDS:
        if not isinstance(value, str) or not value:
            raise DocumentError(f"{name}, {field}: must be a non-empty string, not {value!r}")
    else:
        raise DocumentError(f"{name}: {field!r} is not a known field")
