"""How fast the engines of a service read prompts and make tokens, learnt from what requests met.

Nobody tells the speed of an engine, and services run engines of all kinds, so it is inferred:

- Reading: of two requests of one urgency, sent within a few seconds, the one with more to read gets
  its first token later. How much later for each token more is the reading time; what both waited
  for others cancels out in the median of many pairs (the slope estimator of Theil and Sen). A
  regression over all urgencies would take the longer wait of less urgent requests for reading.
- Answering: the median pause between events, for each token of an event.
- Pauses at an engine that reads: an upper quantile of the longest pauses of streams. Such an engine
  makes each token together with a chunk of prompt, and one long pause makes a stream late, however
  short the others are. Streams that are kept from such engines do not count.
- Turns: an engine ends the prompt that it reads before it begins a more urgent one. How much is
  left of it then follows from the sizes of the prompts that were sent.

Each figure follows a quantile by small steps in its logarithm, so a single odd sample moves it by
no more than one step. The first steps are larger: the assumed figures are only a start.

Load pattern: any mix of prompts, on engines that nobody has described, some of them slow.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from statistics import median

from bilberryplank_core._queueing_delays import Urgency

FIRST_READING_SECONDS = 1 / 60_000
"""Reading time of a token assumed until requests tell it: the middle of present-day engines."""

FIRST_TOKEN_SECONDS = 0.005
"""Time of a token of an answer assumed until pauses tell it."""

FIRST_READING_STEP_SECONDS = 0.045
"""Time of a step that reads assumed until pauses tell it; hasty streams are kept apart first."""

FIRST_START_SECONDS = 0.03
"""Time to the first token of a short prompt at an idle engine assumed until one tells it."""

START_QUANTILE = 0.1
"""One request in ten is taken to meet an idle engine."""

LEAST_START_SECONDS = 0.001

LONGEST_PAUSE_QUANTILE = 0.85
"""One stream in seven may meet a longer pause: some do by faults, and streams that are kept apart
bring their prompts to the engines of those that bear less."""

LONGEST_PAUSES, FIRST_PAUSES = 60, 15
"""Streams whose longest pause is remembered, and how many the assumed pause counts for at first."""

LEAST_EVENTS = 3
"""Streams of fewer events seldom meet the pauses of an engine that reads."""

PAIR_SECONDS = 15.0
"""Only requests this near in time are compared, as waits change with the load. An entry of a large
fleet sends a long prompt every second or two."""

PAIRS = 8
"""Earlier requests that each first token is compared with."""

LEAST_PAIR_TOKENS = 1_000
"""Prompts that differ by less tell nothing: the difference is lost among the waits."""

FULL_PAIR_TOKENS = 8_000
"""A pair that differs by this much counts in full."""

KEPT_SHARE = 0.5
"""Away from the home of its shared parts a request counts only where this share of what it has to
read is its own: whether the shared parts are kept there, an entry only guesses."""

TURN_PROMPTS = 200
"""Prompts whose sizes are remembered, and `FRESH_PROMPTS` after which they are weighed again."""

FRESH_PROMPTS = 16

MOST_LATE = 0.2
"""Share of the turns that may be too long for a stream that is said to bear them. An engine does
not read all the time, so fewer of its streams are late."""

HASTY_FROM, PATIENT_FROM = 1.15, 0.6
"""Shares of the pause that a stream bears at which it becomes hasty, and patient again: far apart,
as pauses are short while little is read, and the next burst comes without a warning. Entries see
different samples; where kinds changed with each, streams of one kind would meet at any engine."""

MARGIN = 1.2
"""A stream meets its objective where its bound is this many times what it meets."""

MOST_PEERS = 64
"""Entries whose figures are kept; the median of more says no more."""

NEWS_FACTOR = 1.5
"""A figure that moved by this factor is worth a line in the log."""

FIRST_STEP, LAST_STEP, STEP_SAMPLES = 0.3, 0.02, 20
"""Step of a tracked quantile in its logarithm, falling from the first to the last as samples come;
after `STEP_SAMPLES` samples it has halved."""


def is_significant_change(before: Sequence[float], after: Sequence[float]) -> bool:
    """Returns True where a figure moved by more than is worth a line in the log."""
    return any(
        not 1 / NEWS_FACTOR < new / old < NEWS_FACTOR
        for old, new in zip(before, after, strict=True)
    )


class QuantileTracker:
    """Follows a quantile of positive samples.

    Args:
        start: Value before the first sample.
        quantile: Which quantile, 0 to 1.
    """

    __slots__ = ("_logarithm", "_quantile", "_samples")

    def __init__(self, start: float, quantile: float) -> None:
        self._logarithm = math.log(start)
        self._quantile = quantile
        self._samples = 0.0

    @property
    def value(self) -> float:
        """The quantile."""
        return math.exp(self._logarithm)

    def add(self, sample: float, weight: float = 1.0) -> None:
        """Takes in a sample; a weight below 1 shortens the step."""
        self._samples += weight
        step = max(LAST_STEP, FIRST_STEP / (1 + self._samples / STEP_SAMPLES)) * weight
        below = 1.0 if sample < self.value else 0.0
        self._logarithm += step * (self._quantile - below)


@dataclass(slots=True, frozen=True)
class LatencyObjective:
    """What a stream bears, in seconds; 0 for any.

    Attributes:
        event_gap: Longest gap between two events.
        first_event: Longest time to the first event.
    """

    event_gap: float = 0.0
    first_event: float = 0.0


@dataclass(slots=True, frozen=True)
class _FirstToken:
    prefill_tokens: int
    seconds: float
    at: float


class EnginePerformance:
    """Speeds of the engines of one service, as one entry learns them.

    Args:
        stride: Tokens in one event of a stream.
    """

    __slots__ = (
        "_first_tokens",
        "_fresh_prompts",
        "_hasty",
        "_late_shares",
        "_longest_pauses",
        "_peers",
        "_prompts",
        "_reading",
        "_reading_pause",
        "_start",
        "_stride",
        "_token",
        "_turn_tokens",
    )

    def __init__(self, stride: int) -> None:
        self._stride = max(1, stride)
        self._reading = QuantileTracker(FIRST_READING_SECONDS, 0.5)
        self._token = QuantileTracker(FIRST_TOKEN_SECONDS, 0.5)
        self._start = QuantileTracker(FIRST_START_SECONDS, START_QUANTILE)
        self._longest_pauses: deque[float] = deque(
            [FIRST_READING_STEP_SECONDS * self._stride] * FIRST_PAUSES, maxlen=LONGEST_PAUSES
        )
        self._reading_pause = self._longest_pauses[0]
        self._first_tokens: dict[Urgency, deque[_FirstToken]] = {}
        self._prompts: deque[int] = deque(maxlen=TURN_PROMPTS)
        self._fresh_prompts = 0
        self._turn_tokens = 0.0
        self._late_shares: dict[float, float] = {}
        self._hasty: dict[float, bool] = {}
        self._peers: dict[str, tuple[float, float]] = {}

    @property
    def prefill_token_seconds(self) -> float:
        """Seconds for which an engine reads one token of a prompt, as the fleet learnt it."""
        return median([self._reading.value, *(reading for reading, _ in self._peers.values())])

    @property
    def output_token_seconds(self) -> float:
        """Seconds that a token of an answer usually takes."""
        return self._token.value

    @property
    def idle_first_token_seconds(self) -> float:
        """Seconds to the first token of a short prompt at an idle engine."""
        return self._start.value

    @property
    def prefill_gap_seconds(self) -> float:
        """Seconds between two events at an engine that reads, as the fleet learnt it.

        Pauses grow on the way to an entry with a slow link. Entries that went by their own alone
        would keep different streams apart, so that all kinds would meet at any engine.
        """
        fleet = median([self._reading_pause, *(pause for _, pause in self._peers.values())])
        return max(fleet, self.output_token_seconds * self._stride)

    @property
    def own_estimates(self) -> tuple[float, float]:
        """Reading and reading pause as this entry learnt them, in seconds."""
        return self._reading.value, self._reading_pause

    def record_peer_estimates(self, peer: str, reading: float, pause: float) -> None:
        """Takes in what another entry learnt, in seconds."""
        if reading > 0 and pause > 0 and (peer in self._peers or len(self._peers) < MOST_PEERS):
            self._peers[peer] = (reading, pause)

    @property
    def turn_tokens(self) -> float:
        """Tokens that are left on average of the prompt that an engine reads when another comes."""
        return self._turn_tokens

    def estimates(self) -> tuple[float, float, float]:
        """Returns reading, token and reading pause, in seconds."""
        return self.prefill_token_seconds, self.output_token_seconds, self.prefill_gap_seconds

    def tolerates_prefill(self, objective: LatencyObjective) -> bool:
        """Returns True where a stream is in time at an engine that reads without a break."""
        pause, first = objective.event_gap, objective.first_event
        if pause > 0 and self._is_hasty(pause):
            return False
        if first <= 0:
            return True
        if first not in self._late_shares:
            self._late_shares[first] = self._late_share(first)
        return self._late_shares[first] <= MOST_LATE

    def retain_peers(self, peers: Collection[str]) -> None:
        """Forgets what entries learnt that are gone."""
        for gone in self._peers.keys() - set(peers):
            del self._peers[gone]

    def late_gap_share(self, objective: LatencyObjective) -> float:
        """Returns the share of streams at engines that read which pause for too long."""
        if objective.event_gap <= 0:
            return 0.0
        late = sum(each > objective.event_gap for each in self._longest_pauses)
        return late / len(self._longest_pauses)

    def late_share_during_prefill(self, objective: LatencyObjective) -> float:
        """Returns the share of such streams that are late at an engine that reads."""
        turns = self._late_share(objective.first_event) if objective.first_event > 0 else 0.0
        return max(turns, self.late_gap_share(objective))

    def record_prompt(self, prefill_tokens: int) -> None:
        """Takes in that a request was sent of which an engine has to read about so many tokens."""
        self._prompts.append(prefill_tokens)
        self._fresh_prompts += 1
        if self._fresh_prompts < FRESH_PROMPTS:
            return
        self._fresh_prompts = 0
        self._late_shares.clear()
        total = sum(self._prompts)
        squares = sum(each * each for each in self._prompts)
        self._turn_tokens = squares / (2 * total) if total else 0.0

    def _is_hasty(self, pause: float) -> bool:
        """Returns True where streams that bear a pause are late at an engine that reads."""
        share = self.prefill_gap_seconds / pause
        before = self._hasty.get(pause, share >= 1)
        self._hasty[pause] = share > PATIENT_FROM if before else share > HASTY_FROM
        return self._hasty[pause]

    def _late_share(self, first: float) -> float:
        """Returns the share of the moments of reading at which too much of a prompt is left.

        A prompt of u tokens is read for u moments, in u - x of which more than x tokens are left.
        """
        total = sum(self._prompts)
        bearable = first / (MARGIN * self.prefill_token_seconds)
        late = sum(max(0.0, each - bearable) for each in self._prompts)
        return late / total if total else 0.0

    def record_first_token(
        self,
        urgency: Urgency,
        prefill_tokens: int,
        own: int,
        at_preferred: bool,
        seconds: float,
        now: float,
    ) -> None:
        """Takes in that the first token of a request came.

        Args:
            urgency: Its urgency.
            prefill_tokens: Tokens of its prompt that the engine had to read, as far as known.
            own: Those of them that no other request shares.
            at_preferred: True at the preferred engine of the shared prefix, which usually has it
                cached, as other entries send it there too.
            seconds: Time from its sending to the first token.
            now: Seconds on the boot clock.
        """
        met = seconds - (own if at_preferred else prefill_tokens) * self.prefill_token_seconds
        self._start.add(max(LEAST_START_SECONDS, met))
        if at_preferred:
            prefill_tokens = own
        elif own < KEPT_SHARE * prefill_tokens:
            return
        earlier = self._first_tokens.setdefault(urgency, deque(maxlen=PAIRS))
        for other in earlier:
            more = prefill_tokens - other.prefill_tokens
            if abs(more) >= LEAST_PAIR_TOKENS and now - other.at <= PAIR_SECONDS:
                slope = (seconds - other.seconds) / more
                self._reading.add(slope, min(1.0, abs(more) / FULL_PAIR_TOKENS))
        earlier.append(_FirstToken(prefill_tokens, seconds, now))

    def record_gap(self, seconds: float, events: int) -> None:
        """Takes in that so many events came after a pause."""
        self._token.add(seconds / (events * self._stride))

    def record_stream_end(
        self, objective: LatencyObjective, longest_pause: float, events: int
    ) -> None:
        """Takes in the longest pause of a stream, of those that engines which read may have."""
        if events < LEAST_EVENTS or not self.tolerates_prefill(objective):
            return
        self._longest_pauses.append(longest_pause)
        # What was assumed goes with the first samples, whatever their number.
        if len(self._longest_pauses) == 2 * FIRST_PAUSES:
            for _ in range(FIRST_PAUSES):
                self._longest_pauses.popleft()
        ordered = sorted(self._longest_pauses)
        self._reading_pause = ordered[int(LONGEST_PAUSE_QUANTILE * len(ordered))]
