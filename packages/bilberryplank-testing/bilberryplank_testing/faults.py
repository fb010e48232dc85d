"""Faults that fakes can be told to show."""

from bilberryplank_testing._faults import Fault, FaultBoard, FaultKind

__all__ = ["Fault", "FaultBoard", "FaultKind"]
