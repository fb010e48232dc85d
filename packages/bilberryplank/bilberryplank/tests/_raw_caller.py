"""A caller on a raw socket, and the bytes of its requests."""

import asyncio

TIMEOUT = 10.0
PARTS = 20
FIELDS = {"Host": "h"}


def request(size, chunked=False, path="/refused", fields=FIELDS):
    """Yields head and body of a request; the body comes in `PARTS` pieces."""
    framing = ("Transfer-Encoding", "chunked") if chunked else ("Content-Length", size)
    lines = "".join(f"{name}: {value}\r\n" for name, value in (*fields.items(), framing))
    yield f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode()
    piece = b"x" * max(1, size // PARTS)
    while size > 0:
        data = piece[:size]
        size -= len(data)
        yield b"%x\r\n%s\r\n" % (len(data), data) if chunked else data
    if chunked:
        yield b"0\r\n\r\n"


class Caller:
    """A caller on a raw socket."""

    @classmethod
    async def connect(cls, port, host="127.0.0.1"):
        caller = cls()
        caller.reader, caller.writer = await asyncio.open_connection(host, port)
        return caller

    async def send(self, pieces, pause=0.0):
        """Writes all of a request before it reads, as blocking clients do."""
        for piece in pieces:
            self.writer.write(piece)
            await self.writer.drain()
            if pause:
                await asyncio.sleep(pause)

    async def head(self):
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), TIMEOUT)
        first, *lines = head.decode().rstrip().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines)
        return int(first.split()[1]), fields

    async def answer(self):
        status, fields = await self.head()
        body = await asyncio.wait_for(
            self.reader.readexactly(int(fields["Content-Length"])), TIMEOUT
        )
        return status, fields, body

    async def rest(self):
        return await asyncio.wait_for(self.reader.read(), TIMEOUT)
