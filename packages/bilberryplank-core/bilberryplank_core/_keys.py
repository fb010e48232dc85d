"""API keys, stored and looked up as keyed hashes, and signatures of configuration updates."""

from __future__ import annotations

import hashlib
import hmac
import secrets

KEY_PREFIX = "bpk_"
KEY_RANDOM_BYTES = 24
# Keeps signatures apart from hashes of keys, which use the same secret.
UPDATE_SIGNATURE_CONTEXT = b"bilberryplank configuration update\n"


def generate_secret() -> str:
    """Returns a new random key in the form that callers send."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_RANDOM_BYTES)


def digest_secret(secret: str, key_hash_secret: str) -> str:
    """Returns the keyed hash (HMAC-SHA256) of a key as hex text."""
    return hmac.new(key_hash_secret.encode(), secret.encode(), hashlib.sha256).hexdigest()


def sign_update(update: bytes, key_hash_secret: str) -> str:
    """Returns the signature that proves that an operator sent a configuration update."""
    return hmac.new(
        key_hash_secret.encode(), UPDATE_SIGNATURE_CONTEXT + update, hashlib.sha256
    ).hexdigest()


def is_valid_signature(update: bytes, signature: str, key_hash_secret: str) -> bool:
    """Returns True if the signature is that of `sign_update` with the same secret."""
    return hmac.compare_digest(sign_update(update, key_hash_secret).encode(), signature.encode())
