"""Usage records, the batches that store them, and request ids.

A request id consists of the epoch of the entry and a sequence number. The ids that were counted
thus fit into a few ranges for each epoch instead of a list of millions.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import xxhash

USAGE_SHARDS = 16
"""Number of shards in which usage is aggregated; must be the same in the whole fleet."""

VALUES_PER_RECORD = 5
"""Values of a record in a batch: number, prompt tokens, completion tokens, calls, offset in s."""


class RequestIds:
    """Generates the request ids of one entry."""

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
    """Usage of one request: one record for all of its attempts.

    Attributes:
        record_id: Request id, as `RequestIds` generates it.
        organisation: Name of the organisation that is billed.
        class_name: Request class.
        prompt_tokens: Tokens of the prompt, without those of a resumed response.
        completion_tokens: Tokens of the whole response, summed over its attempts.
        calls: Calls to plain services, or 1 for a model's response.
        finished: When the request finished, in seconds since 1970.
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
        """The epoch of the entry that received the request."""
        return self.record_id.rpartition("-")[0]

    @property
    def number(self) -> int:
        """The sequence number of the request within the epoch."""
        return int(self.record_id.rpartition("-")[2])


def shard_of(epoch: str) -> int:
    """Returns the shard that aggregates the records of an entry's epoch."""
    return xxhash.xxh3_64_intdigest(epoch.encode()) % USAGE_SHARDS


def batch_value(records: Iterable[UsageRecord]) -> list[Any]:
    """Returns the JSON value of a batch row.

    It holds a list for each epoch: the epoch, the earliest finish time in seconds since 1970, and a
    list for each organisation and class, which holds both names and then the values of its records
    (`VALUES_PER_RECORD` each).
    """
    epochs: dict[str, list[UsageRecord]] = {}
    for record in records:
        epochs.setdefault(record.epoch, []).append(record)
    return [_epoch_value(epoch, epoch_records) for epoch, epoch_records in epochs.items()]


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
    return [epoch, base, [[*group, *figures] for group, figures in groups.items()]]


def batch_records(value: list[Any]) -> list[UsageRecord]:
    """Returns the records that the JSON value of a batch row holds."""
    records = []
    for epoch, base, groups in value:
        for organisation, class_name, *figures in groups:
            for start in range(0, len(figures), VALUES_PER_RECORD):
                number, prompt, completion, calls, finish_offset = figures[
                    start : start + VALUES_PER_RECORD
                ]
                identity = (f"{epoch}-{number}", organisation, class_name)
                records.append(
                    UsageRecord(*identity, prompt, completion, calls, base + finish_offset)
                )
    return records
