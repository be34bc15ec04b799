"""Argument parsing and error handling that the examples share."""

import argparse
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

import tanagerladder as ladder  # noqa: E402

SLOTS = 8
RACK_SIZE = 4


def print_example(build, description, prefix, sizes, zones, first_port):
    """Builds and prints the document of a site. Returns the exit code."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        "--endpoints",
        metavar="FILE",
        help="file with lines 'endpoint NAME ADDR'; default: generated ports of 127.0.0.1",
    )
    arguments = parser.parse_args()
    try:
        document = build()
        if arguments.endpoints:
            endpoints = ladder.read_endpoints(arguments.endpoints)
        else:
            endpoints = ladder.generate_endpoints(prefix, sum(sizes.values()), first_port)
        ladder.add_spread_vms(document, sizes, zones, endpoints, SLOTS, RACK_SIZE)
        ladder.print_document(document)
    except ladder.DocumentError as error:
        print(f"{os.path.basename(sys.argv[0])}: {error}", file=sys.stderr)
        return 2
    return 0
