"""From a caller's HTTP request to a call that is ready to be sent to an upstream."""

from __future__ import annotations

import json
from dataclasses import dataclass

from aiohttp import web

from bilberryplank._caller_memory import BodyRoom, CallerMemory
from bilberryplank._caller_request import MODELS_PATH, ModelCall, read_model_call, receive
from bilberryplank._configuration_feed import ConfigurationFeed
from bilberryplank._link_pool import VersionShown
from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.messages import Dispatch, Headers
from bilberryplank_core.routing import (
    CallerRequest,
    ClassifiedRequest,
    Credentials,
    RequestClassifier,
    SendAttempt,
    extract_credentials,
    is_model_path,
)
from bilberryplank_core.world import Key, ServiceRoute

CONFIGURATION_RETRY_SECONDS = 1.0


@dataclass(slots=True)
class Call:
    """A request that may be sent to an upstream.

    Attributes:
        request_id: Unique id over the fleet.
        arrived: Loop time in seconds at which the request began.
        classified: Organisation, class, route and eligible upstreams.
        method: HTTP method.
        path: Path and query, without any key.
        headers: Headers, without any key.
        body: Whole body.
        model_call: What the body of a model request says; None for a plain service.
    """

    request_id: str
    arrived: float
    classified: ClassifiedRequest
    method: str
    path: str
    headers: Headers
    body: bytes
    model_call: ModelCall | None

    @property
    def idempotent(self) -> bool:
        """False where the call may run at most once."""
        route = self.classified.route
        return route.idempotent if isinstance(route, ServiceRoute) else True

    @property
    def streamed(self) -> bool:
        """True where the answer is a model's stream of events."""
        return self.model_call is not None and self.model_call.stream

    @property
    def prompt_tokens(self) -> int:
        """Estimated tokens of the prompt; 0 for a plain service."""
        return self.model_call.prompt_tokens if self.model_call is not None else 0

    def dispatch(self, step: SendAttempt, shown: VersionShown) -> Dispatch:
        """Returns the message by which a sidecar is asked to make an attempt."""
        model_call = self.model_call
        return Dispatch(
            attempt=step.attempt,
            organisation=self.classified.organisation,
            key_id=self.classified.key_id,
            class_name=self.classified.request_class.name,
            route=self.classified.route.name,
            method=self.method,
            path=self.path,
            headers=self.headers,
            body=self.body,
            budget=step.budget_seconds,
            idempotent=self.idempotent,
            prompt_tokens=self.prompt_tokens,
            output_limit=model_call.output_limit if model_call else 0,
            resume_tokens=step.resume_tokens,
            resume_text=step.resume_text,
            version=shown.version,
            confirmed_age=shown.confirmed_age,
        )


class Intake:
    """Authenticates, reads and classifies callers' requests."""

    def __init__(self, memory: CallerMemory, key_hash_secret: str, feed: ConfigurationFeed) -> None:
        self._memory = memory
        self._key_hash_secret = key_hash_secret
        self._feed = feed
        self._classifier = RequestClassifier(Configuration(), key_hash_secret)
        feed.holder.subscribe(self._configuration_changed)

    def authenticate(self, request: web.BaseRequest) -> tuple[Credentials, Key]:
        """Returns the request's headers and path without its key, and that key.

        Raises:
            Refused: The key is missing, unknown or withdrawn, or no configuration is at hand.
        """
        if not self._feed.holder.version or self._feed.is_stale():
            message = "no confirmed configuration is at hand"
            raise Refused(
                RefusalReason.CONFIGURATION_STALE, message, retry_after=CONFIGURATION_RETRY_SECONDS
            )
        headers = [(name, value) for name, value in request.headers.items()]
        credentials = extract_credentials(headers, request.raw_path)
        return credentials, self._classifier.authenticate(credentials.secret)

    def open_room(self, key: Key) -> BodyRoom:
        """Returns room for the body of one request, to be released at its end."""
        return self._memory.open_body(key.organisation)

    async def read_call(
        self,
        request: web.BaseRequest,
        request_id: str,
        arrived: float,
        credentials: Credentials,
        key: Key,
        room: BodyRoom,
    ) -> Call:
        """Reads the body and classifies the request.

        Raises:
            Refused: The request is malformed, or not allowed, or there is no room for it.
        """
        received = await receive(request, self._memory.settings, room)
        path = credentials.path
        model_call = None
        if is_model_path(path):
            model_call = read_model_call(path.partition("?")[0], received.body)
        model = model_call.model if model_call is not None else None
        caller_request = CallerRequest(request.method, path, credentials.headers, model)
        key = self._classifier.authenticate(credentials.secret)
        classified = self._classifier.classify(key, caller_request)
        headers = [[name, value] for name, value in credentials.headers]
        return Call(
            request_id,
            arrived,
            classified,
            request.method,
            path,
            headers,
            bytes(received.body),
            model_call,
        )

    def list_models(self, key: Key) -> web.Response:
        """Returns the models that a key may use, in the published shape."""
        usable = [
            {"id": route.model, "object": "model", "created": 0, "owned_by": "bilberryplank"}
            for route in self._feed.configuration.parts.model_routes
            if self._may_use(key, route.model)
        ]
        body = json.dumps({"object": "list", "data": usable}).encode()
        return web.Response(body=body, content_type="application/json")

    def _may_use(self, key: Key, model: str) -> bool:
        probe = CallerRequest("POST", "/v1/completions", (), model)
        try:
            self._classifier.classify(key, probe)
        except Refused:
            return False
        return True

    def _configuration_changed(self, configuration: Configuration) -> None:
        self._classifier = RequestClassifier(configuration, self._key_hash_secret)


def is_models_list(request: web.BaseRequest, path: str) -> bool:
    """Returns True for the published call that lists models."""
    return request.method == "GET" and path.partition("?")[0] == MODELS_PATH
