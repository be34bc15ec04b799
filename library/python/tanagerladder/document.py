"""Builds, checks and prints configuration documents."""

import hashlib
import json
import sys

from .checks import MAX_U32
from .checks import MAX_U64
from .checks import DocumentError
from .checks import check_address
from .checks import check_digest
from .checks import check_name
from .checks import check_number
from .checks import check_path

MAX_SLOTS = 1024
SECTIONS = ("site", "pools", "vms", "teams")
POOL_FIELDS = ("owner", "floor", "probe_path", "queue_limits", "quotas", "require_key")
LIMIT_FIELDS = ("urgent_ms", "normal_ms", "batch_ms")
QUOTA_FIELDS = ("rate", "burst", "weight")
VM_FIELDS = ("address", "pool", "zone", "rack", "slots")
TEAM_FIELDS = ("token_sha256",)


def new_document(site):
    """Creates a document without pools, VMs and teams."""
    check_name("site", site)
    return {"site": site, "pools": {}, "vms": {}, "teams": {}}


def hash_token(token):
    """Returns the SHA-256 digest of a team's token, for ``add_team``."""
    if not token:
        raise DocumentError("a token must not be empty")
    return hashlib.sha256(token.encode()).hexdigest()


def add_team(document, team, token_sha256=""):
    """Adds a team. Without a token digest it has no access to the administration API."""
    check_name("team", team)
    check_digest(f"team {team}", token_sha256)
    _add_entry(document["teams"], "team", team, {"token_sha256": token_sha256})


def add_pool(
    document,
    pool,
    floor,
    owner="",
    probe_path="/health",
    urgent_ms=9_900,
    normal_ms=30_000,
    batch_ms=120_000,
    require_key=False,
):
    """Adds a pool; planned work leaves at least ``floor`` of its VMs available.

    The queue limits ``urgent_ms``, ``normal_ms`` and ``batch_ms`` are in milliseconds.
    """
    config = {
        "owner": owner,
        "floor": floor,
        "probe_path": probe_path,
        "queue_limits": {"urgent_ms": urgent_ms, "normal_ms": normal_ms, "batch_ms": batch_ms},
        "quotas": {},
        "require_key": require_key,
    }
    _check_pool(document, pool, config)
    _add_entry(document["pools"], "pool", pool, config)


def set_quota(document, pool, team, rate, burst, weight=1):
    """Limits the requests of a team in a pool.

    ``rate`` is in requests per second; ``burst`` is the number of requests at once above it.
    """
    if pool not in document["pools"]:
        raise DocumentError(f"quota of team {team}: pool {pool} is not in the document")
    quota = {"rate": rate, "burst": burst, "weight": weight}
    _check_quota(document, pool, team, quota)
    document["pools"][pool]["quotas"][team] = quota


def add_vm(document, vm, address, pool, zone, rack, slots):
    """Adds a VM whose endpoint runs up to ``slots`` requests concurrently."""
    config = {"address": address, "pool": pool, "zone": zone, "rack": rack, "slots": slots}
    config["address"] = _check_vm(document, vm, config)
    _add_entry(document["vms"], "vm", vm, config)


def check_document(document):
    """Checks a complete document, for example after it was edited by hand."""
    _check_fields("document", document, SECTIONS)
    check_name("site", document["site"])
    for section in SECTIONS[1:]:
        if not isinstance(document[section], dict):
            raise DocumentError(f"{section}: an object keyed by name is required")
    for team, config in document["teams"].items():
        check_name("team", team)
        _check_fields(f"team {team}", config, TEAM_FIELDS)
        check_digest(f"team {team}", config["token_sha256"])
    for pool, config in document["pools"].items():
        _check_pool(document, pool, config)
        for team, quota in config["quotas"].items():
            _check_quota(document, pool, team, quota)
    addresses = {}
    for vm, config in document["vms"].items():
        address = _check_vm(document, vm, config)
        if address in addresses:
            raise DocumentError(f"vm {vm}: address {address} is used by vm {addresses[address]}")
        addresses[address] = vm


def print_document(document, stream=None):
    """Checks the document and prints it as JSON; prints nothing if it is invalid."""
    check_document(document)
    text = json.dumps(document, indent=2, sort_keys=True, allow_nan=False)
    (stream or sys.stdout).write(text + "\n")


def _add_entry(section, label, name, config):
    if name in section:
        raise DocumentError(f"{label} {name}: is already in the document")
    section[name] = config


def _contains_name(section, name):
    # A value of another type may not be hashable.
    return isinstance(name, str) and name in section


def _check_fields(label, value, fields):
    if not isinstance(value, dict):
        raise DocumentError(f"{label}: an object is required")
    for field in fields:
        if field not in value:
            raise DocumentError(f"{label}: {field} is missing")
    for field in value:
        if field not in fields:
            raise DocumentError(f"{label}: {field!r} is not a known field")


def _check_pool(document, pool, config):
    check_name("pool", pool)
    label = f"pool {pool}"
    _check_fields(label, config, POOL_FIELDS)
    owner = config["owner"]
    if owner != "" and not _contains_name(document["teams"], owner):
        raise DocumentError(f"{label}: owner {owner} is not a team")
    check_number(f"{label}: floor", config["floor"], 0, MAX_U32)
    check_path(label, config["probe_path"])
    _check_fields(f"{label}: queue_limits", config["queue_limits"], LIMIT_FIELDS)
    for field in LIMIT_FIELDS:
        check_number(f"{label}: {field}", config["queue_limits"][field], 1, MAX_U64)
    if not isinstance(config["quotas"], dict):
        raise DocumentError(f"{label}: quotas: an object keyed by team is required")
    if not isinstance(config["require_key"], bool):
        raise DocumentError(f"{label}: require_key must be True or False")


def _check_quota(document, pool, team, quota):
    label = f"pool {pool}: quota of team {team}"
    if team not in document["teams"]:
        raise DocumentError(f"{label}: the team is not in the document")
    _check_fields(label, quota, QUOTA_FIELDS)
    for field in QUOTA_FIELDS:
        minimum = 1 if field == "weight" else 0
        check_number(f"{label}: {field}", quota[field], minimum, MAX_U32)


def _check_vm(document, vm, config):
    check_name("vm", vm)
    label = f"vm {vm}"
    _check_fields(label, config, VM_FIELDS)
    if not _contains_name(document["pools"], config["pool"]):
        raise DocumentError(f"{label}: pool {config['pool']} is not in the document")
    check_name(f"{label}: zone", config["zone"])
    check_name(f"{label}: rack", config["rack"])
    check_number(f"{label}: slots", config["slots"], 1, MAX_SLOTS)
    return check_address(label, config["address"])
