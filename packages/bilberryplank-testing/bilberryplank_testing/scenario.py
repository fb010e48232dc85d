"""The world of one scenario: a deployment, the requests sent to it and what came back.

Steps run on the test runner's thread; everything else runs on a loop of its own, so that requests
go on between steps.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

from bilberryplank_testing._caller import Caller, Outcome
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
    """

    def __init__(self) -> None:
        self.deployment: Deployment | None = None
        self.document = scenario_document()
        self.secrets = scenario_secrets()
        self._outcomes: dict[str, Future[Outcome]] = {}
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
        for future in self._outcomes.values():
            future.cancel()
        if self.deployment is not None:
            self.run(self.deployment.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STEP_TIMEOUT_SECONDS)
        self._loop.close()

    def logs(self, characters: int = 3000) -> str:
        """Returns the last lines of every process."""
        if self.deployment is None:
            return ""
        paths = sorted(self.deployment.directory.glob("*.log"))
        return "\n".join(f"== {path.name}\n{path.read_text()[-characters:]}" for path in paths)

    def send(
        self,
        name: str,
        entry: str,
        method: str,
        path: str,
        organisation: str,
        body: Any,
        kind: str = "",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends a request whose outcome is known by `name`."""
        assert self.deployment is not None
        deployment = self.deployment
        caller = Caller(deployment.session, deployment.entry_urls[entry])
        outcome = Outcome(kind, organisation)
        secret = self.secrets[f"key-{organisation}"]
        fields = {"Authorization": f"Bearer {secret}", **(headers or {})}
        self._outcomes[name] = self.begin(caller.call(outcome, method, path, fields, body))

    def generate(
        self,
        name: str,
        entry: str,
        organisation: str,
        kind: str,
        tokens: int,
        stream: bool = True,
        prompt: str = "",
    ) -> None:
        """Asks a model for an answer of so many tokens."""
        body = {
            "model": MODELS[kind],
            "stream": stream,
            "max_tokens": tokens,
            "fake_output_tokens": tokens,
            "messages": [{"role": "user", "content": prompt or f"prompt of {name}"}],
        }
        path = "/v1/chat/completions"
        self.send(name, entry, "POST", path, organisation, body, kind)

    def outcome(self, name: str) -> Outcome:
        """Waits for the outcome of a request."""
        return self._outcomes[name].result(STEP_TIMEOUT_SECONDS)

    def outcomes(self, prefix: str) -> list[Outcome]:
        """Waits for the outcomes of all requests whose name begins with `prefix`."""
        names = [name for name in self._outcomes if name.startswith(prefix)]
        return [self.outcome(name) for name in names]

    def pending(self, name: str) -> bool:
        """Returns True while a request has no outcome."""
        return not self._outcomes[name].done()

    def runs(self, upstream: str) -> list[dict[str, Any]]:
        """Returns the run log of an upstream's fake."""
        assert self.deployment is not None
        return self.run(self.deployment.get(upstream, "/_log"))["entries"]

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
