"""Logs: one line of key=value pairs for each event, on standard error.

The form is logfmt. Lines of libraries that use the standard `logging` module take the same way.
"""

from __future__ import annotations

import logging
import re
import sys
import traceback
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

from bilberryplank_core.keys import KEY_PREFIX
from bilberryplank_core.settings import LogSettings

if TYPE_CHECKING:
    from loguru import Logger, Record

MASK = "***"
MAX_VALUE_CHARS = 4000
LIBRARY_EVENT = "library_log"
QUIET_LIBRARIES = ("mode", "bilberryplank", "aiohttp.access")
SECRET_FIELDS = frozenset(
    {
        "api_key",
        "authorization",
        "cookie",
        "fleet_key",
        "key",
        "key_hash_secret",
        "password",
        "secret",
        "token",
        "x_api_key",
    }
)

_PLAIN = re.compile(r"[!#-<>-\[\]-~]+")
_SECRET_TEXT = re.compile(rf"{KEY_PREFIX}[A-Za-z0-9_-]+|(?i:(?<=bearer )\S+|(?<=basic )\S+)")
_FIELD_NAME = re.compile(r"[^A-Za-z0-9_.]")
_ESCAPES = {'"': '\\"', "\\": "\\\\", "\n": "\\n", "\r": "\\r", "\t": "\\t"}


def configure_logs(settings: LogSettings, process: str, stream: TextIO | None = None) -> None:
    """Sends all logs of this process to a stream, replacing what was set up before.

    Args:
        settings: Level from which lines are written.
        process: Name of the process, put on every line.
        stream: Where lines go; None for standard error.
    """
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(
        stream or sys.stderr,
        level=settings.level,
        format=_template,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[_LoguruHandler()], level=settings.level, force=True)
    for name in QUIET_LIBRARIES:
        logging.getLogger(name).setLevel(logging.WARNING)


def log_event(
    log: Logger,
    event: str,
    /,
    *,
    level: str = "INFO",
    trace: BaseException | None = None,
    **fields: object,
) -> None:
    """Writes one event.

    Args:
        log: The logger, perhaps bound to fields such as `request`.
        event: Name of the event, as `request_refused`.
        level: Level name of loguru.
        trace: Exception whose trace goes on the line.
        **fields: Key=value pairs of the line, in order.
    """
    log.bind(**fields).opt(depth=1, exception=trace).log(level, event)


def format_value(value: object) -> str:
    """Returns a value as it stands in a line: quoted where needed, on one line, without keys."""
    shown = _text_of(value)
    # Cut before it is searched: a peer may have sent megabytes.
    text = _SECRET_TEXT.sub(MASK, shown[:MAX_VALUE_CHARS])
    if len(shown) > MAX_VALUE_CHARS:
        text += "..."
    if _PLAIN.fullmatch(text):
        return text
    return '"' + "".join(_escape(char) for char in text) + '"'


def format_pair(name: str, value: object) -> str:
    """Returns `name=value`, with the value masked where the name says that it is a secret."""
    shown = MASK if name.lower() in SECRET_FIELDS else format_value(value)
    return f"{_FIELD_NAME.sub('_', name)}={shown}"


def _text_of(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    return str(value)


def _escape(char: str) -> str:
    if char in _ESCAPES:
        return _ESCAPES[char]
    return char if char.isprintable() else f"\\u{ord(char):04x}"


def _template(record: Record) -> str:
    record["extra"]["_line"] = _line_of(record)
    return "{extra[_line]}\n"


def _line_of(record: Record) -> str:
    extra = {name: value for name, value in record["extra"].items() if name != "_line"}
    fields: dict[str, Any] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "process": extra.pop("process", ""),
        "event": record["message"],
        **extra,
    }
    if record["exception"] is not None:
        fields["exception"] = _trace_of(record["exception"])
    return " ".join(format_pair(name, value) for name, value in fields.items())


def _trace_of(exception: Any) -> str:
    lines = traceback.format_exception(exception.type, exception.value, exception.traceback)
    return "".join(lines).rstrip()


class _LoguruHandler(logging.Handler):
    """Hands records of the standard `logging` module to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        log = logger.bind(logger=record.name, message=record.getMessage())
        log.opt(exception=record.exc_info).log(_level_of(record), LIBRARY_EVENT)


def _level_of(record: logging.LogRecord) -> str | int:
    try:
        return logger.level(record.levelname).name
    except ValueError:
        return record.levelno
