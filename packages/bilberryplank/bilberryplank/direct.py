"""An entry that calls its upstreams itself."""

from bilberryplank._answer_bounds import BoundedConnector
from bilberryplank._bounded_output import BoundedOutput
from bilberryplank._clocks import boot_time
from bilberryplank._direct_entry import DirectEntry, run_direct_entry
from bilberryplank._direct_members import MEMBERS_TABLE
from bilberryplank._era_table import EraTable
from bilberryplank._guarded_http import GuardedClient
from bilberryplank._header_fields import forwarded_fields
from bilberryplank._platform_http import ServiceClient
from bilberryplank._usage_store import COUNTS_TABLE

__all__ = [
    "BoundedOutput",
    "COUNTS_TABLE",
    "DirectEntry",
    "EraTable",
    "GuardedClient",
    "MEMBERS_TABLE",
    "ServiceClient",
    "boot_time",
    "BoundedConnector",
    "forwarded_fields",
    "run_direct_entry",
]
