"""Takes configuration updates that operators' commands send beside the table.

A change counts once the table has it. Whoever wrote it also sends it to some entries, so that it is
in force even where the table goes down before any process has read it.
"""

from __future__ import annotations

from http import HTTPStatus

from aiohttp import web
from loguru import logger

from bilberryplank._configuration_feed import ConfigurationFeed
from bilberryplank._logs import log_event
from bilberryplank_core.errors import ConfigurationInvalid
from bilberryplank_core.keys import is_valid_signature

SIGNATURE_HEADER = "Bilberryplank-Signature"
MAX_UPDATE_BYTES = 1024 * 1024


class PushReceiver:
    """Handles `POST /configuration` on the operators' port."""

    __slots__ = ("_feed", "_key_hash_secret")

    def __init__(self, feed: ConfigurationFeed, key_hash_secret: str) -> None:
        self._feed = feed
        self._key_hash_secret = key_hash_secret

    async def handle(self, request: web.Request) -> web.Response:
        """Takes an update that is signed with the secret of the keys' hashes."""
        update = await request.content.read(MAX_UPDATE_BYTES)
        signature = request.headers.get(SIGNATURE_HEADER, "")
        if not is_valid_signature(update, signature, self._key_hash_secret):
            log_event(logger, "configuration_push_refused", level="WARNING")
            return web.Response(status=HTTPStatus.FORBIDDEN)
        try:
            self._feed.push(update)
        except ConfigurationInvalid as exc:
            log_event(logger, "configuration_push_invalid", level="WARNING", cause=exc)
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        return web.json_response({"version": self._feed.holder.version})
