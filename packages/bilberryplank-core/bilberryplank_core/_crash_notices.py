"""Notices between the entries of a fleet about crashes of engines, and their rows in the store.

Notices reach the others while the store does not answer; rows outlive a restart of all entries.
Both carry whole records, which their receiver merges with its own.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgpack

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
        packed = [record.engine, max(0.0, now - record.at), *map(sorted, record.sets)]
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
    fields = [record.engine, *map(sorted, record.sets)]
    return {"at": store_time - (now - record.at), "crash": fields}


def read_crash_row(value: Any, now: float, store_time: float) -> CrashRecord | None:
    """Returns the record in a row; None if it holds none, or one that no longer counts."""
    try:
        engine, *sets = value["crash"]
        record = _record([engine, float(store_time - value["at"]), *sets], now)
    except (KeyError, NoticeInvalid, TypeError, ValueError):
        return None
    return record if now - record.at <= EVIDENCE_SECONDS else None


def _record(value: Any, now: float) -> CrashRecord:
    if not isinstance(value, list) or len(value) != 6:
        raise NoticeInvalid("a crash has an unexpected number of fields")
    engine, age, *sets = value
    if type(age) is not float or not -1.0 <= age <= 10 * EVIDENCE_SECONDS:
        raise NoticeInvalid("the age of a crash is out of range")
    return CrashRecord(_name(engine), now - max(0.0, age), *map(_segments, sets))


def _segments(value: Any) -> set[str]:
    if not isinstance(value, list) or len(value) > MAX_SUSPECTS:
        raise NoticeInvalid("the segments of a crash are not a list, or too many")
    return {_name(each) for each in value}


def _name(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARS:
        raise NoticeInvalid("a name is not a string, or too long")
    return value
