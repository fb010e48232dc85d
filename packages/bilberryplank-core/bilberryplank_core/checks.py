"""Checks of values that other writers supply, for decoders."""

from bilberryplank_core._checked_values import (
    MAX_COUNT,
    MAX_SAFE_INTEGER,
    ValueInvalid,
    check_endpoint,
    check_name,
    check_number,
    check_text,
    check_whole,
    decode_json,
    read_number,
    read_whole,
    split_endpoint,
)

__all__ = [
    "MAX_COUNT",
    "MAX_SAFE_INTEGER",
    "ValueInvalid",
    "check_endpoint",
    "check_name",
    "check_number",
    "check_text",
    "check_whole",
    "decode_json",
    "read_number",
    "read_whole",
    "split_endpoint",
]
