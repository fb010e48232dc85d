"""Sends an accepted change to entries, so that it is in force even where the table goes down."""

from __future__ import annotations

import asyncio

import aiohttp

from bilberryplank.push import PUSH_PATH, SIGNATURE_HEADER
from bilberryplank_core.configuration import Configuration
from bilberryplank_core.fleet import ConfigurationDelta, encode_update
from bilberryplank_core.keys import sign_update
from bilberryplank_core.settings import OperatorSettings

PUSH_TIMEOUT_SECONDS = 1.0
MAX_PUSHES = 8
"""Processes that get a change; they pass it on."""


async def push_change(
    session: aiohttp.ClientSession, settings: OperatorSettings, change: ConfigurationDelta
) -> int:
    """Sends a change to the processes in the settings; returns how many took it.

    What cannot be reached is left out: the change is accepted already, and spreads without it.
    """
    update = encode_update(Configuration(change.to_version), [change])
    headers = {SIGNATURE_HEADER: sign_update(update, settings.key_hash_secret)}
    pushes = [
        _push(session, f"http://{address}{PUSH_PATH}", update, headers)
        for address in settings.operations[:MAX_PUSHES]
    ]
    return sum(await asyncio.gather(*pushes))


async def _push(
    session: aiohttp.ClientSession, url: str, update: bytes, headers: dict[str, str]
) -> bool:
    timeout = aiohttp.ClientTimeout(total=PUSH_TIMEOUT_SECONDS)
    try:
        async with session.post(url, data=update, headers=headers, timeout=timeout) as resp:
            return resp.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False
