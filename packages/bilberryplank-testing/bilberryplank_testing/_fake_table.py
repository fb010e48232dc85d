"""Fake of the transactional table service, with stale reads of its past."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

HISTORY_SECONDS = 600.0


@dataclass(slots=True, frozen=True)
class _Version:
    at: float
    revision: int
    value: Any
    deleted: bool = False


class FakeTable:
    """Rows with all their versions of the last `HISTORY_SECONDS`.

    Times are monotonic seconds; `at` of a read is the moment as of which it answers.
    """

    __slots__ = ("_revision", "_rows")

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], list[_Version]] = {}
        self._revision = 0

    def read(self, table: str, key: str, at: float) -> dict[str, Any] | None:
        """Returns the row as a document, or None."""
        version = self._version(table, key, at)
        return None if version is None else {"value": version.value, "revision": version.revision}

    def scan(self, table: str, prefix: str, limit: int, at: float) -> list[dict[str, Any]]:
        """Returns rows whose key begins with `prefix`, in key order."""
        names = sorted(name for name in self._rows if name[0] == table)
        rows = [
            {"key": key} | row
            for _, key in names
            if key.startswith(prefix) and (row := self.read(table, key, at)) is not None
        ]
        return rows[:limit]

    def commit(
        self, conditions: list[dict[str, Any]], writes: list[dict[str, Any]], now: float
    ) -> tuple[int, list[dict[str, Any]]]:
        """Applies all writes or none; returns the new revision and the failed conditions."""
        failed = [item for item in conditions if not self._holds(item, now)]
        if failed:
            return 0, failed
        self._revision += 1
        for write in writes:
            self._write(write, now)
        return self._revision, []

    def _holds(self, condition: dict[str, Any], now: float) -> bool:
        version = self._version(condition["table"], condition["key"], now)
        return (version.revision if version else 0) == condition["revision"]

    def _write(self, write: dict[str, Any], now: float) -> None:
        versions = self._rows.setdefault((write["table"], write["key"]), [])
        deleted = write.get("delete", False)
        value = None if deleted else write["value"]
        versions.append(_Version(now, self._revision, value, deleted))
        while len(versions) > 1 and versions[1].at < now - HISTORY_SECONDS:
            versions.pop(0)

    def _version(self, table: str, key: str, at: float) -> _Version | None:
        for version in reversed(self._rows.get((table, key), ())):
            if version.at <= at:
                return None if version.deleted else version
        return None
