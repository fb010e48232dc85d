"""Switches for the mechanisms of the tiered queue."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class TieredPolicy:
    """Mechanisms of the tiered queue, each of which a benchmark can turn off.

    Attributes:
        floors: Each class gets at least its floor share of dispatches.
        fair_order: Within a class, the organisation with the least recent usage goes first.
        fair_shedding: Within a tier, the organisation with the highest demand is shed first.
        early_refusal: A request that would miss its deadline by the estimates is rejected at once.
        drop_unfinishable: A request that can no longer end before its deadline is not started.
        late_last: Requests that missed their first token target go behind the others of the class.
        long_bound: The long prompts in prefill at the same time are limited.
        reserve: Under high load, free slots are reserved for tight first token targets.
        preemption: A running request of a lower tier may be stopped for a higher one.
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
