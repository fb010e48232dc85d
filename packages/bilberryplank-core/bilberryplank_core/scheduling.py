"""Scheduling at a sidecar: the queue, its baseline, fences and kept answers."""

from bilberryplank_core._queue import TieredPolicy, TieredQueue
from bilberryplank_core._queue_baseline import FifoQueue
from bilberryplank_core._queue_types import QueuedRequest, Rejection, RequestQueue

__all__ = [
    "FifoQueue",
    "QueuedRequest",
    "Rejection",
    "RequestQueue",
    "TieredPolicy",
    "TieredQueue",
]
