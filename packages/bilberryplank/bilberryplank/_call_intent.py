"""The intent of one call that may run at most once."""

from __future__ import annotations

from loguru import logger

from bilberryplank._logs import log_event
from bilberryplank_core.errors import (
    Conflict,
    PlatformUnavailable,
    RefusalReason,
    Refused,
)
from bilberryplank_core.idempotency import (
    Intent,
    IntentState,
    IntentStore,
    RequestIdentity,
    StoredAnswer,
    VersionedIntent,
)
from bilberryplank_core.messages import AttemptId

STORE_RETRY_SECONDS = 1.0
DUPLICATE_RETRY_SECONDS = 1.0
FINISH_ATTEMPTS = 3


class CallIntent:
    """Keeps a call's row in step with its attempts.

    A call without an identity has no row: it is attempted once, and a repeat of it is another call.
    """

    __slots__ = ("_held", "_identity", "_journal")

    def __init__(self, journal: IntentStore, identity: RequestIdentity | None) -> None:
        self._journal = journal
        self._identity = identity
        self._held: VersionedIntent | None = None

    @property
    def has_identity(self) -> bool:
        """True where a repeat of the call can be recognised."""
        return self._identity is not None

    async def before_dispatch(
        self, attempt: AttemptId, upstream: str, sidecar_epoch: str
    ) -> VersionedIntent | None:
        """Writes the intent of an attempt; it may be dispatched only where this returns None.

        Returns:
            The intent of an earlier request with the same identity.

        Raises:
            Refused: The table cannot take the intent, or another request took the row over.
        """
        if self._identity is None:
            return None
        intent = self._intent(attempt, upstream, sidecar_epoch)
        try:
            if self._held is not None:
                self._held = await self._journal.replace_attempt(self._held, intent)
                return None
            found = await self._journal.begin(self._identity.key, intent)
        except PlatformUnavailable as exc:
            raise _store_unavailable() from exc
        except Conflict as exc:
            raise duplicate_in_progress() from exc
        if found.intent.attempt == attempt:
            self._held = found
            return None
        self._check_fingerprint(found)
        if found.intent.state is IntentState.NOT_RUN:
            await self.take_over(found, attempt, upstream, sidecar_epoch)
            return None
        return found

    async def take_over(
        self, found: VersionedIntent, attempt: AttemptId, upstream: str, sidecar_epoch: str
    ) -> None:
        """Replaces the intent of a request that never ran; the attempt may then be dispatched.

        Raises:
            Refused: The table cannot take the intent, or another request took the row over.
        """
        intent = self._intent(attempt, upstream, sidecar_epoch)
        try:
            self._held = await self._journal.replace_attempt(found, intent)
        except PlatformUnavailable as exc:
            raise _store_unavailable() from exc
        except Conflict as exc:
            raise duplicate_in_progress() from exc

    async def finish(self, answer: StoredAnswer) -> bool:
        """Puts the answer beside the intent; returns False where the table did not take it."""
        return await self.finish_found(self._held, answer)

    async def finish_found(self, held: VersionedIntent | None, answer: StoredAnswer) -> bool:
        """Puts the answer of an earlier request beside its intent."""
        if held is None:
            return True
        for _ in range(FINISH_ATTEMPTS):
            try:
                await self._journal.finish(held, answer)
                return True
            except Conflict:
                return True
            except PlatformUnavailable as exc:
                log_event(logger, "intent_unfinished", level="WARNING", code=exc.code)
        return False

    async def give_up(self) -> None:
        """Notes that no attempt ran."""
        if self._held is None:
            return
        try:
            await self._journal.mark_not_run(self._held)
        except (Conflict, PlatformUnavailable) as exc:
            log_event(logger, "intent_unmarked", level="WARNING", code=exc.code)

    def _intent(self, attempt: AttemptId, upstream: str, sidecar_epoch: str) -> Intent:
        assert self._identity is not None
        fingerprint = self._identity.fingerprint
        return Intent(fingerprint, IntentState.STARTED, attempt, upstream, sidecar_epoch)

    def _check_fingerprint(self, found: VersionedIntent) -> None:
        assert self._identity is not None
        if found.intent.fingerprint != self._identity.fingerprint:
            message = "another request was sent with the same identity"
            raise Refused(RefusalReason.IDEMPOTENCY_CONFLICT, message)


def duplicate_in_progress() -> Refused:
    """Returns the refusal of a repeat whose first request is still running."""
    return Refused(
        RefusalReason.DUPLICATE_IN_PROGRESS,
        "the same request is running",
        not_run=False,
        retry_after=DUPLICATE_RETRY_SECONDS,
    )


def duplicate_unsettled(message: str) -> Refused:
    """Returns the refusal of a repeat of which nobody knows whether the first request ran."""
    return Refused(RefusalReason.DUPLICATE_UNSETTLED, message, not_run=False)


def _store_unavailable() -> Refused:
    message = "the store that makes the request run at most once is unavailable"
    return Refused(RefusalReason.STORE_UNAVAILABLE, message, retry_after=STORE_RETRY_SECONDS)
