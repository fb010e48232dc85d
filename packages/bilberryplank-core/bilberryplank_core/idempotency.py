"""Non-idempotent requests: their identity and their intents in the table."""

from bilberryplank_core._identity import RequestIdentity, identify
from bilberryplank_core._intents import (
    HeldIntent,
    Intent,
    IntentJournal,
    IntentState,
    StoredAnswer,
)

__all__ = [
    "HeldIntent",
    "Intent",
    "IntentJournal",
    "IntentState",
    "RequestIdentity",
    "StoredAnswer",
    "identify",
]
