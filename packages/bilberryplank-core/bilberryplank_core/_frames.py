"""Codec of the frames between processes: a 4-byte big-endian length, then one msgpack array."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import MISSING, fields
from functools import lru_cache
from operator import attrgetter
from typing import Any, get_args, get_origin, get_type_hints

import msgpack

from bilberryplank_core import _messages
from bilberryplank_core._errors import FrameInvalid, MessageUnknown
from bilberryplank_core._messages import MESSAGE_TYPES, Message

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024
LENGTH_BYTES = 4

_LENGTH = struct.Struct(">I")
_TAGS = {message_type: tag for tag, message_type in enumerate(MESSAGE_TYPES)}
Buffer = bytes | bytearray | memoryview
_Reader = Callable[[Any], Any]


def encode(message: Message) -> bytes:
    """Returns the frame of a message, its length included.

    Raises:
        FrameInvalid: A value cannot be sent, or the frame is longer than `MAX_FRAME_BYTES`.
    """
    try:
        payload = msgpack.packb([_TAGS[type(message)], *_values(message)])
    except (OverflowError, TypeError, ValueError) as exc:
        raise FrameInvalid(f"{type(message).__name__} cannot be sent: {exc}") from exc
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameInvalid(f"frame of {len(payload)} bytes, at most {MAX_FRAME_BYTES} allowed")
    return _LENGTH.pack(len(payload)) + payload


def payload_length(header: Buffer) -> int:
    """Returns the length in bytes of the payload that follows `header`.

    Raises:
        FrameInvalid: The length is 0 or above `MAX_FRAME_BYTES`.
    """
    (length,) = _LENGTH.unpack(header)
    if not 0 < length <= MAX_FRAME_BYTES:
        raise FrameInvalid(f"frame length {length} out of range")
    return length


def decode(payload: Buffer) -> Message:
    """Returns the message in a payload.

    Raises:
        MessageUnknown: It is a message of a kind that is not known here.
        FrameInvalid: The payload is no message.
    """
    try:
        values = msgpack.unpackb(payload)
    except (ValueError, msgpack.UnpackException) as exc:
        raise FrameInvalid(f"not msgpack: {exc}") from exc
    if not isinstance(values, list) or not values:
        raise FrameInvalid("not a message array")
    tag = values[0]
    if type(tag) is not int or tag < 0:
        raise FrameInvalid("no message tag")
    if tag >= len(MESSAGE_TYPES):
        raise MessageUnknown(f"unknown message tag {tag}")
    del values[0]
    return _build(MESSAGE_TYPES[tag], values)


# Each attempt is named in hundreds of frames; a frozen object can be shared by all of them.
_attempt_id = lru_cache(maxsize=512)(_messages.AttemptId)


def _values(message: Any) -> list[Any]:
    kind = type(message)
    values = list(_GETTERS[kind](message))
    for index in _NESTED_AT[kind]:
        values[index] = _values(values[index])
    return values


def _build(message_type: type, values: list[Any]) -> Any:
    if (plain := _PLAIN_TYPES.get(message_type)) and list(map(type, values)) == plain:
        return (
            _attempt_id(*values) if message_type is _messages.AttemptId else message_type(*values)
        )
    if len(values) < _REQUIRED[message_type]:
        raise FrameInvalid(f"{message_type.__name__} with {len(values)} fields")
    # The shorter of the two counts: a newer peer sends more fields, an older one fewer.
    readers = _READERS[message_type]
    return message_type(*[read(value) for read, value in zip(readers, values, strict=False)])


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


def _readers_of(message_type: type) -> list[_Reader]:
    return [_reader(kind) for kind in get_type_hints(message_type).values()]


def _required(message_type: type) -> int:
    return sum(part.default is MISSING is part.default_factory for part in fields(message_type))


def _plain_types(message_type: type) -> list[type] | None:
    """Returns the types of a message without floats and inner messages, else None."""
    kinds = list(get_type_hints(message_type).values())
    return kinds if all(kind in (int, str, bytes, bool) for kind in kinds) else None


def _getter(message_type: type) -> Callable[[Any], tuple[Any, ...]]:
    names = [part.name for part in fields(message_type)]
    get = attrgetter(*names)
    return get if len(names) > 1 else lambda message: (get(message),)


def _nested_at(message_type: type) -> list[int]:
    kinds = get_type_hints(message_type).values()
    return [index for index, kind in enumerate(kinds) if kind in _NESTED]


# What decides the shape of each message is read from its class once, as every frame needs it.
_NESTED = (_messages.AttemptId, _messages.Load, _messages.Usage)
_KINDS = (*_NESTED, *MESSAGE_TYPES)
_READERS = {kind: _readers_of(kind) for kind in _KINDS}
_REQUIRED = {kind: _required(kind) for kind in _KINDS}
_PLAIN_TYPES = {kind: types for kind in _KINDS if (types := _plain_types(kind))}
_GETTERS = {kind: _getter(kind) for kind in _KINDS}
_NESTED_AT = {kind: _nested_at(kind) for kind in _KINDS}
