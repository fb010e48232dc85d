"""Jobs under a lease that only entries do."""

from __future__ import annotations

from bilberryplank._lease_job import LeaseJob
from bilberryplank_core.fleet import is_ranked
from bilberryplank_core.world import HostState, Role


class EntryJob(LeaseJob):
    """Contends where this entry ranks among the first entries, whatever sidecars there are."""

    abstract = True

    def contends(self) -> bool:
        """Returns True where this entry is among the few that try to get the lease."""
        entries = [host for host in self._hosts.hosts if host.role is Role.ENTRY]
        names = [host.name for host in entries if host.state is HostState.LIVE]
        job = f"lease/{self.lease.name}"
        return is_ranked(job, self._name, names, self._settings.lease_candidates)
