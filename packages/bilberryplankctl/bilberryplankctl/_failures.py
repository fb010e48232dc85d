"""Failures of the operators' command and the exit code of each kind."""

from __future__ import annotations

from enum import IntEnum

from bilberryplank_core.errors import (
    BilberryplankError,
    ConfigurationInvalid,
    Conflict,
    PlatformError,
    PlatformUnavailable,
    SettingsInvalid,
)


class ExitCode(IntEnum):
    """Exit codes, one for each kind of failure; scripts may rely on them."""

    OK = 0
    INTERNAL = 1
    SETTINGS = 2
    CONFIGURATION_INVALID = 3
    CONFLICT = 4
    PLATFORM_UNAVAILABLE = 5
    NOT_FOUND = 6
    PROCESS_UNREACHABLE = 7
    DIFFERENT = 8


class UsageInvalid(BilberryplankError):
    """The command line lacks something or contradicts itself."""

    code = "usage_invalid"


class NotFound(BilberryplankError):
    """What the command names does not exist."""

    code = "not_found"


class ProcessUnreachable(BilberryplankError):
    """A process of the system did not answer on its operators' port."""

    code = "process_unreachable"


def exit_code_of(exc: BilberryplankError) -> ExitCode:
    """Returns the exit code for a failure."""
    match exc:
        case SettingsInvalid() | UsageInvalid():
            return ExitCode.SETTINGS
        case ConfigurationInvalid():
            return ExitCode.CONFIGURATION_INVALID
        case Conflict():
            return ExitCode.CONFLICT
        case PlatformUnavailable() | PlatformError():
            return ExitCode.PLATFORM_UNAVAILABLE
        case NotFound():
            return ExitCode.NOT_FOUND
        case ProcessUnreachable():
            return ExitCode.PROCESS_UNREACHABLE
    return ExitCode.INTERNAL
