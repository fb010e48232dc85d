"""Reading and checking of what a caller sent."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from aiohttp import HttpVersion11, web

from bilberryplank._caller_memory import BodyRoom
from bilberryplank._caller_protocol import CallerProtocol, expects_continue
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.settings import CallerSettings

if TYPE_CHECKING:
    from bilberryplank_core.messages import Headers

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"
CHARACTERS_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 0

LEAST_ROOM_BYTES = 16 * 1024
"""Room for a body of unknown length is taken in steps, the first of this size."""


@dataclass(slots=True)
class ModelCall:
    """What the entry reads from the JSON body of a model request.

    Attributes:
        model: Model name.
        stream: True for server-sent events.
        include_usage: True where the caller asked for usage in the stream.
        prompt_tokens: Estimated prompt tokens.
        output_limit: Most answer tokens that the caller allows; 0 where it names none.
        prefix: First part of the prompt, for prefix affinity.
    """

    model: str
    stream: bool
    include_usage: bool
    prompt_tokens: int
    output_limit: int
    prefix: bytes


@dataclass(slots=True)
class ReceivedRequest:
    """A caller's request, read whole.

    Attributes:
        method: HTTP method.
        path: Raw path and query.
        headers: Header fields in order.
        body: Whole body.
    """

    method: str
    path: str
    headers: Headers
    body: bytes | bytearray


def check_text(request: web.BaseRequest) -> None:
    """Refuses a request whose path or header is not UTF-8, as no later step could carry it.

    Raises:
        Refused: A byte of them is no text.
    """
    try:
        request.raw_path.encode()
        for name, value in request.headers.items():
            name.encode()
            value.encode()
    except UnicodeEncodeError as exc:
        raise _malformed("the path or a header is not UTF-8") from exc


async def receive(
    request: web.BaseRequest, settings: CallerSettings, room: BodyRoom
) -> ReceivedRequest:
    """Reads a request whole, once there is room for its body.

    Args:
        request: The request.
        settings: Bounds on what callers may send.
        room: Room for the body, which the body needs until the request has ended.

    Raises:
        Refused: The body is too large, too slow or broken off, or there is no room for it.
    """
    declared = request.content_length
    if declared is not None and declared > settings.max_body_bytes:
        raise _too_large(settings)
    try:
        if declared:
            await room.take(declared)
        await _continue(request)
        async with asyncio.timeout(settings.body_timeout) as bound:
            room.interrupt(bound)
            body = await _read_body(request, settings, room)
    except TimeoutError as exc:
        _end_after_response(request)
        if room.is_evicted:
            message = "the body stopped coming while others waited for room"
        else:
            message = f"the body did not arrive within {settings.body_timeout:g} s"
        raise Refused(RefusalReason.SLOW_SENDER, message) from exc
    except web.RequestPayloadError as exc:
        raise Refused(RefusalReason.MALFORMED_REQUEST, f"broken body: {exc}") from exc
    headers = [[name, value] for name, value in request.headers.items()]
    return ReceivedRequest(request.method, request.raw_path, headers, body)


def _end_after_response(request: web.BaseRequest) -> None:
    """Has the connection of a request end with the response to it."""
    protocol = request.protocol
    if isinstance(protocol, CallerProtocol):
        protocol.end_after_response()


async def _continue(request: web.BaseRequest) -> None:
    """Tells a caller that waits for it to send its body."""
    if expects_continue(request) and request.version >= HttpVersion11:
        await request.writer.write(CONTINUE)
        # The answer itself has not begun by that.
        request.writer.output_size = 0


async def _read_body(
    request: web.BaseRequest, settings: CallerSettings, room: BodyRoom
) -> bytes | bytearray:
    taken = request.content_length or 0
    # A body that grows piece by piece is moved, and held twice meanwhile.
    body, size = room.open_buffer(taken), 0
    async for data in request.content.iter_any():
        begin, size = size, size + len(data)
        if size > settings.max_body_bytes:
            raise _too_large(settings)
        if size > taken:
            taken = min(max(2 * size, LEAST_ROOM_BYTES), settings.max_body_bytes)
            await room.take(taken)
        body[begin:size] = data
        room.received(len(data))
    room.complete()
    return body


def _too_large(settings: CallerSettings) -> Refused:
    message = f"the body is larger than {settings.max_body_bytes} bytes"
    return Refused(RefusalReason.BODY_TOO_LARGE, message)


def read_model_call(path: str, body: bytes | bytearray) -> ModelCall:
    """Reads the JSON body of a model request.

    Raises:
        Refused: It is no valid request of the published interface.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise _malformed(f"the body is not JSON: {exc}") from exc
    if not isinstance(document, dict):
        raise _malformed("the body is not a JSON object")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise _malformed("`model` must be a text")
    stream = document.get("stream", False)
    if stream not in (True, False, None):
        raise _malformed("`stream` must be true or false")
    prompt = _prompt_text(path, document)
    options = document.get("stream_options")
    include_usage = isinstance(options, dict) and bool(options.get("include_usage"))
    tokens = len(prompt) // CHARACTERS_PER_TOKEN + 1
    return ModelCall(
        model,
        bool(stream),
        include_usage,
        tokens,
        _output_limit(document),
        prompt.encode(errors="replace")[:2048],
    )


def _prompt_text(path: str, document: dict[str, Any]) -> str:
    if path == COMPLETIONS_PATH:
        prompt = document.get("prompt")
        if isinstance(prompt, list) and all(isinstance(part, str) for part in prompt):
            return "\n".join(prompt)
        if not isinstance(prompt, str):
            raise _malformed("`prompt` must be a text or a list of texts")
        return prompt
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _malformed("`messages` must be a list with at least one message")
    return "\n".join(_message_text(message) for message in messages)


def _message_text(message: Any) -> str:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise _malformed("each of `messages` must be an object with a `role`")
    content = message.get("content")
    if content is None or isinstance(content, str):
        return content or ""
    if isinstance(content, list):
        parts = [part.get("text", "") for part in content if isinstance(part, dict)]
        return "\n".join(part for part in parts if isinstance(part, str))
    raise _malformed("`content` must be a text or a list of parts")


def _output_limit(document: dict[str, Any]) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = document.get(name)
        if value is None:
            continue
        if type(value) is not int or value < 1:
            raise _malformed(f"`{name}` must be a whole number of at least 1")
        return value
    return DEFAULT_OUTPUT_TOKENS


def _malformed(message: str) -> Refused:
    return Refused(RefusalReason.MALFORMED_REQUEST, message)
