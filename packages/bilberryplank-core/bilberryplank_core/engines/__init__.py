"""How one entry places requests at the engines of a service: speeds, caches, queues and costs."""

from bilberryplank_core.engines._engine_admission import (
    DEFERRED_URGENCY,
    may_defer,
    retry_delay,
    should_admit,
)
from bilberryplank_core.engines._engine_paces import EnginePaces
from bilberryplank_core.engines._engine_performance import (
    EnginePerformance,
    LatencyObjective,
    is_significant_change,
)
from bilberryplank_core.engines._engine_selector import EngineChoice, EngineSelector

__all__ = [
    "DEFERRED_URGENCY",
    "EngineChoice",
    "EnginePaces",
    "EnginePerformance",
    "EngineSelector",
    "LatencyObjective",
    "is_significant_change",
    "may_defer",
    "retry_delay",
    "should_admit",
]
