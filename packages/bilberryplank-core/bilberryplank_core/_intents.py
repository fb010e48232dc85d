"""Intents of non-idempotent requests, stored in the table service.

A row is written before a request is dispatched and names the attempt, so that a repeat through
another entry can ask that attempt's sidecar for its outcome. The answer is later added to the row.
"""

from __future__ import annotations

import base64
from dataclasses import asdict, dataclass, replace
from enum import Enum
from typing import Any

from bilberryplank_core._contracts import Condition, Put, Row, Table
from bilberryplank_core._errors import Conflict, PlatformUnavailable
from bilberryplank_core._messages import AttemptId, Headers

INTENT_TABLE = "intents"
MAX_STORED_BODY_BYTES = 64 * 1024


class IntentState(Enum):
    """Known state of a request."""

    STARTED = "started"
    NOT_RUN = "not_run"
    ANSWERED = "answered"


@dataclass(slots=True, frozen=True)
class StoredAnswer:
    """An answer stored for repeats.

    Attributes:
        status: HTTP status.
        headers: Headers.
        body: Complete body; None if it was too large to be stored.
    """

    status: int
    headers: Headers
    body: bytes | None


@dataclass(slots=True, frozen=True)
class Intent:
    """Value of a row of the table.

    Attributes:
        fingerprint: Hash of the request.
        state: Known state of the request.
        attempt: The attempt that may have run.
        upstream: Upstream to which the attempt was sent.
        sidecar_epoch: Epoch of the sidecar to which the attempt was sent.
        answer: The answer; None before there is one.
    """

    fingerprint: str
    state: IntentState
    attempt: AttemptId
    upstream: str
    sidecar_epoch: str
    answer: StoredAnswer | None = None

    @classmethod
    def from_value(cls, value: Any) -> Intent:
        """Decodes the value of a row."""
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
        """Returns the value of the row as plain JSON values."""
        value = asdict(self)
        value["state"] = self.state.value
        if self.answer is not None and self.answer.body is not None:
            value["answer"]["body"] = base64.b64encode(self.answer.body).decode()
        return value


@dataclass(slots=True, frozen=True)
class VersionedIntent:
    """An intent with its row revision, as this process last wrote or read it.

    Attributes:
        key: Row key.
        intent: Value of the row.
        revision: Revision of the row.
    """

    key: str
    intent: Intent
    revision: int


class IntentStore:
    """Reads and writes intents; every method may raise `PlatformUnavailable`."""

    __slots__ = ("_table",)

    def __init__(self, table: Table) -> None:
        self._table = table

    async def begin(self, key: str, intent: Intent) -> VersionedIntent:
        """Writes the first intent of a request, unless the row exists.

        Returns:
            The intent that is in the table: the given one, or that of an earlier request with the
            same key.
        """
        try:
            revision = await self._write(key, intent, 0)
        except Conflict:
            return await self._read(key)
        return VersionedIntent(key, intent, revision)

    async def replace_attempt(self, stored: VersionedIntent, intent: Intent) -> VersionedIntent:
        """Replaces an intent by that of the next attempt.

        Raises:
            Conflict: Another process has replaced the intent; this attempt must not run.
        """
        revision = await self._write(stored.key, intent, stored.revision)
        return VersionedIntent(stored.key, intent, revision)

    async def finish(self, stored: VersionedIntent, answer: StoredAnswer) -> None:
        """Adds the answer to the intent.

        Raises:
            Conflict: Another process has replaced the intent.
        """
        if answer.body is not None and len(answer.body) > MAX_STORED_BODY_BYTES:
            answer = replace(answer, body=None)
        intent = replace(stored.intent, state=IntentState.ANSWERED, answer=answer)
        await self._write(stored.key, intent, stored.revision)

    async def mark_not_run(self, stored: VersionedIntent) -> None:
        """Records that no attempt ran, so that a repeat need not ask the sidecar.

        Raises:
            Conflict: Another process has replaced the intent.
        """
        intent = replace(stored.intent, state=IntentState.NOT_RUN)
        await self._write(stored.key, intent, stored.revision)

    async def _write(self, key: str, intent: Intent, revision: int) -> int:
        condition = Condition(INTENT_TABLE, key, revision)
        return await self._table.commit([condition], [Put(INTENT_TABLE, key, intent.to_value())])

    async def _read(self, key: str) -> VersionedIntent:
        row: Row | None = await self._table.read(INTENT_TABLE, key)
        if row is None:
            raise PlatformUnavailable("table reads are stale; the intent is not visible yet")
        return VersionedIntent(key, Intent.from_value(row.value), row.revision)
