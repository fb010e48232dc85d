"""Usage records, the batches in which they are stored, and the numbering that identifies them.

A request id is the epoch of its entry and a number that the entry counts up. So the ids that were
counted already are a few ranges for each epoch, and not a list of millions.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import xxhash

USAGE_SHARDS = 16
"""Parts in which usage is aggregated; the whole fleet must agree on it."""

FIGURES = 5
"""Figures of a record in a batch: number, tokens, tokens, calls, seconds."""


class RequestIds:
    """Makes the ids of one entry's requests."""

    __slots__ = ("_epoch", "_number")

    def __init__(self, epoch: str) -> None:
        self._epoch = epoch
        self._number = 0

    def next(self) -> str:
        """Returns a new request id."""
        self._number += 1
        return f"{self._epoch}-{self._number}"


@dataclass(slots=True, frozen=True)
class UsageRecord:
    """What one request used; one record a request, however many attempts it took.

    Attributes:
        record_id: Request id, as `RequestIds` makes them.
        organisation: Name of the organisation that is billed.
        class_name: Request class.
        prompt_tokens: Tokens of the prompt, without those of a resumed answer.
        completion_tokens: Tokens of the whole answer, summed over its attempts.
        calls: Calls to plain services, or 1 for a model's answer.
        finished: Seconds since 1970.
    """

    record_id: str
    organisation: str
    class_name: str
    prompt_tokens: int
    completion_tokens: int
    calls: int
    finished: float

    @property
    def epoch(self) -> str:
        """The epoch of the entry that took the request."""
        return self.record_id.rpartition("-")[0]

    @property
    def number(self) -> int:
        """The entry's number of the request."""
        return int(self.record_id.rpartition("-")[2])


def shard_of(epoch: str) -> int:
    """Returns the shard that aggregates the records of an entry's epoch."""
    return xxhash.xxh3_64_intdigest(epoch.encode()) % USAGE_SHARDS


def batch_value(records: Iterable[UsageRecord]) -> list[Any]:
    """Returns the JSON value of a batch row.

    For each epoch it is the epoch, the least time in seconds since 1970, and a list for each
    organisation and class: both names, then the figures of its records one after another.
    """
    epochs: dict[str, list[UsageRecord]] = {}
    for record in records:
        epochs.setdefault(record.epoch, []).append(record)
    return [_epoch_value(epoch, found) for epoch, found in epochs.items()]


def _epoch_value(epoch: str, records: list[UsageRecord]) -> list[Any]:
    base = int(min(record.finished for record in records))
    groups: dict[tuple[str, str], list[int]] = {}
    for record in records:
        figures = groups.setdefault((record.organisation, record.class_name), [])
        figures.append(record.number)
        figures.append(record.prompt_tokens)
        figures.append(record.completion_tokens)
        figures.append(record.calls)
        figures.append(int(record.finished) - base)
    return [epoch, base, [[*place, *figures] for place, figures in groups.items()]]


def batch_records(value: list[Any]) -> list[UsageRecord]:
    """Returns the records in a batch row's JSON value."""
    records = []
    for epoch, base, groups in value:
        for organisation, class_name, *figures in groups:
            for start in range(0, len(figures), FIGURES):
                number, prompt, completion, calls, after = figures[start : start + FIGURES]
                identity = (f"{epoch}-{number}", organisation, class_name)
                records.append(UsageRecord(*identity, prompt, completion, calls, base + after))
    return records
