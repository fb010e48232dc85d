"""A caller: sends one request of a mix and notes what came back."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

import aiohttp
from yarl import URL

from bilberryplank_testing._workloads import SECRET_PREFIX, RequestKind

EVENT_STREAM = "text/event-stream"
DONE = b"data: [DONE]"
SPREAD = 0.5


@dataclass(slots=True)
class PlannedRequest:
    """A request that a caller is going to send.

    Attributes:
        number: Number in the plan.
        at: Seconds from the start of the run.
        kind: What it is.
        organisation: Who sends it.
        prompt_tokens: Length of its prompt.
        output_tokens: Length of its answer.
    """

    number: int
    at: float
    kind: RequestKind
    organisation: str
    prompt_tokens: int
    output_tokens: int

    @classmethod
    def draw(
        cls, number: int, at: float, kinds: tuple[RequestKind, ...], rng: random.Random
    ) -> PlannedRequest:
        """Returns a request drawn from a mix; lengths spread evenly around their means."""
        kind = rng.choices(kinds, [item.share for item in kinds])[0]
        lengths = (_spread(kind.prompt_tokens, rng), _spread(kind.output_tokens, rng))
        return cls(number, at, kind, rng.choice(kind.organisations), *lengths)

    def body(self) -> dict[str, Any]:
        """Returns the JSON body."""
        if not self.kind.model:
            return {"order": {"number": f"order-{self.number}"}}
        prompt = f"request {self.number} " + "word" * self.prompt_tokens
        return {
            "model": self.kind.model,
            "stream": self.kind.streamed,
            "max_tokens": max(1, self.output_tokens),
            "fake_output_tokens": max(1, self.output_tokens),
            "messages": [{"role": "user", "content": prompt}],
        }


@dataclass(slots=True)
class Outcome:
    """What came back.

    Attributes:
        class_name: Request class that was expected.
        organisation: Who sent it.
        streamed: True where server-sent events were asked for.
        sent: Monotonic seconds.
        status: HTTP status; 0 where the connection broke.
        first: Seconds until the first byte of the body; None where none came.
        total: Seconds until the end.
        tokens: Answer tokens received.
        whole: True where the answer was whole.
        refusal: Code of a refusal; empty for none.
        not_run: True where a refusal says that the request was not run.
        retry_after: Seconds of a refusal's `Retry-After`; None without.
        request_id: Id that the entry gave it.
        text: Text of a model's answer, or the body of a plain one.
    """

    class_name: str
    organisation: str
    streamed: bool = False
    sent: float = field(default_factory=monotonic)
    status: int = 0
    first: float | None = None
    total: float = 0.0
    tokens: int = 0
    whole: bool = False
    refusal: str = ""
    not_run: bool = False
    retry_after: float | None = None
    request_id: str = ""
    text: str = ""

    @property
    def answered(self) -> bool:
        """True for a whole answer that is no refusal."""
        return self.whole and self.status == 200

    @property
    def token_gap(self) -> float | None:
        """Mean seconds between tokens of a streamed answer."""
        if self.first is None or self.tokens < 2 or not self.streamed:
            return None
        return (self.total - self.first) / (self.tokens - 1)


class Caller:
    """Sends requests to one entry."""

    __slots__ = ("_session", "_url")

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def send(self, planned: PlannedRequest) -> Outcome:
        """Sends a request of a mix once; never raises for what fails."""
        kind = planned.kind
        outcome = Outcome(kind.class_name, planned.organisation, kind.streamed)
        headers = {"Authorization": f"Bearer {SECRET_PREFIX}key-{planned.organisation}"}
        return await self.call(outcome, "POST", kind.path, headers, planned.body())

    async def call(
        self, outcome: Outcome, method: str, path: str, headers: dict[str, str], body: Any
    ) -> Outcome:
        """Sends any request once and notes in `outcome` what came back."""
        url = URL(self._url + path, encoded=True)
        try:
            async with self._session.request(method, url, json=body, headers=headers) as resp:
                await self._read(resp, outcome)
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            outcome.whole = False
        outcome.total = monotonic() - outcome.sent
        return outcome

    async def _read(self, resp: aiohttp.ClientResponse, outcome: Outcome) -> None:
        outcome.status = resp.status
        outcome.request_id = resp.headers.get("Bilberryplank-Request-Id", "")
        body = bytearray()
        async for data in resp.content.iter_any():
            if outcome.first is None:
                outcome.first = monotonic() - outcome.sent
            body += data
        if resp.content_type == EVENT_STREAM:
            _note_stream(bytes(body), outcome)
            return
        outcome.whole = True
        document = json.loads(body)
        if "error" in document:
            _note_refusal(resp, document["error"], outcome)
        elif "choices" in document:
            outcome.tokens = document["usage"]["completion_tokens"]
            outcome.text = document["choices"][0]["message"]["content"]
        else:
            outcome.text = body.decode()


def _note_refusal(resp: aiohttp.ClientResponse, error: dict[str, Any], outcome: Outcome) -> None:
    outcome.refusal = error["code"]
    outcome.not_run = error["not_run"]
    retry_after = resp.headers.get("Retry-After")
    outcome.retry_after = float(retry_after) if retry_after else None


def _note_stream(body: bytes, outcome: Outcome) -> None:
    outcome.whole = body.rstrip().endswith(DONE)
    texts = []
    for event in body.split(b"\n\n"):
        data = event.removeprefix(b"data: ")
        if not data.startswith(b"{"):
            continue
        document = json.loads(data)
        if "error" in document:
            outcome.refusal = document["error"]["code"]
            continue
        for choice in document["choices"]:
            texts.append(choice["delta"].get("content") or "")
    outcome.tokens = sum(bool(text) for text in texts)
    outcome.text = "".join(texts)


def _spread(mean: int, rng: random.Random) -> int:
    return round(mean * rng.uniform(1 - SPREAD, 1 + SPREAD))
