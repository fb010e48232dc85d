"""Datagrams between entries: a MessagePack array whose first element names its format."""

from __future__ import annotations

from typing import Any

import msgpack

from bilberryplank_core._errors import BilberryplankError


class NoticeInvalid(BilberryplankError):
    """A datagram that is no notice of the format expected."""

    code = "notice_invalid"


def unpack_notice(data: bytes, number: int, most_bytes: int, fields: int) -> list[Any]:
    """Returns the fields of a notice, their types not checked.

    Args:
        data: The datagram.
        number: The format expected.
        most_bytes: Longest datagram of that format.
        fields: Fields after the format's number.

    Raises:
        NoticeInvalid: The datagram holds no notice of that format.
    """
    if len(data) > most_bytes:
        raise NoticeInvalid(f"{len(data)} bytes are too many")
    try:
        value = msgpack.unpackb(data)
    except (msgpack.UnpackException, TypeError, ValueError) as exc:
        raise NoticeInvalid(f"cannot be read: {exc}") from exc
    known = isinstance(value, list) and len(value) == fields + 1
    if not known or type(value[0]) is not int or value[0] != number:
        raise NoticeInvalid("other fields or another format")
    return value[1:]
