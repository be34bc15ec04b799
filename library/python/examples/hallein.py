"""Prints the configuration of the Hallein site: 3 zones, 5 pools, 50 workers.

Usage: python3 hallein.py [--endpoints FILE]
"""

import sys

from example import ladder
from example import print_example

ZONES = ["hallein-a", "hallein-b", "hallein-c"]
SIZES = {
    "diary-intake": 12,
    "case-files": 11,
    "evidence-media": 10,
    "hearing-preparation": 9,
    "spare": 8,
}
TEAMS = ["registry", "records", "media-desk", "hearings"]


def build():
    """Builds the document without VMs."""
    document = ladder.new_document("hallein")
    for team in TEAMS:
        ladder.add_team(document, team)
    # The floors leave one rack of VMs for planned work. Requests of diary-intake must not run
    # twice.
    ladder.add_pool(document, "diary-intake", floor=9, owner="registry", require_key=True)
    ladder.add_pool(document, "case-files", floor=8, owner="records")
    ladder.add_pool(document, "evidence-media", floor=7, owner="media-desk")
    ladder.add_pool(document, "hearing-preparation", floor=6, owner="hearings")
    ladder.add_pool(document, "spare", floor=0)
    # Protection against floods of requests has priority at this site: the owner of a pool has four
    # times the share of other teams.
    for pool, owner in zip(SIZES, TEAMS):
        for team in TEAMS:
            if team == owner:
                ladder.set_quota(document, pool, team, rate=400, burst=2_000, weight=4)
            else:
                ladder.set_quota(document, pool, team, rate=100, burst=500)
    return document


if __name__ == "__main__":
    sys.exit(print_example(build, __doc__, "hallein", SIZES, ZONES, first_port=21_000))
