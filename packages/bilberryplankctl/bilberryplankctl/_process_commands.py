"""Commands that ask the processes themselves: status and explain."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import aiohttp

from bilberryplankctl._failures import NotFound, ProcessUnreachable
from bilberryplankctl._results import Explanation, FleetStatus, ProcessAnswer


class ProcessClient:
    """Reads the operators' ports of processes."""

    __slots__ = ("_addresses", "_session", "_timeout")

    def __init__(
        self, session: aiohttp.ClientSession, addresses: tuple[str, ...], timeout: float
    ) -> None:
        self._session = session
        self._addresses = addresses
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def ask_all(self, path: str) -> tuple[ProcessAnswer, ...]:
        """Returns the answer of each process, in the order of the settings."""
        answers = (self._ask(address, path) for address in self._addresses)
        return tuple(await asyncio.gather(*answers))

    async def _ask(self, address: str, path: str) -> ProcessAnswer:
        try:
            return ProcessAnswer(address, await self._get(address, path))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            return ProcessAnswer(address, error=str(exc) or type(exc).__name__)

    async def _get(self, address: str, path: str) -> Any:
        url = f"http://{address}{path}"
        async with self._session.get(url, timeout=self._timeout) as response:
            if response.status == HTTPStatus.NOT_FOUND:
                return None
            response.raise_for_status()
            return await response.json()


async def status(client: ProcessClient) -> FleetStatus:
    """Returns the status of each process; those not reached are listed with the cause."""
    return FleetStatus(await client.ask_all("/status"))


async def explain(client: ProcessClient, request: str) -> Explanation:
    """Returns the decisions about a request that the processes still hold.

    Raises:
        NotFound: No process knows the request.
        ProcessUnreachable: None of those reached knows it, and some were not reached.
    """
    answers = await client.ask_all("/decisions/" + quote(request, safe=""))
    unreached = tuple(answer for answer in answers if answer.error)
    decisions = [
        decision
        for answer in answers
        if answer.answer is not None
        for decision in answer.answer["decisions"]
    ]
    if not decisions and unreached:
        addresses = ", ".join(answer.address for answer in unreached)
        raise ProcessUnreachable(f"no decision found, and not reached: {addresses}")
    if not decisions:
        raise NotFound(f"no process holds a decision about {request!r}")
    decisions.sort(key=lambda decision: decision["at"])
    return Explanation(request, tuple(decisions), unreached)
