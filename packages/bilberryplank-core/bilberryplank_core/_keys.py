"""Keys of organisations: made once, kept as keyed hashes, and looked up by hash."""

from __future__ import annotations

import hashlib
import hmac
import secrets

KEY_PREFIX = "bpk_"
KEY_BYTES = 24
UPDATE_CONTEXT = b"bilberryplank configuration update\n"


def generate_secret() -> str:
    """Returns a new key as callers send it."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_secret(secret: str, hash_secret: str) -> str:
    """Returns the keyed hash of a key, as hex text."""
    return hmac.new(hash_secret.encode(), secret.encode(), hashlib.sha256).hexdigest()


def sign_update(update: bytes, hash_secret: str) -> str:
    """Returns the keyed hash by which a process knows that an operator sent an update."""
    return hmac.new(hash_secret.encode(), UPDATE_CONTEXT + update, hashlib.sha256).hexdigest()


def is_signed(update: bytes, signature: str, hash_secret: str) -> bool:
    """Returns True where `sign_update` made the signature with the same secret."""
    return hmac.compare_digest(sign_update(update, hash_secret).encode(), signature.encode())
