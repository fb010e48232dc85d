"""How operators' commands send an accepted change to entries."""

from bilberryplank._operations_server import PUSH_PATH
from bilberryplank._push import SIGNATURE_HEADER

__all__ = ["PUSH_PATH", "SIGNATURE_HEADER"]
