"""Prints the configuration of the Nilebite site: 4 zones, 5 pools, 50 workers.

Usage: python3 nilebite.py [--endpoints FILE]
"""

import sys

from example import ladder
from example import print_example

ZONES = ["nilebite-a", "nilebite-b", "nilebite-c", "nilebite-d"]
SIZES = {
    "counter-requests": 12,
    "grind-planning": 10,
    "photo-inspection": 11,
    "rescue-intake": 9,
    "spare": 8,
}
OWNERS = {
    "counter-requests": "counter",
    "grind-planning": "planning",
    "photo-inspection": "inspection",
    "rescue-intake": "rescue",
    "spare": "",
}


def build():
    """Builds the document without VMs."""
    document = ladder.new_document("nilebite")
    for team in filter(None, OWNERS.values()):
        ladder.add_team(document, team)
    # The cost of reserves has priority at this site: floors are lower than at a site that keeps
    # reserves, and the spare pool may be emptied. The floor of rescue-intake is two thirds of its
    # VMs, and its requests must not run twice.
    for pool, floor in zip(SIZES, (7, 5, 5, 6, 0)):
        require_key = pool == "rescue-intake"
        ladder.add_pool(document, pool, floor, owner=OWNERS[pool], require_key=require_key)
    # Photos are inspected in batches; a longer wait costs less than more VMs.
    document["pools"]["photo-inspection"]["queue_limits"]["batch_ms"] = 300_000
    for pool, team in OWNERS.items():
        if team:
            ladder.set_quota(document, pool, team, rate=400, burst=2_000)
    return document


if __name__ == "__main__":
    sys.exit(print_example(build, __doc__, "nilebite", SIZES, ZONES, first_port=22_000))
