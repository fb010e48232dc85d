"""Timing and output of the fleet's measurements."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import Any

ROUNDS = 3
MILLISECONDS = 1e3
MICROSECONDS = 1e6


def show(name: str, **values: Any) -> None:
    """Prints one measurement."""
    parts = [f"{key}={_shown(value)}" for key, value in values.items()]
    print(name, *parts, flush=True)


def _shown(value: Any) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def least(action: Callable[[], Any]) -> float:
    """Returns the least time of several runs in seconds."""
    times = []
    for _ in range(ROUNDS):
        gc.collect()
        start = time.perf_counter()
        action()
        times.append(time.perf_counter() - start)
    return min(times)
