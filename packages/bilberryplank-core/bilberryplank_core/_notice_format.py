"""Peer notices: datagrams with a MessagePack array whose first element is the format number."""

from __future__ import annotations

from typing import Any

import msgpack

from bilberryplank_core._errors import BilberryplankError


class NoticeInvalid(BilberryplankError):
    """Raised for a datagram that is not a notice of the expected format."""

    code = "notice_invalid"


def unpack_notice(data: bytes, format_number: int, max_bytes: int, fields: int) -> list[Any]:
    """Returns the fields of a notice without checking their types.

    Args:
        data: The datagram.
        format_number: The expected format.
        max_bytes: Size limit of a datagram of that format.
        fields: Number of fields after the format number.

    Raises:
        NoticeInvalid: The datagram is not a notice of that format.
    """
    if len(data) > max_bytes:
        raise NoticeInvalid(f"{len(data)} bytes exceed the limit of the format")
    try:
        value = msgpack.unpackb(data)
    except (msgpack.UnpackException, TypeError, ValueError) as exc:
        raise NoticeInvalid(f"not valid MessagePack: {exc}") from exc
    well_formed = isinstance(value, list) and len(value) == fields + 1
    if not well_formed or type(value[0]) is not int or value[0] != format_number:
        raise NoticeInvalid("unexpected number of fields or another format")
    return value[1:]
