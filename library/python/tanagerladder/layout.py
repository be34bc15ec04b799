"""Places VMs in zones and racks."""

from typing import NamedTuple

from .checks import DocumentError
from .checks import check_address
from .checks import check_name
from .document import add_vm


class Endpoint(NamedTuple):
    """Name of a VM and the address of its endpoint."""

    name: str
    address: str


def generate_endpoints(prefix, count, first_port):
    """Returns endpoints on 127.0.0.1 with consecutive ports."""
    return [
        Endpoint(f"{prefix}-{index:02}", f"127.0.0.1:{first_port + index}")
        for index in range(count)
    ]


def read_endpoints(path):
    """Reads endpoints from the lines ``endpoint NAME ADDR`` of a file.

    Other lines are ignored, so that the output of a program that starts endpoints can be used.
    """
    endpoints = []
    try:
        with open(path, encoding="utf-8") as lines:
            for number, line in enumerate(lines, 1):
                words = line.split()
                if not words or words[0] != "endpoint":
                    continue
                if len(words) != 3:
                    raise DocumentError(f"{path}:{number}: endpoint NAME ADDR is required")
                check_name(f"{path}:{number}: endpoint", words[1])
                address = check_address(f"{path}:{number}: endpoint {words[1]}", words[2])
                endpoints.append(Endpoint(words[1], address))
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError(f"{path}: {error}") from error
    return endpoints


def add_spread_vms(document, sizes, zones, endpoints, slots, rack_size):
    """Adds VMs to pools of the given sizes.

    Each rack has ``rack_size`` VMs, and the racks are assigned to the zones in turn. The VMs of a
    pool are spread over them, so that the loss of a rack or zone affects few VMs of each pool.
    """
    count = sum(sizes.values())
    if len(endpoints) != count:
        raise DocumentError(f"the pools need {count} endpoints, but {len(endpoints)} are given")
    if not zones or rack_size < 1:
        raise DocumentError("at least one zone and a rack size of at least 1 are required")
    unplaced = dict(sizes)
    placed = dict.fromkeys(sizes, 0)
    for index, endpoint in enumerate(endpoints):
        # Selects the pool that is furthest behind its share of the VMs placed so far.
        pool = max(
            (pool for pool in sizes if unplaced[pool] > 0),
            key=lambda pool: sizes[pool] * (index + 1) - placed[pool] * count,
        )
        unplaced[pool] -= 1
        placed[pool] += 1
        rack = index // rack_size
        zone = zones[rack % len(zones)]
        number = rack // len(zones) + 1
        address = endpoint.address
        add_vm(document, endpoint.name, address, pool, zone, f"{zone}-rack-{number}", slots)
