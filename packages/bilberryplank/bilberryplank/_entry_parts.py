"""What the requests of an entry share."""

from __future__ import annotations

from dataclasses import dataclass

from loguru import logger

from bilberryplank._configuration_feed import ConfigurationFeed
from bilberryplank._decisions import DecisionJournal
from bilberryplank._entry_links import EntryLinks
from bilberryplank._link_pool import LinkPool
from bilberryplank._logs import log_event
from bilberryplank._metrics import ProcessMetrics
from bilberryplank._repeats import RepeatSettler
from bilberryplank._usage_feed import UsageFeed
from bilberryplank_core.idempotency import IntentStore
from bilberryplank_core.routing import RequestKind, RetryBudget, UpstreamChooser


@dataclass(slots=True)
class EntryParts:
    """What the requests of an entry share.

    Attributes:
        epoch: Random id of this run of the process.
        pool: Links to sidecars.
        links: Where their frames go.
        chooser: Choice of upstream.
        retry_budget: Retries left.
        intents: Intents of calls that may run once.
        repeats: What became of earlier calls.
        feed: Configuration.
        usage: Usage records.
        metrics: Counters.
        journal: Recent decisions.
    """

    epoch: str
    pool: LinkPool
    links: EntryLinks
    chooser: UpstreamChooser
    retry_budget: RetryBudget
    intents: IntentStore
    repeats: RepeatSettler
    feed: ConfigurationFeed
    usage: UsageFeed
    metrics: ProcessMetrics
    journal: DecisionJournal

    def judge(
        self, upstream: str, first_token_seconds: float | None, now: float, kind: RequestKind
    ) -> None:
        """Tells the chooser how an attempt went; None for one that failed."""
        ejected = self.chooser.is_ejected(upstream)
        ok = first_token_seconds is not None
        self.chooser.record_outcome(upstream, first_token_seconds, ok, now, kind)
        if not ejected and self.chooser.is_ejected(upstream):
            self.metrics.upstream_ejected()
            log_event(logger, "upstream_ejected", level="WARNING", upstream=upstream)
