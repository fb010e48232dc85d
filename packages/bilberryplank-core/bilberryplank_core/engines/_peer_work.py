"""Notices between the entries of a fleet about their outstanding work at engines (upstreams).

An entry alone sees its own part of an engine's queue and prefix cache, and estimates the rest. So
each entry sends the others, a few times a second, its requests at each engine and the prompts that
it sent since its last notice. A notice covers only its sender's own requests and replaces the
earlier one; a late, lost or duplicate notice changes an estimate for a moment and no more.

Motivating load: bursts of long prompts with shared segments, from many entries.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgpack

from bilberryplank_core._checked_values import check_whole
from bilberryplank_core._notice_format import NoticeInvalid, unpack_notice
from bilberryplank_core.engines._queueing_delays import Urgency

WORK_FORMAT = 2
MAX_NOTICE_BYTES = 8 * 1024
"""Size limit of a notice: 100 engines with three urgencies each, and 100 placements."""

MAX_PLACEMENTS = 100
"""Placements kept for the next notice. If there are more, the oldest are dropped; a peer may then
send a prompt to an engine that has not cached its prefix, which repeats the prefill."""

FRESH_SECONDS = 1.0
"""Time for which a notice is used: by its end, most requests that were waiting have started, so the
notice is out of date."""

MIN_FRESH_PEER_SHARE = 0.5
"""If less than this share of the peers have a fresh notice, an entry relies on its own requests
and load reports."""

MIN_NOTICE_INTERVAL_SECONDS = 0.1
"""Minimum time between two notices of an entry."""

MIN_SECONDS, MAX_SECONDS = 1e-9, 3600.0
"""Limits of an estimate, far beyond any engine, within which no arithmetic on it fails."""

MAX_RECEIVED_NOTICES_PER_SECOND = 100.0
"""Maximum rate at which an entry receives notices, whatever the size of the fleet. Senders keep it
by a longer interval with more peers. Receiving and sending them takes some 1.5 % of a core."""


@dataclass(slots=True, frozen=True)
class Placement:
    """A request that was sent to an engine.

    Attributes:
        upstream: Name of the engine.
        unshared_tokens: Token count of the last prompt segment, which is taken to be unshared.
        shared_segments: For each segment before it, the hex hash of the prompt up to its end and
            its token count.
    """

    upstream: str
    unshared_tokens: int
    shared_segments: tuple[tuple[str, int], ...]


@dataclass(slots=True, frozen=True)
class EngineWork:
    """Outstanding work of one entry at one engine.

    Attributes:
        requests: Its requests there, running or waiting.
        prefill_tokens: Number of tokens that wait for prefill, for each urgency (the ranks of the
            organisation and of the route).
    """

    requests: int
    prefill_tokens: tuple[tuple[Urgency, int], ...] = ()


@dataclass(slots=True, frozen=True)
class WorkNotice:
    """Notice of one entry about the engines of one service.

    Attributes:
        service: Name of the service.
        prefill_token_seconds: The entry's estimate of the prefill time per token, in seconds.
        prefill_gap_seconds: The entry's estimate of the time between two events of a response
            stream while the engine also runs a prefill.
        work: Outstanding work of the entry at each engine.
        placements: Requests that it sent since its last notice.
    """

    service: str
    prefill_token_seconds: float
    prefill_gap_seconds: float
    work: Mapping[str, EngineWork]
    placements: tuple[Placement, ...] = ()

    def encode(self) -> bytes:
        """Returns the notice as a datagram, without any placements if it would be too large."""
        work = [
            [
                engine,
                engine_work.requests,
                [[*urgency, tokens] for urgency, tokens in engine_work.prefill_tokens],
            ]
            for engine, engine_work in self.work.items()
        ]
        placements = [
            [
                placement.upstream,
                placement.unshared_tokens,
                [[bytes.fromhex(key), tokens] for key, tokens in placement.shared_segments],
            ]
            for placement in self.placements
        ]
        fields = [
            WORK_FORMAT,
            self.service,
            self.prefill_token_seconds,
            self.prefill_gap_seconds,
            work,
        ]
        data = msgpack.packb([*fields, placements])
        return data if len(data) <= MAX_NOTICE_BYTES else msgpack.packb([*fields, []])

    @classmethod
    def decode(cls, data: bytes) -> WorkNotice:
        """Returns the notice in a datagram.

        Raises:
            NoticeInvalid: The datagram holds no notice, or one of another format.
        """
        # `fields` does not count the format number.
        fields = unpack_notice(data, WORK_FORMAT, MAX_NOTICE_BYTES, fields=5)
        service, prefill_token_seconds, prefill_gap_seconds, work, placements = fields
        if not isinstance(service, str):
            raise NoticeInvalid("the service is not a string")
        try:
            estimates = _seconds(prefill_token_seconds), _seconds(prefill_gap_seconds)
            work_by_engine = {
                _text(name): _engine_work(count, prefill_tokens)
                for name, count, prefill_tokens in work
            }
            return cls(
                service, *estimates, work_by_engine, tuple(_placement(item) for item in placements)
            )
        except (TypeError, ValueError, AttributeError) as exc:
            raise NoticeInvalid(f"a field is malformed: {exc}") from exc


def notice_interval(peers: int) -> float:
    """Returns the minimum seconds between two notices of an entry with a number of peers."""
    return max(MIN_NOTICE_INTERVAL_SECONDS, peers / MAX_RECEIVED_NOTICES_PER_SECOND)


@dataclass(slots=True, frozen=True)
class _ReceivedWork:
    work: Mapping[str, EngineWork]
    received_at: float


class PeerWork:
    """Outstanding work of the other entries at the engines of one service, from their notices."""

    __slots__ = ("_peer_count", "_received")

    def __init__(self) -> None:
        self._received: dict[str, _ReceivedWork] = {}
        self._peer_count = 0

    def set_peers(self, count: int) -> None:
        """Sets the number of other entries."""
        self._peer_count = count

    def record_notice(self, sender: str, work: Mapping[str, EngineWork], now: float) -> None:
        """Records the work of a peer in place of its earlier notice."""
        self._received[sender] = _ReceivedWork(work, now)

    def refresh_scale(self, now: float) -> float | None:
        """Drops stale notices and returns the factor that extrapolates to all entries.

        The sum over this entry and its fresh peers is multiplied by it. None if too few peers have
        a fresh notice.
        """
        for stale_peer in [
            peer for peer, notice in self._received.items() if not _is_fresh(notice, now)
        ]:
            del self._received[stale_peer]
        fresh = len(self._received)
        if not fresh or fresh < MIN_FRESH_PEER_SHARE * self._peer_count:
            return None
        return (1 + max(fresh, self._peer_count)) / (1 + fresh)

    def reported_work(self) -> Iterator[tuple[str, EngineWork]]:
        """Yields each engine's name and work, once for each peer that reported it.

        Call `refresh_scale` first, or stale notices are included.
        """
        for notice in self._received.values():
            yield from notice.work.items()


def _is_fresh(notice: _ReceivedWork, now: float) -> bool:
    return now - notice.received_at <= FRESH_SECONDS


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("a name is not a string")
    return value


def _count(value: Any) -> int:
    return check_whole(value, "a count")


def _seconds(value: Any) -> float:
    if type(value) is not float or not MIN_SECONDS <= value <= MAX_SECONDS:
        raise ValueError("a duration is not a float, or out of range")
    return value


def _engine_work(count: Any, prefill_tokens: Any) -> EngineWork:
    tokens_by_urgency = tuple(
        ((_count(first_rank), _count(second_rank)), _count(tokens))
        for first_rank, second_rank, tokens in prefill_tokens
    )
    return EngineWork(_count(count), tokens_by_urgency)


def _hash(value: Any) -> str:
    if not isinstance(value, bytes):
        raise TypeError("a hash is not binary")
    return value.hex()


def _placement(value: Any) -> Placement:
    upstream, unshared_tokens, segments = value
    shared_segments = tuple((_hash(key), _count(tokens)) for key, tokens in segments)
    return Placement(_text(upstream), _count(unshared_tokens), shared_segments)
