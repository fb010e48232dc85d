"""Runs long work on the loop between its other tasks."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from bilberryplank_core.stepwise import Steps

Result = TypeVar("Result")


async def run_in_steps(steps: Steps[Result]) -> Result:
    """Does work step by step, each after what else is ready, and returns its result."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value
        await asyncio.sleep(0)
