"""Checks of values that other writers supply: rows, notices, load reports and header fields.

Nothing that a decoder accepts can fail later, in arithmetic, in a header field or at a connect.
"""

from __future__ import annotations

import ipaddress
import json
import math
import re
from typing import Any

from bilberryplank_core._errors import BilberryplankError

MAX_NAME_CHARS = 200
"""Keys of rows are at most this long."""

MAX_COUNT = 2**31 - 1
"""Limit of requests, tokens, weights and ranks."""

MAX_SAFE_INTEGER = 2**53 - 1
"""Limit of versions and times: the largest integer that a JSON number holds exactly (RFC 7493)."""

MAX_JSON_DEPTH = 64
MAX_PORT = 65535

_NAME = re.compile(r"[!-~]+")
_CONTAINERS = (dict, list)
_DIGITS = re.compile(r"-?[0-9]{1,16}")
_PORT = re.compile(r"[0-9]{1,5}")


class ValueInvalid(BilberryplankError, ValueError):
    """A value of another writer is malformed or out of range."""

    code = "value_invalid"


def decode_json(data: bytes | str) -> Any:
    """Returns the value of a JSON document.

    Raises:
        ValueInvalid: It is not JSON, is nested too deep, or holds a number that is not finite.
    """
    try:
        value = json.loads(data, parse_constant=_refuse_constant, parse_float=_finite)
    except ValueInvalid:
        raise
    except ValueError as exc:
        raise ValueInvalid(f"not JSON: {exc}") from exc
    except RecursionError as exc:
        raise ValueInvalid("nested too deep") from exc
    if _is_deeper(value, MAX_JSON_DEPTH):
        raise ValueInvalid("nested too deep")
    return value


def check_whole(value: Any, name: str, least: int = 0, most: int = MAX_COUNT) -> int:
    """Returns a whole number; raises `ValueInvalid` if it is none, or out of range."""
    if type(value) is not int:
        raise ValueInvalid(f"{name} is not a whole number")
    if not least <= value <= most:
        raise ValueInvalid(f"{name} is out of range")
    return value


def check_number(
    value: Any, name: str, least: float = 0.0, most: float = MAX_SAFE_INTEGER
) -> float:
    """Returns a number; raises `ValueInvalid` if it is none, not finite, or out of range."""
    if type(value) not in (int, float):
        raise ValueInvalid(f"{name} is not a number")
    if not least <= value <= most:
        raise ValueInvalid(f"{name} is out of range")
    return value


def read_whole(text: str, name: str, least: int = 0, most: int = MAX_COUNT) -> int:
    """Returns the whole number in a header field; raises `ValueInvalid` if it holds none."""
    if not _DIGITS.fullmatch(text.strip()):
        raise ValueInvalid(f"{name} is not a whole number, or too long")
    return check_whole(int(text), name, least, most)


def read_number(text: str, name: str, least: float = 0.0, most: float = MAX_SAFE_INTEGER) -> float:
    """Returns the number in a header field; raises `ValueInvalid` if it holds none."""
    try:
        number = float(text)
    except ValueError as exc:
        raise ValueInvalid(f"{name} is not a number") from exc
    return check_number(number, name, least, most)


def check_text(value: Any, name: str, most: int = MAX_NAME_CHARS) -> str:
    """Returns a printable text; raises `ValueInvalid` if it is none, empty, or too long."""
    if not isinstance(value, str) or not value:
        raise ValueInvalid(f"{name} is not a text, or empty")
    if len(value) > most:
        raise ValueInvalid(f"{name} has more than {most} characters")
    if not value.isprintable():
        raise ValueInvalid(f"{name} holds characters that cannot be printed")
    return value


def check_name(value: Any, name: str) -> str:
    """Returns a name that a header field can carry; raises `ValueInvalid` for any other value."""
    if not _NAME.fullmatch(check_text(value, name)):
        raise ValueInvalid(f"{name} holds blanks or characters beyond ASCII")
    return value


def check_endpoint(value: Any, name: str) -> str:
    """Returns the address of one host, as `ip:port`; raises `ValueInvalid` for any other value."""
    if not is_endpoint(check_text(value, name)) or "%" in value:
        raise ValueInvalid(f"{name} is not an IP number and port")
    ip = ipaddress.ip_address(split_endpoint(value)[0])
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise ValueInvalid(f"{name} is not the address of one host")
    return value


def is_endpoint(value: str) -> bool:
    """Returns True for `ip:port`, or `[ip]:port` for IPv6."""
    host, _, port = value.rpartition(":")
    try:
        if host.startswith("[") and host.endswith("]"):
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return bool(_PORT.fullmatch(port)) and 0 < int(port) <= MAX_PORT


def split_endpoint(address: str) -> tuple[str, int]:
    """Returns IP number and port of a checked address."""
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)


def _finite(literal: str) -> float:
    number = float(literal)
    if not math.isfinite(number):
        raise ValueInvalid("holds a number that is too large")
    return number


def _refuse_constant(literal: str) -> float:
    raise ValueInvalid(f"holds {literal}, which is not a number")


def _is_deeper(value: Any, limit: int) -> bool:
    """Returns True if a decoded value has more than `limit` levels, its innermost one included."""
    level = [value] if type(value) in _CONTAINERS else []
    for _ in range(limit - 1):
        if not level:
            return False
        level = [
            child
            for each in level
            for child in (each.values() if type(each) is dict else each)
            if type(child) in _CONTAINERS
        ]
    return bool(level)
