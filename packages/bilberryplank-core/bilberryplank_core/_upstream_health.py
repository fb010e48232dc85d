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

UNREACHED_LIMIT = 1
"""Failed connections in a row that hold an upstream out."""

LOST_LIMIT = 3
"""Lost or spoilt answers in a row that hold an upstream out."""

FIRST_HOLD_SECONDS = 0.8
MAX_HOLD_SECONDS = 4.0
TRIAL_SECONDS = 0.5
"""Another trial may begin this long after one that has not ended."""

MAX_REST_SECONDS = 60.0
"""Longest rest that is granted; an upstream that asks for more is tried once after this long."""

ERROR_WEIGHT = 0.15
"""Weight of one answer in the running share of failures."""


@dataclass(slots=True)
class _State:
    unreached: int = 0
    lost: int = 0
    holds: int = 0
    held_until: float = float("-inf")
    rest_until: float = float("-inf")
    trial_at: float = float("-inf")
    failure_share: float = 0.0


class UpstreamHealth:
    """State of the upstreams that one entry calls."""

    __slots__ = ("_states",)

    def __init__(self) -> None:
        self._states: dict[str, _State] = {}

    def record(self, name: str, outcome: Outcome, now: float) -> bool:
        """Takes in how an attempt ended; returns True where it newly holds the upstream out."""
        state = self._states.setdefault(name, _State())
        bad = outcome in (Outcome.FAILED, Outcome.UNKNOWN, Outcome.NOT_REACHED)
        state.failure_share += ERROR_WEIGHT * (bad - state.failure_share)
        match outcome:
            case Outcome.ANSWERED | Outcome.FAILED:
                state.unreached = state.lost = 0
                # The answer to an earlier request does not end a rest.
                if now >= state.rest_until:
                    state.holds = 0
                    state.held_until = float("-inf")
                return False
            case Outcome.NOT_REACHED:
                state.unreached += 1
            case Outcome.UNKNOWN:
                state.lost += 1
            case Outcome.NOT_RUN:
                return False
        if state.unreached < UNREACHED_LIMIT and state.lost < LOST_LIMIT:
            return False
        hold = min(FIRST_HOLD_SECONDS * 2**state.holds, MAX_HOLD_SECONDS)
        newly = now >= state.held_until
        state.holds += 1
        state.held_until = now + hold
        return newly

    def rest(self, name: str, seconds: float, now: float) -> float:
        """Takes in that an upstream wants nothing for some time; returns the seconds granted.

        A time that is no number, or not positive, is none; a huge one is bounded.
        """
        granted = min(seconds, MAX_REST_SECONDS) if seconds > 0 else 0.0
        if not granted:
            return 0.0
        state = self._states.setdefault(name, _State())
        state.rest_until = max(state.rest_until, now + granted)
        state.holds = max(state.holds, 1)
        return granted

    def may_use(self, name: str, now: float) -> bool:
        """Returns True where the upstream may get a request now."""
        state = self._states.get(name)
        if state is None or state.holds == 0:
            return True
        if now < max(state.held_until, state.rest_until):
            return False
        return now - state.trial_at >= TRIAL_SECONDS

    def rest_left(self, names: Iterable[str], now: float) -> float | None:
        """Returns the seconds until the first of resting upstreams may be used.

        None where there is no upstream, or one of them does not rest.
        """
        left = [
            self._states[name].rest_until - now if name in self._states else 0.0 for name in names
        ]
        first = min(left, default=0.0)
        return first if first > 0 else None

    def begin(self, name: str, now: float) -> None:
        """Takes in that a request goes to the upstream; after a hold it is the trial."""
        state = self._states.get(name)
        if state is not None and state.holds:
            state.trial_at = now

    def failure_share(self, name: str) -> float:
        """Returns the running share of attempts that failed, 0 to 1."""
        state = self._states.get(name)
        return state.failure_share if state else 0.0

    def forget(self, name: str) -> None:
        """Drops an upstream that is gone."""
        self._states.pop(name, None)
