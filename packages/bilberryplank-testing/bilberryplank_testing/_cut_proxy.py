"""A stretch of network between entries and a sidecar that a test can cut, freeze or mend."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import Enum

CHUNK_BYTES = 64 * 1024


class WireState(Enum):
    """What the wire does with bytes.

    Attributes:
        OPEN: Passes them on.
        CUT: Refuses new connections; open ones were broken.
        SILENT: Takes bytes and passes nothing on.
        ONE_WAY: Passes requests on and keeps answers back.
    """

    OPEN = "open"
    CUT = "cut"
    SILENT = "silent"
    ONE_WAY = "one_way"


class CutProxy:
    """Passes TCP connections on to one address.

    Attributes:
        listen: `ip:port` at which it takes connections.
        delay: Seconds by which bytes are late, each way.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.delay = 0.0
        self.listen = listen
        self._target = target
        self._state = WireState.OPEN
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._refusing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to listen."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def refuse_for(self, seconds: float) -> None:
        """Refuses new connections, as the host of a program that has ended does."""
        if self._server is not None and (self._refusing is None or self._refusing.done()):
            self._server.close()
            self._refusing = asyncio.create_task(self._start_again(seconds))

    async def _start_again(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self.start()

    async def stop(self) -> None:
        """Ends every connection."""
        if self._refusing is not None:
            self._refusing.cancel()
        if self._server is not None:
            self._server.close()
        self.set(WireState.CUT)

    def set(self, state: WireState) -> None:
        """Changes what the wire does."""
        self._state = state
        if state is WireState.CUT:
            self.reset()
        self._changed.set()
        self._changed = asyncio.Event()

    def silence_open(self) -> None:
        """Lets the open connections carry nothing any more, while new ones work."""
        self._silenced |= self._writers

    def reset(self) -> None:
        """Breaks the open connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            # Closing a socket that way sends a reset; an ordinary end would pass for an answer's.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        self._writers.add(writer)
        ways: list[asyncio.Task[None]] = []
        try:
            if self._state is WireState.CUT:
                return
            there, back = await asyncio.open_connection(host, int(port))
            self._writers.add(back)
            ways = [
                asyncio.create_task(self._pass(reader, back, answers=False)),
                asyncio.create_task(self._pass(there, writer, answers=True)),
            ]
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            back.transport.abort()
            self._forget(back)
        except OSError:
            return
        finally:
            for way in ways:
                way.cancel()
            writer.transport.abort()
            self._forget(writer)

    def _forget(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        self._silenced.discard(writer)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self._holds(answers):
                    await self._changed.wait()
                if writer in self._silenced:
                    continue
                if self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
        except OSError:
            return

    def _holds(self, answers: bool) -> bool:
        if self._state is WireState.SILENT:
            return True
        return self._state is WireState.ONE_WAY and answers
