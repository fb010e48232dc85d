"""Running estimates: output lengths, cost of a request and the rate at which work drains."""

from __future__ import annotations

import math
from collections import OrderedDict

PROMPT_TOKEN_COST = 0.1
"""Cost of a prompt token in generated tokens."""

DEFAULT_OUTPUT_TOKENS = 128.0
"""Estimate before any answer was seen, in tokens."""

OUTPUT_QUANTILE = 0.6
MIN_SAMPLES = 8
MAX_HISTOGRAMS = 512
SAMPLE_DECAY = 0.98
"""Weight of older samples at each new one."""

BUCKETS_PER_OCTAVE = 4
BUCKET_COUNT = 20 * BUCKETS_PER_OCTAVE


class LengthHistogram:
    """A decaying histogram over lengths, with geometric buckets; its error is under a fifth."""

    __slots__ = ("_counts", "_total", "samples")

    def __init__(self) -> None:
        self._counts = [0.0] * BUCKET_COUNT
        self._total = 0.0
        self.samples = 0

    def add(self, tokens: int) -> None:
        """Adds a length; a larger increment stands for the decay of all earlier ones."""
        step = 1.0 + self._total * (1.0 - SAMPLE_DECAY)
        index = min(BUCKET_COUNT - 1, int(math.log2(tokens + 1) * BUCKETS_PER_OCTAVE))
        self._counts[index] += step
        self._total += step
        self.samples += 1
        if self._total > 1e12:
            self._counts = [count / self._total for count in self._counts]
            self._total = 1.0

    def quantile(self, share: float) -> float:
        """Returns the length, in tokens, that `share` of the weighted samples do not exceed."""
        left = self._total * share
        for index, count in enumerate(self._counts):
            left -= count
            if left <= 0:
                return 2 ** ((index + 0.5) / BUCKETS_PER_OCTAVE) - 1
        return 2 ** (BUCKET_COUNT / BUCKETS_PER_OCTAVE)


class OutputLengthEstimator:
    """Estimates output lengths by class and organisation, or by class while samples are few."""

    __slots__ = ("_histograms",)

    def __init__(self) -> None:
        self._histograms: OrderedDict[tuple[str, str], LengthHistogram] = OrderedDict()

    def observe(self, class_name: str, organisation: str, tokens: int) -> None:
        """Learns from a whole answer."""
        for key in ((class_name, ""), (class_name, organisation)):
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = self._histograms[key] = LengthHistogram()
            self._histograms.move_to_end(key)
            histogram.add(tokens)
        while len(self._histograms) > MAX_HISTOGRAMS:
            self._histograms.popitem(last=False)

    def estimate(self, class_name: str, organisation: str, limit: int) -> float:
        """Returns the tokens that an answer will have, at most `limit` where that is not 0."""
        tokens = DEFAULT_OUTPUT_TOKENS
        for key in ((class_name, organisation), (class_name, "")):
            histogram = self._histograms.get(key)
            if histogram is not None and histogram.samples >= MIN_SAMPLES:
                tokens = histogram.quantile(OUTPUT_QUANTILE)
                break
        return min(tokens, limit) if limit > 0 else tokens


class ServiceRate:
    """Seconds of a slot per unit of cost, and per request, as decaying means."""

    __slots__ = ("_cost", "_requests", "_seconds")

    def __init__(self) -> None:
        self._cost = 0.0
        self._requests = 0.0
        self._seconds = 0.0

    @property
    def known(self) -> bool:
        """True once there are samples enough."""
        return self._requests >= MIN_SAMPLES * SAMPLE_DECAY**MIN_SAMPLES

    def observe(self, cost: float, seconds: float) -> None:
        """Learns from a finished request."""
        self._cost = self._cost * SAMPLE_DECAY + cost
        self._requests = self._requests * SAMPLE_DECAY + 1.0
        self._seconds = self._seconds * SAMPLE_DECAY + seconds

    def seconds_per_cost(self) -> float:
        """Returns seconds of a slot per unit of cost; 0 while unknown."""
        return self._seconds / self._cost if self.known and self._cost > 0 else 0.0

    def seconds_per_request(self) -> float:
        """Returns seconds of a slot per request; 0 while unknown."""
        return self._seconds / self._requests if self.known else 0.0

    def cost_per_second(self) -> float:
        """Returns the cost that one busy slot finishes a second; 0 while unknown."""
        return self._cost / self._seconds if self.known and self._seconds > 0 else 0.0


def cost_of(prompt_tokens: float, completion_tokens: float) -> float:
    """Returns the cost of a request in generated tokens, at least 1."""
    return max(1.0, prompt_tokens * PROMPT_TOKEN_COST + completion_tokens)


class OfferedLoad:
    """Slots that arriving requests would keep busy, as a mean that decays with time (Erlangs)."""

    __slots__ = ("_seconds", "_time", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._seconds = 0.0
        self._time = 0.0

    def observe(self, seconds: float, now: float) -> None:
        """Adds a request that will hold a slot for so many seconds."""
        self._decay(now)
        self._seconds += seconds

    def erlangs(self, now: float) -> float:
        """Returns the mean number of slots that the offered requests keep busy."""
        self._decay(now)
        return self._seconds / self._window

    def _decay(self, now: float) -> None:
        if now > self._time:
            self._seconds *= math.exp((self._time - now) / self._window)
            self._time = now
