"""Which upstreams are held out of choice, by the service seen of them and by what they ask for.

An upstream that can't be reached is held out at once, one that loses or spoils answers after a few
in a row; each further time for longer. One that asks for rest gets nothing for that long, whatever
its earlier requests bring. After either, one request at a time tries it.

Load pattern: upstreams that go dark, flap, or fail part of their requests while checks pass.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bilberryplank_core._direct_attempts import Outcome

CONNECT_FAILURE_LIMIT = 1
"""Failed connections in a row that hold an upstream out."""

LOST_RESPONSE_LIMIT = 3
"""Lost or spoilt answers in a row that hold an upstream out."""

FIRST_EJECTION_SECONDS = 0.8
MAX_EJECTION_SECONDS = 4.0
TRIAL_INTERVAL_SECONDS = 0.5
"""Another trial may begin this long after one that has not ended."""

MAX_BACKOFF_SECONDS = 60.0
"""Longest rest that is granted; an upstream that asks for more is tried once after this long."""

FAILURE_SHARE_WEIGHT = 0.15
"""Weight of one answer in the running share of failures."""


@dataclass(slots=True)
class _UpstreamState:
    connect_failures: int = 0
    lost_responses: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    backoff_until: float = float("-inf")
    trial_at: float = float("-inf")
    failure_share: float = 0.0


class UpstreamHealth:
    """State of the upstreams that one entry calls."""

    __slots__ = ("_states",)

    def __init__(self) -> None:
        self._states: dict[str, _UpstreamState] = {}

    def record(self, name: str, outcome: Outcome, now: float) -> bool:
        """Takes in how an attempt ended; returns True where it newly holds the upstream out."""
        state = self._states.setdefault(name, _UpstreamState())
        failed = outcome in (Outcome.FAILED, Outcome.UNKNOWN, Outcome.NOT_REACHED)
        state.failure_share += FAILURE_SHARE_WEIGHT * (failed - state.failure_share)
        match outcome:
            case Outcome.ANSWERED | Outcome.FAILED:
                state.connect_failures = state.lost_responses = 0
                # The answer to an earlier request does not end a rest.
                if now >= state.backoff_until:
                    state.ejections = 0
                    state.ejected_until = float("-inf")
                return False
            case Outcome.NOT_REACHED:
                state.connect_failures += 1
            case Outcome.UNKNOWN:
                state.lost_responses += 1
            case Outcome.NOT_RUN:
                return False
        if (
            state.connect_failures < CONNECT_FAILURE_LIMIT
            and state.lost_responses < LOST_RESPONSE_LIMIT
        ):
            return False
        seconds = min(FIRST_EJECTION_SECONDS * 2**state.ejections, MAX_EJECTION_SECONDS)
        newly_ejected = now >= state.ejected_until
        state.ejections += 1
        state.ejected_until = now + seconds
        return newly_ejected

    def back_off(self, name: str, seconds: float, now: float) -> float:
        """Takes in that an upstream wants nothing for some time; returns the seconds granted.

        A time that is no number, or not positive, is none; a huge one is bounded.
        """
        granted = min(seconds, MAX_BACKOFF_SECONDS) if seconds > 0 else 0.0
        if not granted:
            return 0.0
        state = self._states.setdefault(name, _UpstreamState())
        state.backoff_until = max(state.backoff_until, now + granted)
        state.ejections = max(state.ejections, 1)
        return granted

    def is_available(self, name: str, now: float) -> bool:
        """Returns True where the upstream may get a request now."""
        state = self._states.get(name)
        if state is None or state.ejections == 0:
            return True
        if now < max(state.ejected_until, state.backoff_until):
            return False
        return now - state.trial_at >= TRIAL_INTERVAL_SECONDS

    def backoff_left(self, names: Iterable[str], now: float) -> float | None:
        """Returns the seconds until the first of resting upstreams may be used.

        None where there is no upstream, or one of them does not rest.
        """
        left = [
            self._states[name].backoff_until - now if name in self._states else 0.0
            for name in names
        ]
        first = min(left, default=0.0)
        return first if first > 0 else None

    def begin(self, name: str, now: float) -> None:
        """Takes in that a request goes to the upstream; after a hold it is the trial."""
        state = self._states.get(name)
        if state is not None and state.ejections:
            state.trial_at = now

    def failure_share(self, name: str) -> float:
        """Returns the running share of attempts that failed, 0 to 1."""
        state = self._states.get(name)
        return state.failure_share if state else 0.0

    def forget(self, name: str) -> None:
        """Drops an upstream that is gone."""
        self._states.pop(name, None)
