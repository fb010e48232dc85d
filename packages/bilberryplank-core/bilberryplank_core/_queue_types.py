"""The interface of a sidecar's request queue, and the types that all queues share."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from bilberryplank_core._errors import RefusalReason
from bilberryplank_core._messages import AttemptId, Load


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request as the queue sees it; times are seconds on a monotonic clock.

    Attributes:
        attempt: Identity of the attempt.
        organisation: Organisation that the key belongs to.
        key_id: Id of the key.
        class_name: Request class.
        rank: Rank of the class's tier; 0 is the highest.
        prompt_tokens: Estimated prompt tokens.
        output_limit: Maximum output tokens that the caller set; 0 if it set none.
        arrived: Time at which the sidecar received it.
        deadline: Time at which it is abandoned.
        first_token_target: Seconds from arrival until the first byte of the answer.
        weight: Weight of the organisation in the fair shares of the class.
        floor_share: Minimum share of dispatches for the class, 0 to 1.
        idempotent: False if it may run at most once.
        preemptible: True if the engine can resume it or running it again does no harm.
        cost: Estimated cost in units of generated tokens; set by the queue.
    """

    attempt: AttemptId
    organisation: str
    key_id: str
    class_name: str
    rank: int
    prompt_tokens: int
    output_limit: int
    arrived: float
    deadline: float
    first_token_target: float
    weight: float = 1.0
    floor_share: float = 0.05
    idempotent: bool = True
    preemptible: bool = False
    cost: float = 0.0


@dataclass(slots=True, frozen=True)
class Rejection:
    """A request that left the queue without having run and will not run.

    Attributes:
        attempt: Identity of the attempt.
        reason: Why it was rejected.
        retry_after: Seconds until the queued cost is expected to have drained.
    """

    attempt: AttemptId
    reason: RefusalReason
    retry_after: float


class RequestQueue(ABC):
    """Decides which requests an upstream runs, in which order, and which are rejected.

    A request is queued from `offer` until `dequeue` or a rejection returns it or `cancel` removes
    it. It holds a slot from `dequeue` until `release`.
    """

    @abstractmethod
    def offer(self, req: QueuedRequest, now: float) -> list[Rejection]:
        """Queues a request; returns the rejection of this one, or of one shed to make room."""

    @abstractmethod
    def dequeue(self, now: float) -> QueuedRequest | None:
        """Returns the request to dispatch now, or None; it holds a slot until `release`."""

    @abstractmethod
    def record_sent(self, attempt: AttemptId, now: float) -> None:
        """Records that a dequeued request was sent to the upstream."""

    @abstractmethod
    def record_first_token(self, attempt: AttemptId, now: float) -> None:
        """Records that the first byte of an answer arrived."""

    @abstractmethod
    def release(
        self,
        attempt: AttemptId,
        now: float,
        prompt_tokens: int,
        completion_tokens: int,
        completed: bool = True,
    ) -> None:
        """Frees the slot of a dequeued request and records the tokens that it used.

        `completed` is False if the answer was cut off: preempted, cancelled or failed.
        """

    @abstractmethod
    def cancel(self, attempt: AttemptId) -> bool:
        """Removes a queued request; returns True only if it was still queued and so never runs."""

    @abstractmethod
    def expire(self, now: float) -> list[Rejection]:
        """Removes the queued requests whose deadline has passed."""

    @abstractmethod
    def next_expiry(self) -> float | None:
        """Returns the earliest deadline of a queued request, or None."""

    @abstractmethod
    def reject_withdrawn_keys(self, withdrawn: Iterable[str]) -> list[Rejection]:
        """Rejects the queued requests whose key was withdrawn."""

    @abstractmethod
    def preempt(self, now: float) -> AttemptId | None:
        """Selects a running request to stop so that one of a higher tier can start, or None."""

    @abstractmethod
    def load(self, now: float) -> Load:
        """Returns queued, running, slots, queued cost and drain rate, the rest at its defaults."""

    @abstractmethod
    def set_slots(self, slots: int) -> None:
        """Sets how many requests the upstream runs at once; running requests are unaffected."""
