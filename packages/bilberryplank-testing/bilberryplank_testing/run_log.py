"""Log of everything that a fake received."""

from bilberryplank_testing._run_log import LogEntry, RunEnd, RunLog

__all__ = ["LogEntry", "RunEnd", "RunLog"]
