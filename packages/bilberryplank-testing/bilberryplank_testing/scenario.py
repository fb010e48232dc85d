"""The world of one scenario: a deployment, the requests sent to it and what came back.

Steps run on the test runner's thread; everything else runs on a loop of its own, so that requests
go on between steps.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from time import monotonic
from typing import Any, TypeVar

from bilberryplank_testing._caller import Caller, Outcome
from bilberryplank_testing._engine_text import Prompt, answer_text
from bilberryplank_testing._scenario_document import MODELS, scenario_document, scenario_secrets
from bilberryplank_testing.deployment import Deployment, DeploymentSpec, UpstreamSpec

T = TypeVar("T")

STEP_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.02
POOLS = {"engine": "model"}


class ScenarioWorld:
    """One scenario.

    Attributes:
        deployment: The processes; set by `start`.
        document: Configuration in force, without upstreams.
        secrets: Keys as callers send them, by key id.
        frozen: Name of the process that is frozen; empty for none.
    """

    def __init__(self) -> None:
        self.deployment: Deployment | None = None
        self.document = scenario_document()
        self.secrets = scenario_secrets()
        self.frozen = ""
        self._outcomes: dict[str, Future[Outcome]] = {}
        self._floods: list[Future[None]] = []
        self._last_runs: dict[str, list[dict[str, Any]]] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coro: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on the scenario's loop and returns its result."""
        return self.begin(coro).result(STEP_TIMEOUT_SECONDS)

    def begin(self, coro: Coroutine[Any, Any, T]) -> Future[T]:
        """Starts a coroutine on the scenario's loop."""
        return asyncio.run_coroutine_threadsafe(coro, self._loop)

    def start(self, upstreams: list[UpstreamSpec], entries: int, **settings: Any) -> None:
        """Starts a deployment."""
        spec = DeploymentSpec(upstreams, self.document, self.secrets, entries, **settings)
        self.deployment = Deployment(spec)
        self.run(self.deployment.__aenter__())

    def close(self) -> None:
        """Stops everything."""
        for future in (*self._floods, *self._outcomes.values()):
            future.cancel()
        self.run(asyncio.sleep(0))
        if self.deployment is not None:
            self.run(self.deployment.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STEP_TIMEOUT_SECONDS)
        self._loop.close()

    def logs(self) -> str:
        """Returns the last lines of every process."""
        return "" if self.deployment is None else self.deployment.logs()

    def send(
        self,
        name: str,
        entry: str,
        method: str,
        path: str,
        organisation: str,
        body: Any,
        kind: str = "",
    ) -> None:
        """Sends a request whose outcome is known by `name`."""
        secret = self.secrets[f"key-{organisation}"]
        fields = {"Authorization": f"Bearer {secret}"}
        self.send_as_is(name, entry, method, path, fields, kind, body)

    def send_as_is(
        self,
        name: str,
        entry: str,
        method: str,
        path: str,
        headers: dict[str, str],
        kind: str = "",
        body: Any = None,
    ) -> None:
        """Sends a request with just these headers."""
        assert self.deployment is not None
        deployment = self.deployment
        caller = Caller(deployment.session, deployment.entry_urls[entry])
        call = caller.call(Outcome(kind, ""), method, path, headers, body)
        self._outcomes[name] = self.begin(call)

    def generate(
        self,
        name: str,
        entry: str,
        organisation: str,
        kind: str,
        tokens: int,
        stream: bool = True,
    ) -> None:
        """Asks a model for an answer of so many tokens."""
        body = _generation_body(name, kind, tokens, stream)
        path = "/v1/chat/completions"
        self.send(name, entry, "POST", path, organisation, body, kind)

    def expected_text(self, name: str, tokens: int) -> str:
        """Returns the text that the fake engine generates for a request."""
        prompt = Prompt.from_document(_generation_body(name, "reply", tokens, stream=True))
        return answer_text(prompt.text, tokens)

    def flood(
        self, name: str, organisation: str, kind: str, tokens: int, rate: float, seconds: float
    ) -> None:
        """Asks every entry in turn, `rate` times a second, whatever comes back."""
        assert self.deployment is not None
        entries = list(self.deployment.entries)

        async def keep_on() -> None:
            for number in range(int(rate * seconds)):
                entry = entries[number % len(entries)]
                self.generate(f"{name}-{number}", entry, organisation, kind, tokens)
                await asyncio.sleep(1 / rate)

        self._floods.append(self.begin(keep_on()))

    def come_back(
        self, name: str, entry: str, organisation: str, kind: str, tokens: int, seconds: float
    ) -> None:
        """Asks for an answer and, where it is refused, comes back when it is told to."""
        deadline = monotonic() + seconds

        async def persist() -> Outcome:
            number = 0
            while True:
                self.generate(f"{name}-try-{number}", entry, organisation, kind, tokens)
                outcome = await asyncio.wrap_future(self._outcomes[f"{name}-try-{number}"])
                if outcome.answered or monotonic() > deadline:
                    return outcome
                await asyncio.sleep(outcome.retry_after or 1.0)
                number += 1

        self._outcomes[name] = self.begin(persist())

    def operate(self, *arguments: str) -> int:
        """Runs the operators' command and returns its exit code."""
        assert self.deployment is not None
        return self.run(self.deployment.operate(*arguments))

    def outcome(self, name: str) -> Outcome:
        """Waits for the outcome of a request."""
        return self._outcomes[name].result(STEP_TIMEOUT_SECONDS)

    def outcomes(self, prefix: str) -> list[Outcome]:
        """Waits for the outcomes of all requests whose name begins with `prefix`."""
        for flood in self._floods:
            flood.result(STEP_TIMEOUT_SECONDS)
        return [self.outcome(name) for name in self.names(prefix)]

    def names(self, prefix: str) -> list[str]:
        """Returns the names of the requests that begin with `prefix`."""
        return [name for name in self._outcomes if name.startswith(prefix)]

    def pending(self, name: str) -> bool:
        """Returns True while a request has no outcome."""
        return not self._outcomes[name].done()

    def runs(self, upstream: str) -> list[dict[str, Any]]:
        """Returns the run log of an upstream's fake; of a killed one as it was just before."""
        assert self.deployment is not None
        if self.deployment.fakes[upstream].running:
            self._last_runs[upstream] = self.run(self.deployment.get(upstream, "/_log"))["entries"]
        return self._last_runs[upstream]

    def all_runs(self) -> list[dict[str, Any]]:
        """Returns the run logs of all upstreams' fakes."""
        assert self.deployment is not None
        names = [spec.name for spec in self.deployment.spec.upstreams]
        return [entry for name in names for entry in self.runs(name)]

    def wait_until(self, condition: Any, what: str, seconds: float = 15.0) -> None:
        """Waits until `condition()` is true; fails with `what` after `seconds`."""
        for _ in range(int(seconds / POLL_SECONDS)):
            if condition():
                return
            self.run(asyncio.sleep(POLL_SECONDS))
        raise AssertionError(f"not within {seconds:g} s: {what}")


def _generation_body(name: str, kind: str, tokens: int, stream: bool) -> dict[str, Any]:
    return {
        "model": MODELS[kind],
        "stream": stream,
        "max_tokens": tokens,
        "fake_output_tokens": tokens,
        "messages": [{"role": "user", "content": f"prompt of {name}"}],
    }
