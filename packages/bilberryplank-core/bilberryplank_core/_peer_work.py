"""What the entries of a fleet tell each other of their work at engines.

An entry alone sees its own part of what waits at an engine and of the parts of prompts that the
engine keeps, and guesses the rest. So each tells the others, a few times a second, what it has at
each engine and which parts it had read since. A notice is a statement of its sender alone and
replaces its earlier one; a late, lost or doubled one changes an estimate for a moment and no more.

Load pattern: bursts of long prompts with shared parts, from many entries.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgpack

from bilberryplank_core._notice_format import NoticeInvalid, unpack_notice
from bilberryplank_core._queueing_delays import Urgency

WORK_FORMAT = 2
MAX_NOTICE_BYTES = 8 * 1024
"""Longest notice: 100 engines with three urgencies each, and 100 placements."""

MAX_PLACEMENTS = 100
"""Placements that wait to be told; with more the oldest are dropped, and a part is read again."""

FRESH_SECONDS = 1.0
"""What a peer told counts for so long: by then most of its waiting requests began."""

LEAST_HEARD_SHARE = 0.5
"""With fewer of its peers heard, an entry goes by its own part and load reports."""

NOTICE_SECONDS = 0.1
"""Least time between two notices of an entry."""

MOST_HEARD_PER_SECOND = 100.0
"""Notices that an entry hears in a second at the most, whatever the size of the fleet: with their
sending they take some 1.5 in 100 of a core."""


@dataclass(slots=True, frozen=True)
class Placement:
    """A request that was sent to an engine.

    Attributes:
        upstream: The engine.
        own_tokens: Tokens of its prompt that no other request shares.
        parts: Keys and tokens of the shared parts before them.
    """

    upstream: str
    own_tokens: int
    parts: tuple[tuple[str, int], ...]


@dataclass(slots=True, frozen=True)
class EngineWork:
    """What one entry has at one engine.

    Attributes:
        requests: Its requests there, running or waiting.
        prefill_tokens: Tokens that wait to be read, by urgency.
    """

    requests: int
    prefill_tokens: tuple[tuple[Urgency, int], ...] = ()


@dataclass(slots=True, frozen=True)
class WorkNotice:
    """What one entry tells of the engines of one service.

    Attributes:
        service: Name of the service.
        reading: Seconds for which an engine reads a token, as this entry learnt it.
        pause: Seconds between two events at an engine that reads, as this entry learnt it.
        work: What it has at each engine.
        placements: Requests that it sent since its last notice.
    """

    service: str
    reading: float
    pause: float
    work: Mapping[str, EngineWork]
    placements: tuple[Placement, ...] = ()

    def encode(self) -> bytes:
        """Returns the notice as a datagram; placements that do not fit are left out."""
        work = [
            [name, each.requests, [[*urgency, tokens] for urgency, tokens in each.prefill_tokens]]
            for name, each in self.work.items()
        ]
        placements = [
            [each.upstream, each.own_tokens, [[bytes.fromhex(k), n] for k, n in each.parts]]
            for each in self.placements
        ]
        head = [WORK_FORMAT, self.service, self.reading, self.pause, work]
        data = msgpack.packb([*head, placements])
        return data if len(data) <= MAX_NOTICE_BYTES else msgpack.packb([*head, []])

    @classmethod
    def decode(cls, data: bytes) -> WorkNotice:
        """Returns the notice in a datagram.

        Raises:
            NoticeInvalid: It holds none, or one of another format.
        """
        fields = unpack_notice(data, WORK_FORMAT, MAX_NOTICE_BYTES, fields=5)
        service, reading, pause, work, placements = fields
        if not isinstance(service, str):
            raise NoticeInvalid("its service is no text")
        try:
            speeds = _seconds(reading), _seconds(pause)
            told = {
                _text(name): _engine_work(count, prefill_tokens)
                for name, count, prefill_tokens in work
            }
            return cls(service, *speeds, told, tuple(_placement(each) for each in placements))
        except (TypeError, ValueError, AttributeError) as exc:
            raise NoticeInvalid(f"cannot be read: {exc}") from exc


def notice_interval(peers: int) -> float:
    """Returns the least seconds between two notices of an entry that tells so many."""
    return max(NOTICE_SECONDS, peers / MOST_HEARD_PER_SECOND)


@dataclass(slots=True, frozen=True)
class _Told:
    work: Mapping[str, EngineWork]
    at: float


class PeerWork:
    """What other entries have at the engines of one service."""

    __slots__ = ("_peers", "_told")

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}
        self._peers = 0

    def set_peers(self, count: int) -> None:
        """Takes in how many other entries there are."""
        self._peers = count

    def take(self, sender: str, work: Mapping[str, EngineWork], now: float) -> None:
        """Takes in what a peer tells, in place of what it told before."""
        self._told[sender] = _Told(work, now)

    def scale(self, now: float) -> float | None:
        """Returns by how much the sum over this entry and the peers heard is to be scaled.

        None where too few were heard to say anything of the fleet.
        """
        for sender in [each for each, told in self._told.items() if not _is_fresh(told, now)]:
            del self._told[sender]
        heard = len(self._told)
        if not heard or heard < LEAST_HEARD_SHARE * self._peers:
            return None
        return (1 + max(heard, self._peers)) / (1 + heard)

    def told(self) -> Iterator[tuple[str, EngineWork]]:
        """Yields what each peer heard has at each engine; `scale` drops what is too old."""
        for told in self._told.values():
            yield from told.work.items()


def _is_fresh(told: _Told, now: float) -> bool:
    return now - told.at <= FRESH_SECONDS


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("a name is no text")
    return value


def _count(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError("a count is no whole number")
    return value


def _seconds(value: Any) -> float:
    if type(value) is not float or not 0 < value < math.inf:
        raise ValueError("a time is not positive")
    return value


def _engine_work(count: Any, prefill_tokens: Any) -> EngineWork:
    each = tuple(((_count(o), _count(r)), _count(tokens)) for o, r, tokens in prefill_tokens)
    return EngineWork(_count(count), each)


def _placement(value: Any) -> Placement:
    upstream, own_tokens, parts = value
    each = tuple((key.hex(), _count(tokens)) for key, tokens in parts)
    return Placement(_text(upstream), _count(own_tokens), each)
