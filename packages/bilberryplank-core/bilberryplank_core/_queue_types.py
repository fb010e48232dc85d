"""Types that every queue of a sidecar shares, and the contract of such a queue."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from bilberryplank_core._errors import RefusalReason
from bilberryplank_core._messages import AttemptId, Load


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request as the queue sees it; times in seconds on a monotonic clock.

    Attributes:
        attempt: Identity of the attempt.
        organisation: The key's organisation.
        key_id: Id of the key.
        class_name: Request class.
        rank: Rank of the class's tier; 0 is the highest.
        prompt_tokens: Estimated prompt tokens.
        output_limit: Most output tokens that the caller allows; 0 where it names none.
        arrived: When the sidecar received it.
        deadline: When it is given up.
        first_token_target: Seconds from arrival until the first byte of the answer.
        weight: Weight of the organisation.
        floor_share: Least share of dispatches of the class, 0 to 1.
        idempotent: False where it may run at most once.
        preemptible: True where the engine can resume it, or running it again is harmless.
        cost: Estimated cost in generated tokens; the queue sets it.
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
    """A request that left the queue without running, and never will run.

    Attributes:
        attempt: Identity of the attempt.
        reason: Why it was refused.
        retry_after: Seconds until it is worth coming back.
    """

    attempt: AttemptId
    reason: RefusalReason
    retry_after: float


class RequestQueue(ABC):
    """Decides which requests an upstream runs, in which order, and which are refused.

    A request is queued from `offer` until `dequeue`, `cancel` or a rejection names it, and holds a
    slot from `dequeue` until `release`.
    """

    @abstractmethod
    def offer(self, req: QueuedRequest, now: float) -> list[Rejection]:
        """Queues a request; returns what is refused, be it this one or one that made room."""

    @abstractmethod
    def dequeue(self, now: float) -> QueuedRequest | None:
        """Returns the request to dispatch now, which holds a slot from here on, or None."""

    @abstractmethod
    def record_sent(self, attempt: AttemptId, now: float) -> None:
        """Notes that a taken request was sent to the upstream."""

    @abstractmethod
    def record_first_token(self, attempt: AttemptId, now: float) -> None:
        """Notes that the first byte of an answer came."""

    @abstractmethod
    def release(
        self,
        attempt: AttemptId,
        now: float,
        prompt_tokens: int,
        completion_tokens: int,
        completed: bool = True,
    ) -> None:
        """Frees the slot of a taken request, with the tokens it really used.

        `completed` is False where the answer was cut: preempted, cancelled or failed.
        """

    @abstractmethod
    def cancel(self, attempt: AttemptId) -> bool:
        """Removes a queued request; True only where it was still queued and never will run."""

    @abstractmethod
    def expire(self, now: float) -> list[Rejection]:
        """Removes the queued requests whose deadline has passed."""

    @abstractmethod
    def next_expiry(self) -> float | None:
        """Returns the earliest deadline of a queued request, or None."""

    @abstractmethod
    def reject_withdrawn_keys(self, withdrawn: Iterable[str]) -> list[Rejection]:
        """Removes the queued requests of withdrawn keys."""

    @abstractmethod
    def preempt(self, now: float) -> AttemptId | None:
        """Returns a running request to stop so that one of a higher tier can start, or None."""

    @abstractmethod
    def load(self, now: float) -> Load:
        """Returns queued, running, slots, queued cost and drain rate; the rest at its defaults."""

    @abstractmethod
    def set_slots(self, slots: int) -> None:
        """Sets the requests that the upstream runs at once; running ones stay."""
