"""Estimates how fast the engines of a service prefill prompts and emit tokens.

No engine reports its speed, and services run engines of all kinds, so it is inferred from requests:

- Prefill: of two requests of one urgency, sent within a few seconds, the one with more prefill
  tokens gets its first token later. The added delay per token is the prefill time of a token; the
  queueing delay of both cancels out in the median of many pairs (the slope estimator of Theil and
  Sen). A regression over all urgencies would take the longer wait of less urgent requests for
  prefill time.
- Decode: the median gap between events, for each token of an event.
- Gaps during prefill: an upper quantile of the longest gaps of streams. An engine in prefill emits
  each token together with a chunk of prompt, and one long gap makes a stream late, however short
  the others are. Streams that are kept from such engines do not count.
- Residual prefill: an engine ends the prefill in progress before it begins a more urgent one. The
  tokens that are left of it on average follow from the sizes of the prompts that were sent.

Each estimate tracks a quantile by small steps in its logarithm, so a single outlier moves it by no
more than one step. The first steps are larger, as the initial values are rough.

Motivating load: any mix of prompts, on engines of unknown speed, some of them slow.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from statistics import median

from bilberryplank_core.engines._queueing_delays import Urgency

INITIAL_PREFILL_TOKEN_SECONDS = 1 / 60_000
"""Initial prefill time of a token: the middle of present-day engines."""

INITIAL_OUTPUT_TOKEN_SECONDS = 0.005
"""Initial time of an output token."""

INITIAL_PREFILL_STEP_SECONDS = 0.045
"""Initial time of an engine step with prefill: long enough that latency-sensitive streams are kept
apart at first."""

INITIAL_FIRST_TOKEN_SECONDS = 0.03
"""Initial time to the first token of a short prompt at an idle engine."""

IDLE_QUANTILE = 0.1
"""One request in ten is assumed to meet an idle engine."""

MIN_FIRST_TOKEN_SECONDS = 0.001

LONGEST_GAP_QUANTILE = 0.85
"""One stream in seven may have a longer gap: some do because of faults, and streams that are kept
apart bring their prompts to the engines of more sensitive ones."""

LONGEST_GAP_SAMPLES, INITIAL_GAP_SAMPLES = 60, 15
"""Streams whose longest gap is kept, and how many of them the initial gap counts for at first."""

MIN_STREAM_EVENTS = 3
"""Streams of fewer events seldom see the gaps of an engine in prefill."""

MAX_PAIR_DISTANCE_SECONDS = 15.0
"""Only requests this near in time are compared, as queueing delays change with the load. An entry
of a large fleet sends a long prompt every second or two."""

PAIRED_REQUESTS = 8
"""Earlier requests that each first token is compared with."""

MIN_PAIR_DIFFERENCE_TOKENS = 1_000
"""Prompts that differ by less are not compared: the difference is lost in the queueing delays."""

FULL_WEIGHT_DIFFERENCE_TOKENS = 8_000
"""A pair that differs by this much has full weight."""

MIN_UNSHARED_PREFILL_SHARE = 0.5
"""Away from the preferred engine of its shared segments a request counts only if this share of its
prefill tokens is unshared: whether the shared ones are cached there is only an estimate."""

PROMPT_SAMPLES = 200
"""Recent prompts whose sizes are kept; estimates from them are updated after every
`PROMPTS_PER_UPDATE` prompts."""

PROMPTS_PER_UPDATE = 16

MAX_LATE_SHARE = 0.2
"""Share of arrivals during a prefill that may be late in a stream that counts as latency-tolerant.
An engine is not in prefill all the time, so fewer of its streams are late."""

SENSITIVE_GAP_RATIO, TOLERANT_GAP_RATIO = 1.15, 0.6
"""Ratio of the prefill gap to a stream's gap objective above which the stream becomes
latency-sensitive, and below which it becomes tolerant again. They are far apart because gaps are
short while there is little prefill, and the next burst comes without a warning. Entries see
different samples; if the kind changed with each, entries would disagree and streams of one kind
would run at any engine."""

OBJECTIVE_MARGIN = 1.2
"""A stream tolerates a prefill if its objective is this many times the expected delay."""

MAX_PEERS = 64
"""Entries whose estimates are kept; the median of more is no more accurate."""

SIGNIFICANT_CHANGE_FACTOR = 1.5
"""An estimate that changed by this factor is logged."""

FIRST_LOG_STEP, LAST_LOG_STEP, HALVING_SAMPLES = 0.3, 0.02, 20
"""Step of a tracked quantile in its logarithm, falling from the first to the last as samples come;
after `HALVING_SAMPLES` samples it has halved."""


def is_significant_change(before: Sequence[float], after: Sequence[float]) -> bool:
    """Returns True where an estimate changed enough to be logged."""
    return any(
        not 1 / SIGNIFICANT_CHANGE_FACTOR < new / old < SIGNIFICANT_CHANGE_FACTOR
        for old, new in zip(before, after, strict=True)
    )


class QuantileTracker:
    """Tracks a quantile of positive samples.

    Args:
        initial: Value before the first sample.
        quantile: Which quantile, 0 to 1.
    """

    __slots__ = ("_logarithm", "_quantile", "_samples")

    def __init__(self, initial: float, quantile: float) -> None:
        self._logarithm = math.log(initial)
        self._quantile = quantile
        self._samples = 0.0

    @property
    def value(self) -> float:
        """Current estimate of the quantile."""
        return math.exp(self._logarithm)

    def add(self, sample: float, weight: float = 1.0) -> None:
        """Adds a sample; a weight below 1 shortens the step."""
        self._samples += weight
        step = max(LAST_LOG_STEP, FIRST_LOG_STEP / (1 + self._samples / HALVING_SAMPLES)) * weight
        below = 1.0 if sample < self.value else 0.0
        self._logarithm += step * (self._quantile - below)


@dataclass(slots=True, frozen=True)
class LatencyObjective:
    """Latency objective of a stream, in seconds; 0 where none is set.

    Attributes:
        event_gap: Objective of the longest gap between two events.
        first_event: Objective of the time to the first event.
    """

    event_gap: float = 0.0
    first_event: float = 0.0


@dataclass(slots=True, frozen=True)
class _FirstToken:
    prefill_tokens: int
    seconds: float
    observed_at: float


class EnginePerformance:
    """Performance estimates of the engines of one service, kept by one entry.

    Args:
        stride: Tokens in one event of a stream.
    """

    __slots__ = (
        "_first_tokens",
        "_new_prompts",
        "_latency_sensitive",
        "_late_shares",
        "_longest_gaps",
        "_peers",
        "_prompt_sizes",
        "_prefill_token_seconds",
        "_prefill_gap_seconds",
        "_idle_first_token_seconds",
        "_stride",
        "_output_token_seconds",
        "_turn_tokens",
    )

    def __init__(self, stride: int) -> None:
        self._stride = max(1, stride)
        self._prefill_token_seconds = QuantileTracker(INITIAL_PREFILL_TOKEN_SECONDS, 0.5)
        self._output_token_seconds = QuantileTracker(INITIAL_OUTPUT_TOKEN_SECONDS, 0.5)
        self._idle_first_token_seconds = QuantileTracker(INITIAL_FIRST_TOKEN_SECONDS, IDLE_QUANTILE)
        self._longest_gaps: deque[float] = deque(
            [INITIAL_PREFILL_STEP_SECONDS * self._stride] * INITIAL_GAP_SAMPLES,
            maxlen=LONGEST_GAP_SAMPLES,
        )
        self._prefill_gap_seconds = self._longest_gaps[0]
        self._first_tokens: dict[Urgency, deque[_FirstToken]] = {}
        self._prompt_sizes: deque[int] = deque(maxlen=PROMPT_SAMPLES)
        self._new_prompts = 0
        self._turn_tokens = 0.0
        self._late_shares: dict[float, float] = {}
        self._latency_sensitive: dict[float, bool] = {}
        self._peers: dict[str, tuple[float, float]] = {}

    @property
    def prefill_token_seconds(self) -> float:
        """Prefill time of one token in seconds: the median over the fleet."""
        return median(
            [
                self._prefill_token_seconds.value,
                *(peer_seconds for peer_seconds, _ in self._peers.values()),
            ]
        )

    @property
    def output_token_seconds(self) -> float:
        """Median time of an output token in seconds."""
        return self._output_token_seconds.value

    @property
    def idle_first_token_seconds(self) -> float:
        """Time to the first token of a short prompt at an idle engine, in seconds."""
        return self._idle_first_token_seconds.value

    @property
    def prefill_gap_seconds(self) -> float:
        """Gap between two events at an engine in prefill, in seconds: the median over the fleet.

        A slow link lengthens the gaps that an entry sees. With own estimates only, entries would
        partition the streams differently, and all kinds would share any engine.
        """
        fleet_gap = median(
            [self._prefill_gap_seconds, *(peer_gap for _, peer_gap in self._peers.values())]
        )
        return max(fleet_gap, self.output_token_seconds * self._stride)

    @property
    def own_estimates(self) -> tuple[float, float]:
        """Prefill time of a token and prefill gap by this entry's own samples, in seconds."""
        return self._prefill_token_seconds.value, self._prefill_gap_seconds

    def record_peer_estimates(
        self, peer: str, prefill_token_seconds: float, prefill_gap_seconds: float
    ) -> None:
        """Records the estimates of another entry."""
        if (
            prefill_token_seconds > 0
            and prefill_gap_seconds > 0
            and (peer in self._peers or len(self._peers) < MAX_PEERS)
        ):
            self._peers[peer] = (prefill_token_seconds, prefill_gap_seconds)

    @property
    def turn_tokens(self) -> float:
        """Mean tokens left of the prefill in progress when another request arrives.

        Its name is that of the log field.
        """
        return self._turn_tokens

    def estimates(self) -> tuple[float, float, float]:
        """Returns prefill time of a token, time of an output token and prefill gap, in seconds."""
        return self.prefill_token_seconds, self.output_token_seconds, self.prefill_gap_seconds

    def tolerates_prefill(self, objective: LatencyObjective) -> bool:
        """Returns True where a stream meets its objective at an engine in continuous prefill."""
        event_gap, first_event = objective.event_gap, objective.first_event
        if event_gap > 0 and self._is_latency_sensitive(event_gap):
            return False
        if first_event <= 0:
            return True
        if first_event not in self._late_shares:
            self._late_shares[first_event] = self._late_share(first_event)
        return self._late_shares[first_event] <= MAX_LATE_SHARE

    def retain_peers(self, peers: Collection[str]) -> None:
        """Drops the estimates of entries that are gone."""
        for removed_peer in self._peers.keys() - set(peers):
            del self._peers[removed_peer]

    def late_gap_share(self, objective: LatencyObjective) -> float:
        """Returns the share of streams at engines in prefill that exceed a gap objective."""
        if objective.event_gap <= 0:
            return 0.0
        late_streams = sum(gap > objective.event_gap for gap in self._longest_gaps)
        return late_streams / len(self._longest_gaps)

    def late_share_during_prefill(self, objective: LatencyObjective) -> float:
        """Returns the share of streams that miss an objective at an engine in prefill."""
        late_first_events = (
            self._late_share(objective.first_event) if objective.first_event > 0 else 0.0
        )
        return max(late_first_events, self.late_gap_share(objective))

    def record_prompt(self, prefill_tokens: int) -> None:
        """Records the estimated prefill tokens of a request that was sent."""
        self._prompt_sizes.append(prefill_tokens)
        self._new_prompts += 1
        if self._new_prompts < PROMPTS_PER_UPDATE:
            return
        self._new_prompts = 0
        self._late_shares.clear()
        total_tokens = sum(self._prompt_sizes)
        square_sum = sum(size * size for size in self._prompt_sizes)
        self._turn_tokens = square_sum / (2 * total_tokens) if total_tokens else 0.0

    def _is_latency_sensitive(self, gap_objective: float) -> bool:
        """Returns True where streams with a gap objective are late at an engine in prefill."""
        gap_ratio = self.prefill_gap_seconds / gap_objective
        was_sensitive = self._latency_sensitive.get(gap_objective, gap_ratio >= 1)
        self._latency_sensitive[gap_objective] = (
            gap_ratio > TOLERANT_GAP_RATIO if was_sensitive else gap_ratio > SENSITIVE_GAP_RATIO
        )
        return self._latency_sensitive[gap_objective]

    def _late_share(self, first_event_objective: float) -> float:
        """Returns the share of prefill time at which too much of the prompt is left.

        A prompt of u tokens takes u units of time, in u - x of which more than x tokens are left.
        """
        total_tokens = sum(self._prompt_sizes)
        tolerated_tokens = first_event_objective / (OBJECTIVE_MARGIN * self.prefill_token_seconds)
        late_tokens = sum(max(0.0, size - tolerated_tokens) for size in self._prompt_sizes)
        return late_tokens / total_tokens if total_tokens else 0.0

    def record_first_token(
        self,
        urgency: Urgency,
        prefill_tokens: int,
        unshared_tokens: int,
        at_preferred: bool,
        seconds: float,
        now: float,
    ) -> None:
        """Records the first token of a request.

        Args:
            urgency: Its urgency.
            prefill_tokens: Estimated tokens of its prompt that the engine did not have cached.
            unshared_tokens: Those of them that no other request shares.
            at_preferred: True at the preferred engine of the shared prefix, which usually has it
                cached, as other entries send it there too.
            seconds: Time from sending the request to the first token.
            now: Seconds on the boot clock.
        """
        non_prefill_seconds = (
            seconds
            - (unshared_tokens if at_preferred else prefill_tokens) * self.prefill_token_seconds
        )
        self._idle_first_token_seconds.add(max(MIN_FIRST_TOKEN_SECONDS, non_prefill_seconds))
        if at_preferred:
            prefill_tokens = unshared_tokens
        elif unshared_tokens < MIN_UNSHARED_PREFILL_SHARE * prefill_tokens:
            return
        earlier_requests = self._first_tokens.setdefault(urgency, deque(maxlen=PAIRED_REQUESTS))
        for earlier in earlier_requests:
            difference = prefill_tokens - earlier.prefill_tokens
            if (
                abs(difference) >= MIN_PAIR_DIFFERENCE_TOKENS
                and now - earlier.observed_at <= MAX_PAIR_DISTANCE_SECONDS
            ):
                slope = (seconds - earlier.seconds) / difference
                self._prefill_token_seconds.add(
                    slope, min(1.0, abs(difference) / FULL_WEIGHT_DIFFERENCE_TOKENS)
                )
        earlier_requests.append(_FirstToken(prefill_tokens, seconds, now))

    def record_gap(self, seconds: float, events: int) -> None:
        """Records events that came together after a gap."""
        self._output_token_seconds.add(seconds / (events * self._stride))

    def record_stream_end(
        self, objective: LatencyObjective, longest_gap: float, events: int
    ) -> None:
        """Records the longest gap of a stream, unless it is kept from engines in prefill."""
        if events < MIN_STREAM_EVENTS or not self.tolerates_prefill(objective):
            return
        self._longest_gaps.append(longest_gap)
        # The first real samples replace the initial ones.
        if len(self._longest_gaps) == 2 * INITIAL_GAP_SAMPLES:
            for _ in range(INITIAL_GAP_SAMPLES):
                self._longest_gaps.popleft()
        sorted_gaps = sorted(self._longest_gaps)
        self._prefill_gap_seconds = sorted_gaps[int(LONGEST_GAP_QUANTILE * len(sorted_gaps))]
