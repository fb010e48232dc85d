"""Codec of the frames between processes: a 4-byte big-endian length, then one msgpack array."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import fields
from typing import Any, get_args, get_origin, get_type_hints

import msgpack

from bilberryplank_core import _messages
from bilberryplank_core._errors import FrameInvalid
from bilberryplank_core._messages import MESSAGE_TYPES, Message

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024
LENGTH_BYTES = 4

_LENGTH = struct.Struct(">I")
_TAGS = {message_type: tag for tag, message_type in enumerate(MESSAGE_TYPES)}
_Reader = Callable[[Any], Any]


def encode(message: Message) -> bytes:
    """Returns the frame of a message, its length included.

    Raises:
        FrameInvalid: The frame would be longer than `MAX_FRAME_BYTES`.
    """
    values = [_TAGS[type(message)]]
    values.extend(_plain(getattr(message, name)) for name, _ in _READERS[type(message)])
    payload = msgpack.packb(values)
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameInvalid(f"frame of {len(payload)} bytes, at most {MAX_FRAME_BYTES} allowed")
    return _LENGTH.pack(len(payload)) + payload


def payload_length(header: bytes) -> int:
    """Returns the length in bytes of the payload that follows `header`.

    Raises:
        FrameInvalid: The length is 0 or above `MAX_FRAME_BYTES`.
    """
    (length,) = _LENGTH.unpack(header)
    if not 0 < length <= MAX_FRAME_BYTES:
        raise FrameInvalid(f"frame length {length} out of range")
    return length


def decode(payload: bytes) -> Message:
    """Returns the message in a payload.

    Raises:
        FrameInvalid: The payload is no known message.
    """
    try:
        values = msgpack.unpackb(payload)
    except (ValueError, msgpack.UnpackException) as exc:
        raise FrameInvalid(f"not msgpack: {exc}") from exc
    if not isinstance(values, list) or not values:
        raise FrameInvalid("not a message array")
    tag = values[0]
    if type(tag) is not int or not 0 <= tag < len(MESSAGE_TYPES):
        raise FrameInvalid("unknown message tag")
    return _build(MESSAGE_TYPES[tag], values[1:])


def _plain(value: Any) -> Any:
    readers = _READERS.get(type(value))
    if readers is None:
        return value
    return [_plain(getattr(value, name)) for name, _ in readers]


def _build(message_type: type, values: list[Any]) -> Any:
    readers = _READERS[message_type]
    if len(values) != len(readers):
        raise FrameInvalid(f"{message_type.__name__} with {len(values)} fields")
    return message_type(*(read(value) for (_, read), value in zip(readers, values, strict=True)))


def _scalar_reader(expected: type) -> _Reader:
    def read(value: Any) -> Any:
        if type(value) is not expected:
            raise FrameInvalid(f"expected {expected.__name__}, got {type(value).__name__}")
        return value

    return read


def _float_reader(value: Any) -> float:
    if type(value) not in (int, float) or value != value:
        raise FrameInvalid(f"expected a number, got {type(value).__name__}")
    return float(value)


def _list_reader(item: _Reader) -> _Reader:
    def read(value: Any) -> list[Any]:
        if type(value) is not list:
            raise FrameInvalid(f"expected a list, got {type(value).__name__}")
        return [item(part) for part in value]

    return read


def _nested_reader(nested: type) -> _Reader:
    def read(value: Any) -> Any:
        if type(value) is not list:
            raise FrameInvalid(f"expected {nested.__name__}, got {type(value).__name__}")
        return _build(nested, value)

    return read


def _header_reader(value: Any) -> list[str]:
    if type(value) is not list or len(value) != 2:
        raise FrameInvalid("expected a header pair")
    if not all(type(part) is str for part in value):
        raise FrameInvalid("expected header text")
    return value


def _reader(annotation: Any) -> _Reader:
    if annotation is float:
        return _float_reader
    if annotation == _messages.Headers:
        return _list_reader(_header_reader)
    if get_origin(annotation) is list:
        return _list_reader(_reader(get_args(annotation)[0]))
    if annotation in _NESTED:
        return _nested_reader(annotation)
    return _scalar_reader(annotation)


def _readers_of(message_type: type) -> list[tuple[str, _Reader]]:
    hints = get_type_hints(message_type)
    return [(part.name, _reader(hints[part.name])) for part in fields(message_type)]


_NESTED = (_messages.AttemptId, _messages.Load, _messages.Usage)
_READERS = {kind: _readers_of(kind) for kind in (*_NESTED, *MESSAGE_TYPES)}
