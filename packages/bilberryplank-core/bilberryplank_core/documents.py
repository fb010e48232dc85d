"""Parsing of documents in JSON with comments."""

from bilberryplank_core._json_text import parse_json

__all__ = ["parse_json"]
