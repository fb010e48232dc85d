"""A plain caller: one request at a time on a kept channel, over a link with a delay."""

import asyncio

from small_world import HOST, ID, KEY


class Link:
    """Passes channels on to one address, each byte a little later."""

    def __init__(self, ip, port, delay):
        self._target, self._delay = (ip, port), delay
        self._tasks = set()

    async def start(self):
        """Listens and returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Ends all channels."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            there, back = await asyncio.open_connection(*self._target)
            await asyncio.gather(
                self._pass(reader, back), self._pass(there, writer), return_exceptions=True
            )
            back.close()
        except OSError:
            writer.transport.abort()
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _pass(self, reader, writer):
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                loop.call_later(self._delay, writer.write, data)
            loop.call_later(self._delay, writer.close)
        except OSError:
            loop.call_later(self._delay, writer.transport.abort)


class Answer:
    """What came for one request."""

    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body

    @property
    def request_id(self):
        """The id that the answer bears."""
        return self.fields.get(ID.lower())


class Channel:
    """A channel of a caller."""

    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, ip, port):
        """Opens a channel."""
        return cls(*await asyncio.open_connection(ip, port))

    @property
    def is_usable(self):
        """False where the node closed the channel, or sent what nobody asked for."""
        return not (self._reader.at_eof() or self._reader._buffer or self._reader.exception())

    def send(self, method, path, request_id, limit_ms, body=b"", key=KEY, **fields):
        """Sends a request."""
        head = {
            "Host": HOST,
            ID: request_id,
            "X-Bilberryplank-Deadline-Ms": str(limit_ms),
            **({"Api-Key": key} if key else {}),
            **{name.replace("_", "-"): value for name, value in fields.items()},
            **({"Content-Length": str(len(body))} if body or method == "POST" else {}),
        }
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {each}" for name, each in head.items())]
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def answer(self):
        """Returns the next answer; raises where the channel ends before its end."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split()[1])
        pairs = (line.partition(":") for line in head[1:] if line)
        fields = {name.lower(): value.strip() for name, _, value in pairs}
        if fields.get("transfer-encoding") == "chunked":
            return Answer(status, fields, await self._chunks())
        body = await self._reader.readexactly(int(fields.get("content-length", 0)))
        return Answer(status, fields, body)

    async def _chunks(self):
        body = b""
        while size := int((await self._reader.readuntil(b"\r\n")).strip(), 16):
            body += (await self._reader.readexactly(size + 2))[:-2]
        await self._reader.readuntil(b"\r\n")
        return body

    def close(self):
        """Closes the channel."""
        self._writer.close()
