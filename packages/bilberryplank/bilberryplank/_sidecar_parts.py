"""What the work of a sidecar is made of."""

from __future__ import annotations

from dataclasses import dataclass

from bilberryplank._configuration_feed import ConfigurationFeed
from bilberryplank._decisions import DecisionJournal, DecisionStep
from bilberryplank._engine_orders import SidecarOrders
from bilberryplank._metrics import ProcessMetrics
from bilberryplank._sidecar_attempts import HeldAttempt
from bilberryplank._upstream_call import UpstreamCaller
from bilberryplank._usage_feed import UsageFeed
from bilberryplank_core.scheduling import AttemptRecords, RequestQueue


@dataclass(slots=True)
class SidecarParts:
    """What the work of a sidecar is made of.

    Attributes:
        epoch: Random id of this run of the process.
        queue: Order of dispatch.
        kept: Memory of attempts and answers.
        caller: The way to the upstream.
        feed: Configuration.
        usage: Usage records.
        metrics: Counters.
        journal: Recent decisions.
        answer_bytes: Bytes of one answer that are kept to be sent again.
        orders: Orders to the engine.
    """

    epoch: str
    queue: RequestQueue
    kept: AttemptRecords
    caller: UpstreamCaller
    feed: ConfigurationFeed
    usage: UsageFeed
    metrics: ProcessMetrics
    journal: DecisionJournal
    answer_bytes: int
    orders: SidecarOrders

    def record(self, held: HeldAttempt, step: DecisionStep, detail: str = "") -> None:
        """Notes a decision about an attempt."""
        attempt = held.dispatch.attempt
        self.journal.record(attempt.request, step, f"attempt={attempt.number} {detail}")
