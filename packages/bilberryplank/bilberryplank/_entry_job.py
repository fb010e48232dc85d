"""Jobs under a lease that only entries do."""

from __future__ import annotations

from bilberryplank._lease_job import LeaseJob
from bilberryplank_core.world import Host, Role


class EntryJob(LeaseJob):
    """Contends where this entry ranks among the first entries, whatever sidecars there are."""

    abstract = True

    def may_run_on(self, host: Host) -> bool:
        """Returns True for entries."""
        return host.role is Role.ENTRY
