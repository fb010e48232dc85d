"""The holder of the usage duty is stopped while the last packet of its report is sent again."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_3 import (  # noqa: E402
    TROUBLE,
    CannotRun,
    Entry,
    Server,
    StandInStore,
    call,
    desired_state,
    read_message,
    route,
    run_case,
    server_row,
    write_answer,
)

ENTRIES = 5
STOPS = 18
POLL = 0.2
LEAST_STOPS = 3

PAUSE = 4.0
"""Least seconds between two stops; a window of usage has 5."""

LAST_STOP = 95.0
"""Seconds from the start after which no further entry is stopped."""

RETRANSMITTED_AFTER = 0.21
"""A lost packet is sent again after 200 ms at the least (RTO_MIN of Linux) and two round trips."""

BETWEEN_REQUESTS = 0.5
"""Seconds between the requests to one entry; the site brings an entry more."""

STOPPED_AFTER = 0.01
"""Seconds from the loss to the SIGTERM."""


class Cloud:
    """The platform's API: takes usage reports; doesn't check the fence."""

    def __init__(self, record):
        self.calls = []
        self._record = record
        self._server = None

    @property
    def lower(self):
        """Calls with a lower number than one that was seen before."""
        return sum(number < highest for _, number, highest in self.calls)

    async def start(self):
        """Listens; returns host and port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "127.0.0.1", self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            _, path, fields, body = await read_message(reader)
            holder = fields["x-bilberryplank-duty-holder"]
            number = int(fields["x-bilberryplank-fencing-token"])
            highest = max((each[1] for each in self.calls), default=0)
            self.calls.append((holder, number, highest))
            note = f"LOWER than {highest}, which was seen before" if number < highest else ""
            self._record.note(f"platform gets POST {path} {body.decode()} {holder} {number} {note}")
            write_answer(writer, 200, {})
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Link:
    """The link from one entry to the platform's API; it may lose the last packet of a report."""

    def __init__(self, target, reported):
        self._target = target
        self._reported = reported
        self._server = None

    async def start(self):
        """Listens; returns `ip:port`."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        there, back = await asyncio.open_connection(*self._target)
        answers = asyncio.create_task(self._pass_answers(there, writer))
        sent = b""
        try:
            while data := await reader.read(65536):
                sent += data
                if is_whole(sent):
                    await self._last_packet()
                if reader.exception() is not None:
                    # A reset by the entry drops what it has not delivered yet.
                    break
                back.write(data)
        except ConnectionError:
            pass
        # The entry may have closed its side; what it sent still arrives.
        back.close()
        await asyncio.wait([answers], timeout=1.0)
        writer.close()

    async def _last_packet(self):
        if not self._reported():
            return
        if TROUBLE:
            await asyncio.sleep(RETRANSMITTED_AFTER)

    async def _pass_answers(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
        except ConnectionError:
            pass


def is_whole(sent):
    """Returns whether the bytes of a call are all there."""
    head, found, body = sent.partition(b"\r\n\r\n")
    lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    return bool(found and lengths) and len(body) >= int(lengths[0].partition(b":")[2])


class StopsInTurn:
    """Stops the entry that reports, one after the other, and starts it again."""

    def __init__(self, record):
        self.count = 0
        self.entries = []
        self._record = record
        self._restarts = []
        self._last = float("-inf")

    @property
    def is_done(self):
        """True after the last stop."""
        return self.count >= STOPS

    def reported(self, place):
        """Takes in that a last packet leaves; returns whether its entry is stopped."""
        all_run = all(each.is_running for each in self.entries)
        all_back = all(each.done() for each in self._restarts)
        is_due = time.monotonic() - self._last > PAUSE
        if not (all_run and all_back and is_due) or self.is_done:
            return False
        self._last = time.monotonic()
        self.count += 1
        entry = self.entries[place]
        if TROUBLE:
            self._record.note(f"the last packet of {entry.name}'s report is lost and sent again")
        self._restarts.append(asyncio.create_task(self._stop(entry)))
        return True

    async def _stop(self, entry):
        await asyncio.sleep(STOPPED_AFTER)
        self._record.note(f"SIGTERM to {entry.name}, stop {self.count}")
        entry.signal(signal.SIGTERM)
        await entry.process.wait()
        await entry.start()


async def send_steadily(entry, record):
    """Sends ordinary requests to an entry, so that its links carry more than reports."""
    number = 0
    while True:
        number += 1
        if entry.is_running:
            await call(entry, "/book/1", f"{entry.name}-{number}", "key-acme", record)
        await asyncio.sleep(BETWEEN_REQUESTS)


async def play(record, folder, started):
    """Plays the case; returns True where the rule was broken."""
    began = time.monotonic()
    store = StandInStore()
    address = (await store.start()).removeprefix("http://")
    routes = [route("book", "unsafe", "plain")]
    await store.put("op", "config", desired_state(7, {"acme": ["key-acme"]}, routes))
    server = Server("i-1", record)
    await store.put("servers", "i-1", server_row(await server.start()))
    cloud = Cloud(record)
    target = await cloud.start()
    stops = StopsInTurn(record)
    for number in range(1, ENTRIES + 1):
        link = Link(target, lambda place=number - 1: stops.reported(place))
        stops.entries.append(Entry(number, folder, address, await link.start()))
    started += stops.entries
    for entry in stops.entries:
        await entry.start()
    for entry in stops.entries:
        if not await entry.wait_ready(30):
            raise CannotRun(f"{entry.name} did not become ready")
    traffic = [asyncio.create_task(send_steadily(each, record)) for each in stops.entries]
    for _ in range(int((began + LAST_STOP - time.monotonic()) / POLL)):
        if stops.is_done or cloud.lower:
            break
        await asyncio.sleep(POLL)
    await asyncio.sleep(1.5)
    for each in traffic:
        each.cancel()
    if not cloud.lower and stops.count < LEAST_STOPS:
        raise CannotRun("too few reports were sent")
    record.note(f"{stops.count} stops, {len(cloud.calls)} calls, {cloud.lower} with a lower number")
    return bool(cloud.lower)


run_case(FOLDER, play)
