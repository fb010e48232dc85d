"""Running estimates of output lengths, request cost, service rate and offered load."""

from __future__ import annotations

import math
from collections import OrderedDict

PROMPT_TOKEN_COST = 0.1
"""Cost of a prompt token, in units of generated tokens."""

DEFAULT_OUTPUT_TOKENS = 128.0
"""Output tokens assumed until there are enough samples."""

OUTPUT_QUANTILE = 0.6
MIN_SAMPLES = 8
MAX_HISTOGRAMS = 512
SAMPLE_DECAY = 0.98
"""Each new sample multiplies the weight of all earlier ones by this factor."""

BUCKETS_PER_OCTAVE = 4
BUCKET_COUNT = 20 * BUCKETS_PER_OCTAVE


class LengthHistogram:
    """A decaying histogram of token counts in geometric buckets, with an error below 20%."""

    __slots__ = ("_counts", "_total", "samples")

    def __init__(self) -> None:
        self._counts = [0.0] * BUCKET_COUNT
        self._total = 0.0
        self.samples = 0

    def add(self, tokens: int) -> None:
        """Adds a token count; it weighs more than earlier ones, which stands for their decay."""
        weight = 1.0 + self._total * (1.0 - SAMPLE_DECAY)
        index = min(BUCKET_COUNT - 1, int(math.log2(tokens + 1) * BUCKETS_PER_OCTAVE))
        self._counts[index] += weight
        self._total += weight
        self.samples += 1
        if self._total > 1e12:
            self._counts = [count / self._total for count in self._counts]
            self._total = 1.0

    def quantile(self, fraction: float) -> float:
        """Returns the tokens that this fraction of the weighted samples does not exceed."""
        remaining = self._total * fraction
        for index, count in enumerate(self._counts):
            remaining -= count
            if remaining <= 0:
                return 2 ** ((index + 0.5) / BUCKETS_PER_OCTAVE) - 1
        return 2 ** (BUCKET_COUNT / BUCKETS_PER_OCTAVE)


class OutputLengthEstimator:
    """Estimates output tokens by class and organisation, or by class while samples are few."""

    __slots__ = ("_histograms",)

    def __init__(self) -> None:
        self._histograms: OrderedDict[tuple[str, str], LengthHistogram] = OrderedDict()

    def observe(self, class_name: str, organisation: str, tokens: int) -> None:
        """Adds the output tokens of a completed answer."""
        for key in ((class_name, ""), (class_name, organisation)):
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = self._histograms[key] = LengthHistogram()
            self._histograms.move_to_end(key)
            histogram.add(tokens)
        while len(self._histograms) > MAX_HISTOGRAMS:
            self._histograms.popitem(last=False)

    def estimate(self, class_name: str, organisation: str, limit: int) -> float:
        """Returns the estimated output tokens, at most `limit` unless that is 0."""
        tokens = DEFAULT_OUTPUT_TOKENS
        for key in ((class_name, organisation), (class_name, "")):
            histogram = self._histograms.get(key)
            if histogram is not None and histogram.samples >= MIN_SAMPLES:
                tokens = histogram.quantile(OUTPUT_QUANTILE)
                break
        return min(tokens, limit) if limit > 0 else tokens


class ServiceRate:
    """Slot seconds per unit of cost and per request, as decaying means."""

    __slots__ = ("_cost", "_requests", "_seconds")

    def __init__(self) -> None:
        self._cost = 0.0
        self._requests = 0.0
        self._seconds = 0.0

    @property
    def known(self) -> bool:
        """True once there are enough samples."""
        return self._requests >= MIN_SAMPLES * SAMPLE_DECAY**MIN_SAMPLES

    def observe(self, cost: float, seconds: float) -> None:
        """Adds a request of this cost that held a slot for so many seconds."""
        self._cost = self._cost * SAMPLE_DECAY + cost
        self._requests = self._requests * SAMPLE_DECAY + 1.0
        self._seconds = self._seconds * SAMPLE_DECAY + seconds

    def seconds_per_cost(self) -> float:
        """Returns the slot seconds per unit of cost; 0 while unknown."""
        return self._seconds / self._cost if self.known and self._cost > 0 else 0.0

    def seconds_per_request(self) -> float:
        """Returns the slot seconds per request; 0 while unknown."""
        return self._seconds / self._requests if self.known else 0.0

    def cost_per_second(self) -> float:
        """Returns the cost that one busy slot serves per second; 0 while unknown."""
        return self._cost / self._seconds if self.known and self._seconds > 0 else 0.0


def cost_of(prompt_tokens: float, completion_tokens: float) -> float:
    """Returns the cost of a request in units of generated tokens, at least 1."""
    return max(1.0, prompt_tokens * PROMPT_TOKEN_COST + completion_tokens)


class OfferedLoad:
    """Offered load in Erlangs: slots that arriving requests would keep busy, as a decaying mean."""

    __slots__ = ("_slot_seconds", "_updated_at", "_window_seconds")

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._slot_seconds = 0.0
        self._updated_at = 0.0

    def observe(self, seconds: float, now: float) -> None:
        """Adds a request that is expected to hold a slot for so many seconds."""
        self._decay(now)
        self._slot_seconds += seconds

    def erlangs(self, now: float) -> float:
        """Returns the mean number of slots that the arriving requests would keep busy."""
        self._decay(now)
        return self._slot_seconds / self._window_seconds

    def _decay(self, now: float) -> None:
        if now > self._updated_at:
            self._slot_seconds *= math.exp((self._updated_at - now) / self._window_seconds)
            self._updated_at = now
