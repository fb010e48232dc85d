"""Keeps work that a direct entry never needs out of its start.

A fleet that lost all its entries at once serves nobody until the first is back.
"""

from __future__ import annotations

import os
import sys
from types import ModuleType

CERTIFICATE_VARIABLES = ("SSL_CERT_FILE", "SSL_CERT_DIR")
"""Where OpenSSL finds the certificates that it trusts."""

CRON_MODULE = "mode.utils.cron"


class TimetablesUnavailable(RuntimeError):
    """A service asked for a timetable in a process that was started without them."""


def skip_unused_imports() -> None:
    """Spares what libraries load for TLS and timetables; to be called before they are imported.

    Importing aiohttp reads all trusted certificates of the host twice, although an entry speaks
    plain HTTP only. Importing mode loads croniter and the time zones for services that run by a
    timetable; an entry has none.
    """
    for name in CERTIFICATE_VARIABLES:
        os.environ[name] = os.devnull
    module = ModuleType(CRON_MODULE)
    module.secs_for_next = _no_timetable  # type: ignore[attr-defined]
    sys.modules.setdefault(CRON_MODULE, module)


def _no_timetable(*_: object, **__: object) -> float:
    raise TimetablesUnavailable("this process was started without timetables")
