"""What the processes share: configuration, membership, leases, orders, usage, scaling."""

from bilberryplank_core._configuration_delta import ConfigurationDelta
from bilberryplank_core._configuration_holder import ConfigurationHolder
from bilberryplank_core._configuration_store import ConfigurationHead, ConfigurationStore
from bilberryplank_core._leases import LeaseGuard, LeaseHolder, LeaseRow
from bilberryplank_core._pollers import PollSchedule, polls
from bilberryplank_core._ranking import is_ranked, ranked, weight

__all__ = [
    "ConfigurationDelta",
    "ConfigurationHead",
    "ConfigurationHolder",
    "ConfigurationStore",
    "LeaseGuard",
    "LeaseHolder",
    "LeaseRow",
    "PollSchedule",
    "is_ranked",
    "polls",
    "ranked",
    "weight",
]
