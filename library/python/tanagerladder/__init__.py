"""Builds configuration documents and jobs of tanagerladder and prints them as JSON.

The schema of documents is ``ConfigDocument`` of the crate ``tanager-protocol``; durations are in
milliseconds. Every function raises ``DocumentError`` with a message that names the invalid object.
"""

from .document import DocumentError
from .document import add_pool
from .document import add_team
from .document import add_vm
from .document import check_document
from .document import hash_token
from .document import new_document
from .document import print_document
from .document import set_quota
from .job import add_step
from .job import new_job
from .job import print_job
from .layout import Endpoint
from .layout import add_spread_vms
from .layout import generate_endpoints
from .layout import read_endpoints

__all__ = [
    "DocumentError",
    "Endpoint",
    "add_pool",
    "add_spread_vms",
    "add_step",
    "add_team",
    "add_vm",
    "check_document",
    "generate_endpoints",
    "hash_token",
    "new_document",
    "new_job",
    "print_document",
    "print_job",
    "read_endpoints",
    "set_quota",
]
