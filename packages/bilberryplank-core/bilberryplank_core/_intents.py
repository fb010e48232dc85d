"""Intents of non-idempotent requests in the table service.

A row is written before a request is dispatched and names the attempt, so that a repeat that comes
through another entry can ask that attempt's sidecar what became of it. The answer is put beside it.
"""

from __future__ import annotations

import base64
from dataclasses import asdict, dataclass, replace
from enum import Enum
from typing import Any

from bilberryplank_core._contracts import Condition, Put, Row, Table
from bilberryplank_core._errors import Conflict, PlatformUnavailable
from bilberryplank_core._messages import AttemptId, Headers

TABLE = "intents"
MAX_STORED_BODY_BYTES = 64 * 1024


class IntentState(Enum):
    """What is known of a request."""

    STARTED = "started"
    NOT_RUN = "not_run"
    ANSWERED = "answered"


@dataclass(slots=True, frozen=True)
class StoredAnswer:
    """An answer kept for repeats.

    Attributes:
        status: HTTP status.
        headers: Headers.
        body: Whole body; None where it was too large to be kept.
    """

    status: int
    headers: Headers
    body: bytes | None


@dataclass(slots=True, frozen=True)
class Intent:
    """A row of the table.

    Attributes:
        fingerprint: Hash of the request.
        state: What is known.
        attempt: The attempt that may have run.
        upstream: Where it was sent.
        sidecar_epoch: Epoch of the sidecar to which it was sent.
        answer: The answer, once there is one.
    """

    fingerprint: str
    state: IntentState
    attempt: AttemptId
    upstream: str
    sidecar_epoch: str
    answer: StoredAnswer | None = None

    @classmethod
    def from_value(cls, value: Any) -> Intent:
        """Returns the intent in a row's value."""
        answer = value["answer"]
        if answer is not None:
            body = answer["body"]
            decoded = None if body is None else base64.b64decode(body)
            answer = StoredAnswer(answer["status"], answer["headers"], decoded)
        return cls(
            value["fingerprint"],
            IntentState(value["state"]),
            AttemptId(**value["attempt"]),
            value["upstream"],
            value["sidecar_epoch"],
            answer,
        )

    def to_value(self) -> dict[str, Any]:
        """Returns the row's value as plain JSON values."""
        value = asdict(self)
        value["state"] = self.state.value
        if self.answer is not None and self.answer.body is not None:
            value["answer"]["body"] = base64.b64encode(self.answer.body).decode()
        return value


@dataclass(slots=True, frozen=True)
class HeldIntent:
    """An intent as this process last wrote or read it.

    Attributes:
        key: Row key.
        intent: The row's value.
        revision: Revision of the row.
    """

    key: str
    intent: Intent
    revision: int


class IntentJournal:
    """Reads and writes intents; every method may raise `PlatformUnavailable`."""

    __slots__ = ("_table",)

    def __init__(self, table: Table) -> None:
        self._table = table

    async def begin(self, key: str, intent: Intent) -> HeldIntent:
        """Writes the first intent of a request.

        Returns:
            The intent now in the table: the caller's own, or the one of an earlier request with
            the same key.
        """
        try:
            revision = await self._write(key, intent, 0)
        except Conflict:
            return await self._read(key)
        return HeldIntent(key, intent, revision)

    async def move(self, held: HeldIntent, intent: Intent) -> HeldIntent:
        """Replaces an intent by that of the next attempt.

        Raises:
            Conflict: Somebody else has replaced it; this attempt must not run.
        """
        revision = await self._write(held.key, intent, held.revision)
        return HeldIntent(held.key, intent, revision)

    async def finish(self, held: HeldIntent, answer: StoredAnswer) -> None:
        """Puts the answer beside the intent.

        Raises:
            Conflict: Somebody else has replaced the intent.
        """
        if answer.body is not None and len(answer.body) > MAX_STORED_BODY_BYTES:
            answer = replace(answer, body=None)
        intent = replace(held.intent, state=IntentState.ANSWERED, answer=answer)
        await self._write(held.key, intent, held.revision)

    async def mark_not_run(self, held: HeldIntent) -> None:
        """Notes that no attempt ran, so that a repeat need not ask the sidecar.

        Raises:
            Conflict: Somebody else has replaced the intent.
        """
        intent = replace(held.intent, state=IntentState.NOT_RUN)
        await self._write(held.key, intent, held.revision)

    async def _write(self, key: str, intent: Intent, revision: int) -> int:
        condition = Condition(TABLE, key, revision)
        return await self._table.commit([condition], [Put(TABLE, key, intent.to_value())])

    async def _read(self, key: str) -> HeldIntent:
        row: Row | None = await self._table.read(TABLE, key)
        if row is None:
            raise PlatformUnavailable("reads are behind; the intent cannot be seen yet")
        return HeldIntent(key, Intent.from_value(row.value), row.revision)
