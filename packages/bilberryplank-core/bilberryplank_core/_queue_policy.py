"""Switches for the mechanisms of the tiered queue."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class TieredQueuePolicy:
    """Mechanisms of the tiered queue; a benchmark turns off one at a time to measure its effect.

    Attributes:
        floors: Each class gets at least its floor, a minimum share of dispatches.
        fair_order: Within a class, the organisation with the lowest served cost goes first, where
            past cost counts exponentially less with its age.
        fair_shedding: When the queue is full, the request to shed comes from the organisation with
            the highest demand in the lowest tier; without this, the newest one is shed.
        early_refusal: A new request that is estimated to miss its deadline is rejected on arrival.
        drop_unfinishable: A queued request that can no longer finish before its deadline is dropped
            from the queue.
        late_last: Requests that miss their first-token target are moved behind the other requests
            of their class.
        long_bound: The number of slots that long prompts may hold during prefill is limited.
        reserve: Under high load, some free slots are kept for higher tiers whose first-token
            targets are short.
        preemption: A running request may be stopped to start a request of a higher tier.
    """

    floors: bool = True
    fair_order: bool = True
    fair_shedding: bool = True
    early_refusal: bool = True
    drop_unfinishable: bool = True
    late_last: bool = True
    long_bound: bool = True
    reserve: bool = True
    preemption: bool = True
