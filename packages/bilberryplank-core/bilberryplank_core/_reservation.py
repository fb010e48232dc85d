"""Free slots that are held for classes whose target is too tight to wait for the next free one.

Trunk reservation, as telephone networks use it: lower tiers may not take the last free circuits.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from bilberryplank_core._class_queue import ClassQueue
from bilberryplank_core._slots import SlotTable
from bilberryplank_core._waits import WaitEstimator

TIGHT_TARGET_TURNOVERS = 3.0
"""A target under so many mean times between free slots is tight: e^-3 miss it by waiting."""

SAFETY_STANDARD_DEVIATIONS = 2.0
"""Reserve beyond the mean need, in standard deviations of Poisson arrivals."""

RESERVE_START_LOAD = 0.5
"""Offered load, as a share of the slots, up to which nothing is reserved."""

RESERVE_FULL_LOAD = 1.5
"""Offered load, as a share of the slots, from which the whole reserve is held."""


def reserved_slots(
    rank: int,
    classes: Iterable[ClassQueue],
    slots: SlotTable,
    waits: WaitEstimator,
    now: float,
) -> int:
    """Returns the free slots that tiers above `rank` need to find free.

    Args:
        rank: Rank of the request that wants a slot.
        classes: All classes.
        slots: The upstream's slots.
        waits: Estimates.
        now: Time in seconds.
    """
    turnover = waits.slot_turnover_seconds(slots.slots)
    total = 0.0
    tight = 0.0
    running = 0
    for queue in classes:
        offered_load = waits.offered_load(queue.name, now)
        total += offered_load
        if queue.rank < rank and queue.first_token_target < TIGHT_TARGET_TURNOVERS * turnover:
            tight += offered_load
            running += slots.running_in_class(queue.name)
    pressure = (total / slots.slots - RESERVE_START_LOAD) / (RESERVE_FULL_LOAD - RESERVE_START_LOAD)
    if tight == 0.0 or pressure <= 0.0:
        return 0
    need = min(tight + SAFETY_STANDARD_DEVIATIONS * math.sqrt(tight), slots.slots - 1)
    return max(0, round((need - running) * min(1.0, pressure)))
