"""Random sources of a process."""

from __future__ import annotations

import random
import secrets


def process_rng(name: str) -> random.Random:
    """Returns a random source that differs between processes and between their runs."""
    return random.Random(f"{name}/{secrets.token_hex(8)}")
