"""HTTP client of engines."""

from bilberryplank._engine_http import HttpEngineControl

__all__ = ["HttpEngineControl"]
