"""What an entry may hold for its callers: bodies, heads and answers, within the host's memory."""

from bilberryplank_core.memory._budget import UNFINISHED_SHARE, CallerBudget, Holding, Pool
from bilberryplank_core.memory._discard_bound import DiscardBound
from bilberryplank_core.memory._held_bytes import HeldBytes
from bilberryplank_core.memory._host_limits import (
    budget_bytes,
    connection_limits,
    receive_buffer_bytes,
)

__all__ = [
    "CallerBudget",
    "DiscardBound",
    "HeldBytes",
    "Holding",
    "Pool",
    "UNFINISHED_SHARE",
    "budget_bytes",
    "connection_limits",
    "receive_buffer_bytes",
]
