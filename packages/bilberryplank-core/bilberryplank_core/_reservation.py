"""Reserves free slots for classes whose first token target is too tight to wait for one.

This is the trunk reservation of telephone networks: lower tiers may not take the last free slots.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from bilberryplank_core._class_queue import ClassQueue
from bilberryplank_core._slots import SlotTable
from bilberryplank_core._waits import WaitEstimator

TIGHT_TARGET_TURNOVERS = 3.0
"""A target below this many mean slot turnover times is tight.

With 3 turnovers, a share of e^-3 would miss such a target by waiting for a free slot.
"""

SAFETY_STANDARD_DEVIATIONS = 2.0
"""Margin of the reserve above the mean need, in standard deviations of Poisson arrivals."""

RESERVE_START_LOAD = 0.5
"""Offered load, as a share of the slots, up to which nothing is reserved."""

RESERVE_FULL_LOAD = 1.5
"""Offered load, as a share of the slots, from which the full reserve applies."""


def reserved_slots(
    rank: int,
    classes: Iterable[ClassQueue],
    slots: SlotTable,
    waits: WaitEstimator,
    now: float,
) -> int:
    """Returns how many free slots are reserved for tiers above `rank`.

    Args:
        rank: Rank of the request that wants a slot.
        classes: All classes of the queue.
        slots: The upstream's slots.
        waits: Estimates of offered load and slot turnover.
        now: Time in seconds.
    """
    turnover_seconds = waits.slot_turnover_seconds(slots.slots)
    total_load = 0.0
    tight_load = 0.0
    tight_running = 0
    for queue in classes:
        offered_load = waits.offered_load(queue.name, now)
        total_load += offered_load
        if (
            queue.rank < rank
            and queue.first_token_target < TIGHT_TARGET_TURNOVERS * turnover_seconds
        ):
            tight_load += offered_load
            tight_running += slots.running_in_class(queue.name)
    reserve_fraction = (total_load / slots.slots - RESERVE_START_LOAD) / (
        RESERVE_FULL_LOAD - RESERVE_START_LOAD
    )
    if tight_load == 0.0 or reserve_fraction <= 0.0:
        return 0
    needed_slots = min(
        tight_load + SAFETY_STANDARD_DEVIATIONS * math.sqrt(tight_load), slots.slots - 1
    )
    return max(0, round((needed_slots - tight_running) * min(1.0, reserve_fraction)))
