"""A process that sends one order and freezes itself at a set step; prints the failure's code."""

import asyncio
import os
import signal
import sys
import time

import aiohttp

from bilberryplank.platform import Platform
from bilberryplank_core.contracts import Guard, StartUpstream
from bilberryplank_core.errors import BilberryplankError, LeaseLost
from bilberryplank_core.settings import PlatformSettings

LEASE = 0.3
TIMEOUT = 10.0
OLD_FENCE = 1
LAST_CHECK = 2


class FreezingGuard(Guard):
    """Counts the lease on the clock that goes on while a host sleeps."""

    def __init__(self, step: str) -> None:
        self.step = step
        self.checks = 0
        self.until = _now() + LEASE

    def check(self) -> None:
        self.checks += 1
        last = self.checks == LAST_CHECK
        if last and self.step != "waiting":
            self.until = _now() + LEASE
        if last and self.step == "before_check":
            os.kill(os.getpid(), signal.SIGSTOP)
        if _now() >= self.until:
            raise LeaseLost("lapsed")
        if last and self.step == "after_check":
            os.kill(os.getpid(), signal.SIGSTOP)

    def remaining(self) -> float:
        return self.until - _now()


def _now() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def main(url: str, step: str) -> str:
    async with aiohttp.ClientSession() as session:
        platform = Platform.from_settings(PlatformSettings(*[url] * 5, timeout=TIMEOUT), session)
        order = StartUpstream("old", OLD_FENCE, "nz-1", "models")
        try:
            await platform.orders.send(order, FreezingGuard(step))
        except BilberryplankError as exc:
            return exc.code
    return "sent"


if __name__ == "__main__":
    print(asyncio.run(main(sys.argv[1], sys.argv[2])))
