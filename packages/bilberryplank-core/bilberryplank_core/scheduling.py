"""Scheduling at a sidecar: request queues, fencing and stored answers."""

from bilberryplank_core._attempt_records import AttemptRecords
from bilberryplank_core._estimates import OutputLengthEstimator
from bilberryplank_core._fences import FenceRegister, FenceStale, FenceUnlearned
from bilberryplank_core._queue import TieredQueue
from bilberryplank_core._queue_baseline import FifoQueue
from bilberryplank_core._queue_policy import TieredQueuePolicy
from bilberryplank_core._queue_types import QueuedRequest, Rejection, RequestQueue
from bilberryplank_core._settlement import (
    DispatchStatus,
    KeptAnswer,
    NeverRan,
    Running,
    Settlement,
    Undecidable,
)

__all__ = [
    "FenceRegister",
    "FenceStale",
    "FenceUnlearned",
    "FifoQueue",
    "KeptAnswer",
    "AttemptRecords",
    "NeverRan",
    "OutputLengthEstimator",
    "QueuedRequest",
    "DispatchStatus",
    "Rejection",
    "RequestQueue",
    "Running",
    "Settlement",
    "TieredQueuePolicy",
    "TieredQueue",
    "Undecidable",
]
