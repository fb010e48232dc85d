"""Commands on keys: create, withdraw and list."""

from __future__ import annotations

import secrets
from collections.abc import Iterable

from bilberryplank_core.errors import PlatformUnavailable
from bilberryplank_core.fleet import ConfigurationStore
from bilberryplank_core.keys import digest_secret, generate_secret
from bilberryplank_core.world import Key, Labels
from bilberryplankctl._failures import NotFound, UsageInvalid
from bilberryplankctl._results import KeyCreated, KeyLine, KeyList, KeyWithdrawn

KEY_ID_BYTES = 6


async def create(
    store: ConfigurationStore, key_hash_secret: str, organisation: str, labels: Labels
) -> KeyCreated:
    """Creates a key; only its keyed hash is kept.

    Raises:
        NotFound: There is no such organisation.
        PlatformUnavailable: The key may exist; its secret is not shown, so withdraw it.
    """
    if organisation not in (await store.read()).organisations:
        raise NotFound(f"no organisation {organisation!r}")
    secret = generate_secret()
    key_id = "key-" + secrets.token_hex(KEY_ID_BYTES)
    key = Key(key_id, organisation, digest_secret(secret, key_hash_secret), labels)
    try:
        configuration = await store.create_key(key)
    except PlatformUnavailable as exc:
        raise PlatformUnavailable(f"{exc}; key {key_id} may exist: withdraw it") from exc
    return KeyCreated(configuration.version, key_id, organisation, secret)


async def withdraw(store: ConfigurationStore, key_id: str) -> KeyWithdrawn:
    """Withdraws a key.

    Raises:
        NotFound: There is no such key.
    """
    if key_id not in (await store.read()).keys:
        raise NotFound(f"no key {key_id!r}")
    configuration = await store.withdraw_key(key_id)
    return KeyWithdrawn(configuration.version, key_id)


async def list_keys(store: ConfigurationStore, organisation: str | None) -> KeyList:
    """Returns the keys of one organisation, or of all."""
    configuration = await store.read()
    lines = tuple(
        KeyLine(key.key_id, key.organisation, key.withdrawn, key.labels)
        for key in configuration.parts.keys
        if organisation in (None, key.organisation)
    )
    return KeyList(configuration.version, lines)


def parse_labels(texts: Iterable[str]) -> Labels:
    """Returns the labels in texts of the form name=value.

    Raises:
        UsageInvalid: A text has another form, or a name stands twice.
    """
    labels: Labels = {}
    for text in texts:
        name, separator, value = text.partition("=")
        if not (name and separator and value):
            raise UsageInvalid(f"not a label: {text!r}; write name=value")
        if name in labels:
            raise UsageInvalid(f"label {name!r} stands twice")
        labels[name] = value
    return labels
