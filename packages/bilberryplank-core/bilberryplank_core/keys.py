"""Keys of organisations, and signatures of operators' updates."""

from bilberryplank_core._keys import (
    KEY_PREFIX,
    digest_secret,
    generate_secret,
    is_signed,
    sign_update,
)

__all__ = ["KEY_PREFIX", "digest_secret", "generate_secret", "is_signed", "sign_update"]
