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
_Decoder = Callable[[Any], Any]


def encode(message: Message) -> bytes:
    """Returns the frame of a message, including its length prefix.

    Raises:
        FrameInvalid: A value cannot be encoded, or the frame is longer than `MAX_FRAME_BYTES`.
    """
    try:
        payload = msgpack.packb([_TAGS[type(message)], *_field_values(message)])
    except (OverflowError, TypeError, ValueError) as exc:
        raise FrameInvalid(f"{type(message).__name__} cannot be encoded: {exc}") from exc
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
        MessageUnknown: The message type is unknown.
        FrameInvalid: The payload is not a valid message.
    """
    try:
        values = msgpack.unpackb(payload)
    except (ValueError, msgpack.UnpackException) as exc:
        raise FrameInvalid(f"not valid MessagePack: {exc}") from exc
    if not isinstance(values, list) or not values:
        raise FrameInvalid("payload is not a message array")
    tag = values[0]
    if type(tag) is not int or tag < 0:
        raise FrameInvalid("message tag is missing or invalid")
    if tag >= len(MESSAGE_TYPES):
        raise MessageUnknown(f"unknown message tag {tag}")
    del values[0]
    return _build_message(MESSAGE_TYPES[tag], values)


# Hundreds of frames carry the same attempt id; all of them can share one frozen object.
_shared_attempt_id = lru_cache(maxsize=512)(_messages.AttemptId)


def _field_values(message: Any) -> list[Any]:
    message_type = type(message)
    values = list(_FIELDS_GETTERS[message_type](message))
    for index in _NESTED_FIELD_INDEXES[message_type]:
        values[index] = _field_values(values[index])
    return values


def _build_message(message_type: type, values: list[Any]) -> Any:
    if (flat := _FLAT_TYPES.get(message_type)) and list(map(type, values)) == flat:
        return (
            _shared_attempt_id(*values)
            if message_type is _messages.AttemptId
            else message_type(*values)
        )
    if len(values) < _REQUIRED_FIELD_COUNTS[message_type]:
        raise FrameInvalid(f"{message_type.__name__} with {len(values)} fields")
    # Stops at the shorter list: a newer peer sends more fields, an older one fewer.
    decoders = _FIELD_DECODERS[message_type]
    return message_type(
        *[decode_value(value) for decode_value, value in zip(decoders, values, strict=False)]
    )


def _scalar_decoder(expected: type) -> _Decoder:
    def decode_value(value: Any) -> Any:
        if type(value) is not expected:
            raise FrameInvalid(f"expected {expected.__name__}, got {type(value).__name__}")
        return value

    return decode_value


def _decode_float(value: Any) -> float:
    if type(value) not in (int, float) or value != value:
        raise FrameInvalid(f"expected a number, got {type(value).__name__}")
    return float(value)


def _list_decoder(decode_item: _Decoder) -> _Decoder:
    def decode_value(value: Any) -> list[Any]:
        if type(value) is not list:
            raise FrameInvalid(f"expected a list, got {type(value).__name__}")
        return [decode_item(element) for element in value]

    return decode_value


def _nested_decoder(nested: type) -> _Decoder:
    def decode_value(value: Any) -> Any:
        if type(value) is not list:
            raise FrameInvalid(f"expected {nested.__name__}, got {type(value).__name__}")
        return _build_message(nested, value)

    return decode_value


def _decode_header(value: Any) -> list[str]:
    if type(value) is not list or len(value) != 2:
        raise FrameInvalid("expected a header pair")
    if not all(type(element) is str for element in value):
        raise FrameInvalid("expected header text")
    return value


def _field_decoder(annotation: Any) -> _Decoder:
    if annotation is float:
        return _decode_float
    if annotation == _messages.Headers:
        return _list_decoder(_decode_header)
    if get_origin(annotation) is list:
        return _list_decoder(_field_decoder(get_args(annotation)[0]))
    if annotation in _NESTED_TYPES:
        return _nested_decoder(annotation)
    return _scalar_decoder(annotation)


def _field_decoders(message_type: type) -> list[_Decoder]:
    return [_field_decoder(field_type) for field_type in get_type_hints(message_type).values()]


def _required_field_count(message_type: type) -> int:
    return sum(field.default is MISSING is field.default_factory for field in fields(message_type))


def _flat_field_types(message_type: type) -> list[type] | None:
    """Returns the field types of a message; None if it has floats, lists or nested messages."""
    field_types = list(get_type_hints(message_type).values())
    return (
        field_types
        if all(field_type in (int, str, bytes, bool) for field_type in field_types)
        else None
    )


def _fields_getter(message_type: type) -> Callable[[Any], tuple[Any, ...]]:
    names = [field.name for field in fields(message_type)]
    getter = attrgetter(*names)
    return getter if len(names) > 1 else lambda message: (getter(message),)


def _nested_field_indexes(message_type: type) -> list[int]:
    field_types = get_type_hints(message_type).values()
    return [index for index, field_type in enumerate(field_types) if field_type in _NESTED_TYPES]


# Computed once for each message type, as every frame needs them.
_NESTED_TYPES = (_messages.AttemptId, _messages.Load, _messages.Usage)
_ENCODED_TYPES = (*_NESTED_TYPES, *MESSAGE_TYPES)
_FIELD_DECODERS = {message_type: _field_decoders(message_type) for message_type in _ENCODED_TYPES}
_REQUIRED_FIELD_COUNTS = {
    message_type: _required_field_count(message_type) for message_type in _ENCODED_TYPES
}
_FLAT_TYPES = {
    message_type: flat_types
    for message_type in _ENCODED_TYPES
    if (flat_types := _flat_field_types(message_type))
}
_FIELDS_GETTERS = {message_type: _fields_getter(message_type) for message_type in _ENCODED_TYPES}
_NESTED_FIELD_INDEXES = {
    message_type: _nested_field_indexes(message_type) for message_type in _ENCODED_TYPES
}
