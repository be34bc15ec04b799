"""A worker is emptied and taken away, and the cell of a lasting job has no other one left; checks LOST."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from site_standin import Site, has_trouble, run_case  # noqa: E402

WORKERS = 16
LASTING = {"specification": "lasts", "steps": [
    {"count": 8, "cpu": 1000, "memory_request_mb": 1024, "estimated_ms": 700, "anti_affinity": 1,
     "long_running": True, "may_miss": 1}]}
JOB = "00000000000000a1"


async def main():
    site = Site(os.path.join(HERE, "record.txt"), [("service-a", WORKERS)], 3)
    await site.start()
    try:
        site.put_config(1, [("/lasting/", "service-a", 2)])
        await asyncio.sleep(1.2)
        await site.start_nodes()
        await asyncio.sleep(2.0)
        assert await site.submit(site.nodes[0], "/lasting/", JOB, LASTING) == 200
        await asyncio.sleep(3.0)
        used = [worker for worker in site.workers if worker.running]
        site.record.write("state: %d of 8 subtasks run, each on a worker of its own" % len(used))
        assert len(used) == 8
        if has_trouble():
            await site.scale_in(used[3])
        await asyncio.sleep(18.0)
        running = {run.task for worker in site.workers for run in worker.running.values()}
        away = [task for task in ("%s.0.0.%d" % (JOB, index) for index in range(8)) if task not in running]
        free = [worker.id for worker in site.workers if not worker.running and worker.is_up]
        for task in away:
            last = max(run.ended for run in site.runs if run.task == task)
            site.record.write("rule LOST: %s is to last and hasn't run for %.1f s; sound workers without a subtask of its "
                              "step: %s" % (task, site.record.now() - last, free))
        site.record.write("LOST: %d of 8 subtasks that last don't run" % len(away))
        print("away %d, free workers %d" % (len(away), len(free)))
        return 1 if away and len(free) >= 2 else 0
    finally:
        await site.stop()


run_case(main)
