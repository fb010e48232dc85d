"""Random sources and names of a process."""

from __future__ import annotations

import random
import secrets

EPOCH_BYTES = 8


def new_epoch() -> str:
    """Returns a random id of this run of a process."""
    return secrets.token_hex(EPOCH_BYTES)


def process_rng(name: str) -> random.Random:
    """Returns a random source that differs between processes and between their runs."""
    return random.Random(f"{name}/{secrets.token_hex(8)}")
