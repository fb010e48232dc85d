"""Keys of organisations."""

from bilberryplank_core._keys import KEY_PREFIX, digest_secret, generate_secret

__all__ = ["KEY_PREFIX", "digest_secret", "generate_secret"]
