"""Configuration files, whose first comment may tell the version that they were read at."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from bilberryplank_core.documents import parse_json
from bilberryplank_core.errors import ConfigurationInvalid, Fault

_VERSION_LINE = re.compile(r"\s*// version (\d{1,18})\s*(?:\n|$)")


def version_line(version: int) -> str:
    """Returns the comment that tells the version of a document."""
    return f"// version {version}"


def read_versioned(path: Path) -> tuple[Any, int | None]:
    """Returns the parsed document in a file, and the version that its first line names.

    Raises:
        ConfigurationInvalid: The file cannot be read or is not JSON with comments.
    """
    place = str(path)
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        raise ConfigurationInvalid([Fault(place, f"cannot be read: {exc.strerror}")]) from exc
    except UnicodeDecodeError as exc:
        raise ConfigurationInvalid([Fault(place, "is not UTF-8 text")]) from exc
    document, faults = parse_json(text, place)
    if faults:
        raise ConfigurationInvalid(faults)
    found = _VERSION_LINE.match(text)
    return document, int(found[1]) if found else None
