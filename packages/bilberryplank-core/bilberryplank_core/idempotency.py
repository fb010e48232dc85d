"""Identity of non-idempotent requests, and their intents in the table service."""

from bilberryplank_core._identity import RequestIdentity, identify
from bilberryplank_core._intents import (
    Intent,
    IntentState,
    IntentStore,
    StoredAnswer,
    VersionedIntent,
)

__all__ = [
    "VersionedIntent",
    "Intent",
    "IntentStore",
    "IntentState",
    "RequestIdentity",
    "StoredAnswer",
    "identify",
]
