"""Logs of a process."""

from bilberryplank._logs import configure_logs, format_pair, format_value, log_event

__all__ = ["configure_logs", "format_pair", "format_value", "log_event"]
