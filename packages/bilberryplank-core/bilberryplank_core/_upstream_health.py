"""Ejects failing upstreams from selection (outlier ejection) and honours their back-off requests.

An upstream is ejected at once if it can't be reached, and after several lost or corrupt responses
in a row; each further ejection lasts longer. An upstream that asks for a back-off gets no requests
for that time, whatever the outcome of earlier requests. After either, it gets at most one trial
request per `TRIAL_INTERVAL_SECONDS` until a response ends the trial.

Motivating load: upstreams that become unreachable, flap, or fail part of their requests while
health checks pass.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from bilberryplank_core._direct_attempts import Outcome

CONNECT_FAILURE_LIMIT = 1
"""Consecutive failed connections that eject an upstream."""

LOST_RESPONSE_LIMIT = 3
"""Consecutive lost or corrupt responses (`Outcome.UNKNOWN`) that eject an upstream."""

FIRST_EJECTION_SECONDS = 0.8
MAX_EJECTION_SECONDS = 4.0
MAX_EJECTION_DOUBLINGS = 10
"""Bounds the power of two: an upstream may fail for hours without a success."""

TRIAL_INTERVAL_SECONDS = 0.5
"""Time after which another trial request may be sent although the last one has not ended."""

MAX_BACKOFF_SECONDS = 60.0
"""Longest back-off that is granted; an upstream that asked for more gets a trial request after
that time."""

FAILURE_SHARE_WEIGHT = 0.15
"""Weight of one attempt in the moving average of the share of failures."""


@dataclass(slots=True)
class _UpstreamState:
    connect_failures: int = 0
    lost_responses: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    backoff_until: float = float("-inf")
    last_trial_at: float = float("-inf")
    failure_share: float = 0.0


class UpstreamHealth:
    """Failures, ejections and back-offs of the upstreams, as seen by one entry."""

    __slots__ = ("_states",)

    def __init__(self) -> None:
        self._states: dict[str, _UpstreamState] = {}

    def record(self, name: str, outcome: Outcome, now: float) -> bool:
        """Records the outcome of an attempt; returns True if it newly ejects the upstream."""
        state = self._states.setdefault(name, _UpstreamState())
        failed = outcome in (Outcome.FAILED, Outcome.UNKNOWN, Outcome.NOT_REACHED)
        state.failure_share += FAILURE_SHARE_WEIGHT * (failed - state.failure_share)
        match outcome:
            case Outcome.ANSWERED | Outcome.FAILED:
                # FAILED is a valid error response: the upstream is reachable.
                state.connect_failures = state.lost_responses = 0
                # The response to an earlier request does not end a back-off.
                if now >= state.backoff_until:
                    state.ejections = 0
                    state.ejected_until = float("-inf")
                return False
            case Outcome.NOT_REACHED:
                state.connect_failures += 1
            case Outcome.UNKNOWN:
                state.lost_responses += 1
            case Outcome.NOT_RUN:
                # A reachable upstream refused to run the request, which shows no fault of it.
                return False
        if (
            state.connect_failures < CONNECT_FAILURE_LIMIT
            and state.lost_responses < LOST_RESPONSE_LIMIT
        ):
            return False
        doublings = min(state.ejections, MAX_EJECTION_DOUBLINGS)
        seconds = min(FIRST_EJECTION_SECONDS * 2**doublings, MAX_EJECTION_SECONDS)
        newly_ejected = now >= state.ejected_until
        state.ejections += 1
        state.ejected_until = now + seconds
        return newly_ejected

    def record_back_off(self, name: str, seconds: float, now: float) -> float:
        """Records that an upstream asked for a back-off; returns the seconds granted.

        NaN, zero and negative times grant none; longer times are capped.
        """
        granted = min(seconds, MAX_BACKOFF_SECONDS) if seconds > 0 else 0.0
        if not granted:
            return 0.0
        state = self._states.setdefault(name, _UpstreamState())
        state.backoff_until = max(state.backoff_until, now + granted)
        # A positive count keeps the upstream on trial after the back-off, and lengthens the next
        # ejection.
        state.ejections = max(state.ejections, 1)
        return granted

    def is_available(self, name: str, now: float) -> bool:
        """Returns True if the upstream may get a request now."""
        state = self._states.get(name)
        if state is None or state.ejections == 0:
            return True
        if now < max(state.ejected_until, state.backoff_until):
            return False
        return now - state.last_trial_at >= TRIAL_INTERVAL_SECONDS

    def backoff_left(self, names: Iterable[str], now: float) -> float | None:
        """Returns the seconds until the earliest end of a back-off of the upstreams.

        None if there is no upstream, or if one of them has no back-off in force.
        """
        left = [
            self._states[name].backoff_until - now if name in self._states else 0.0
            for name in names
        ]
        first = min(left, default=0.0)
        return first if first > 0 else None

    def record_sent(self, name: str, now: float) -> None:
        """Records that a request was sent; after an ejection or a back-off it is the trial."""
        state = self._states.get(name)
        if state is not None and state.ejections:
            state.last_trial_at = now

    def failure_share(self, name: str) -> float:
        """Returns the moving average of the share of failed attempts, 0 to 1."""
        state = self._states.get(name)
        return state.failure_share if state else 0.0

    def forget(self, name: str) -> None:
        """Removes the state of a removed upstream."""
        self._states.pop(name, None)

    def retain(self, names: Collection[str]) -> None:
        """Removes the states of all other upstreams."""
        for name in self._states.keys() - set(names):
            self.forget(name)
