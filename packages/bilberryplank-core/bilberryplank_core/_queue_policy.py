"""Mechanisms of the tiered queue, each of which can be turned off."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class TieredPolicy:
    """Mechanisms of the tiered queue, each of which a measurement can turn off.

    Attributes:
        floors: Every class gets its floor share of dispatches.
        fair_order: The organisation served least lately goes first within its class.
        fair_shedding: The organisation that wants most is shed first in its tier.
        early_refusal: What the estimated wait keeps from its deadline is refused at once.
        drop_unfinishable: What can no longer end before its deadline is not started.
        late_last: What has missed its first token target goes behind what has not.
        long_bound: Few long prompts are read at once.
        reserve: Free slots are held for tight targets while load is high.
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
