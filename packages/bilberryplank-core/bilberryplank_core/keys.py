"""API keys of organisations, and signatures of operators' configuration updates."""

from bilberryplank_core._keys import (
    KEY_PREFIX,
    digest_secret,
    generate_secret,
    is_valid_signature,
    sign_update,
)

__all__ = ["KEY_PREFIX", "digest_secret", "generate_secret", "is_valid_signature", "sign_update"]
