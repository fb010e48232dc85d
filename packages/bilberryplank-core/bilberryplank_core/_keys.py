"""Keys of organisations: made once, kept as keyed hashes, and looked up by hash."""

from __future__ import annotations

import hashlib
import hmac
import secrets

KEY_PREFIX = "bpk_"
KEY_BYTES = 24


def generate_secret() -> str:
    """Returns a new key as callers send it."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_secret(secret: str, hash_secret: str) -> str:
    """Returns the keyed hash of a key, as hex text."""
    return hmac.new(hash_secret.encode(), secret.encode(), hashlib.sha256).hexdigest()
