"""What all requests of a direct entry share."""

from __future__ import annotations

from dataclasses import dataclass

from bilberryplank._crash_guard import CrashGuard
from bilberryplank._direct_client import DirectClient
from bilberryplank._direct_state import DirectState
from bilberryplank._metrics import ProcessMetrics
from bilberryplank_core.direct import FleetClock, HeaderCodec, StopSchedule, WindowCounts
from bilberryplank_core.memory import HeldBytes


@dataclass(slots=True)
class RunParts:
    """What all requests of an entry share."""

    state: DirectState
    client: DirectClient
    crashes: CrashGuard
    header_codec: HeaderCodec
    counts: WindowCounts
    fleet_clock: FleetClock
    metrics: ProcessMetrics
    stop_schedule: StopSchedule
    held_bytes: HeldBytes
