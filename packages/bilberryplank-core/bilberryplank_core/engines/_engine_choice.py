"""An engine that was chosen, and what it is expected to cost."""

from __future__ import annotations

from dataclasses import dataclass

from bilberryplank_core._direct_types import DirectUpstream, RequestHead
from bilberryplank_core.engines._engine_performance import LatencyObjective
from bilberryplank_core.engines._queueing_delays import Urgency


@dataclass(slots=True, frozen=True)
class EngineChoice:
    """An engine and why it was chosen.

    Attributes:
        upstream: The engine.
        objective: Latency objective of the request's stream.
        urgency: Urgency of the request.
        prefill_tokens: Tokens of the prompt that it does not have cached.
        delay: Expected queueing delay in seconds.
        wait: Expected seconds until the first token.
        load_age: Age in seconds of the engine's last load report; None without one, and where peer
            notices are used in its place.
        at_preferred: True where it is the preferred engine of the prompt's shared prefix.
    """

    upstream: DirectUpstream
    objective: LatencyObjective
    urgency: Urgency
    prefill_tokens: int
    delay: float
    wait: float
    load_age: float | None
    at_preferred: bool = False


@dataclass(slots=True, frozen=True)
class EngineCandidate:
    """An engine with its expected cost in seconds, and its rank among the preferred ones."""

    choice: EngineChoice
    cost: float
    preference_rank: int


def slot_wait(requests: float, slots: int, service_seconds: float) -> float:
    """Returns the seconds until an engine's batch has room for one more request.

    Motivating load: a burst of long answers; engines with idle slots next to full ones.

    Args:
        requests: Requests that the engine has, running or waiting.
        slots: Requests in one batch.
        service_seconds: Mean time that a request spends in the batch.
    """
    return max(0.0, requests + 1 - slots) * service_seconds / max(1, slots)


def answer_tokens(call: RequestHead) -> int:
    """Returns the expected output tokens of a request."""
    if call.expected_output_tokens is None:
        return call.max_output_tokens
    return min(call.expected_output_tokens, call.max_output_tokens)
