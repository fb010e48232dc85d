"""Notices between the entries of a fleet about crashes of engines, and their rows in the store.

Notices reach the others while the store does not answer; rows outlive a restart of all entries.
Both carry whole records, which their receiver merges with its own.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgpack

from bilberryplank_core._checked_values import (
    MAX_SAFE_INTEGER,
    ValueInvalid,
    check_number,
    check_text,
)
from bilberryplank_core._crash_evidence import EVIDENCE_SECONDS, MAX_SUSPECTS, CrashRecord
from bilberryplank_core._notice_format import NoticeInvalid, unpack_notice

CRASH_FORMAT = 6
MAX_NOTICE_BYTES = 8 * 1024
MAX_NAME_CHARS = 200


def encode_crashes(records: Iterable[CrashRecord], now: float) -> bytes:
    """Returns a notice with the newest of the records, as many as fit."""
    newest = sorted(records, key=lambda record: record.at, reverse=True)
    fields: list[Any] = []
    size = 16
    for record in newest:
        packed = _fields(record, max(0.0, now - record.at))
        size += len(msgpack.packb(packed))
        if size > MAX_NOTICE_BYTES:
            break
        fields.append(packed)
    return msgpack.packb([CRASH_FORMAT, fields])


def decode_crashes(data: bytes, now: float) -> list[CrashRecord]:
    """Returns the records in a notice.

    Raises:
        NoticeInvalid: The datagram is not a notice of crashes.
    """
    (fields,) = unpack_notice(data, CRASH_FORMAT, MAX_NOTICE_BYTES, fields=1)
    if not isinstance(fields, list):
        raise NoticeInvalid("the crashes are not a list")
    return [_record(each, now) for each in fields]


def crash_row(record: CrashRecord, now: float, store_time: float) -> dict[str, Any]:
    """Returns the value of a record's row in the store.

    Args:
        record: The record.
        now: Current time on the clock of this process.
        store_time: Current time on the clock of the store.
    """
    age = now - record.at
    return {"at": store_time - age, "crash": _fields(record, age)}


def read_crash_row(value: Any, now: float, store_time: float) -> CrashRecord | None:
    """Returns the record in a row; None if it holds none, or one that no longer counts."""
    try:
        engine, _, *others = value["crash"]
        at = check_number(value["at"], "the time", least=-MAX_SAFE_INTEGER)
        record = _record([engine, store_time - float(at), *others], now)
    except (KeyError, NoticeInvalid, TypeError, ValueError):
        return None
    return record if now - record.at <= EVIDENCE_SECONDS else None


def _fields(record: CrashRecord, age: float) -> list[Any]:
    return [record.engine, age, record.exposure, *map(sorted, record.sets)]


def _record(value: Any, now: float) -> CrashRecord:
    if not isinstance(value, list) or len(value) != 7:
        raise NoticeInvalid("a crash has an unexpected number of fields")
    engine, age, exposure, *sets = value
    sets = [_segments(each) for each in sets]
    return CrashRecord(_name(engine), now - _seconds(age), *sets, exposure=_seconds(exposure))


def _seconds(value: Any) -> float:
    if type(value) is not float or not -1.0 <= value <= 10 * EVIDENCE_SECONDS:
        raise NoticeInvalid("a time of a crash is out of range")
    return max(0.0, value)


def _segments(value: Any) -> set[str]:
    if not isinstance(value, list) or len(value) > MAX_SUSPECTS:
        raise NoticeInvalid("the segments of a crash are not a list, or too many")
    return {_name(each) for each in value}


def _name(value: Any) -> str:
    try:
        return check_text(value, "a name", MAX_NAME_CHARS)
    except ValueInvalid as exc:
        raise NoticeInvalid(str(exc)) from exc
