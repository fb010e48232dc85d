"""The operators' HTTP port of a process."""

from bilberryplank._operations_server import (
    OperationsServer,
    ProcessStatus,
    Readiness,
    StatusProvider,
    UpstreamStatus,
)

__all__ = [
    "OperationsServer",
    "ProcessStatus",
    "Readiness",
    "StatusProvider",
    "UpstreamStatus",
]
