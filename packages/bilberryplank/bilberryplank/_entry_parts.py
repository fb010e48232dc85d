"""What the requests of an entry share."""

from __future__ import annotations

from dataclasses import dataclass

from bilberryplank._configuration_feed import ConfigurationFeed
from bilberryplank._decisions import DecisionJournal
from bilberryplank._entry_links import EntryLinks
from bilberryplank._link_pool import LinkPool
from bilberryplank._metrics import ProcessMetrics
from bilberryplank._repeats import RepeatSettler
from bilberryplank._usage_feed import UsageFeed
from bilberryplank_core.idempotency import IntentJournal
from bilberryplank_core.routing import RetryBudget, UpstreamChooser


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
    intents: IntentJournal
    repeats: RepeatSettler
    feed: ConfigurationFeed
    usage: UsageFeed
    metrics: ProcessMetrics
    journal: DecisionJournal
