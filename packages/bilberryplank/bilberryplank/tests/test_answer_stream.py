import asyncio
import unittest

from bilberryplank._answer_stream import PART_BYTES, WINDOW_BYTES, AnswerStream
from bilberryplank_core.messages import AttemptId, Body, End, Failed, Head, Load, Usage

ATTEMPT = AttemptId("r1", 1, "e1")
KEEP = 10 * PART_BYTES
USAGE = Usage(1, 2, 1)


class Taker:
    """A link that notes what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    @property
    def body(self):
        return b"".join(item.data for item in self.sent if isinstance(item, Body))

    @property
    def closing(self):
        return [item for item in self.sent if isinstance(item, (End, Failed))]


def content(parts):
    return b"".join(bytes([number % 251]) * PART_BYTES for number in range(parts))


class AnswerStreamTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.link = Taker()
        self.stream = AnswerStream(ATTEMPT, self.link, KEEP)
        self.stream.head(200, [["A", "b"]], Load())

    def check_whole(self, link, body):
        """Checks that an entry got head, parts without gaps and end, as one whole answer."""
        head, *parts, end = link.sent
        self.assertEqual((type(head), link.body), (Head, body))
        self.assertEqual([part.sequence for part in parts], list(range(len(parts))))
        self.assertEqual((end, link.closing), (End(ATTEMPT, len(parts), USAGE, Load()), [end]))

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_parts_wait_for_credit(self):
        body = content(KEEP // PART_BYTES - 1)
        sending = asyncio.ensure_future(self.stream.part(body))
        await self.settle()
        self.assertFalse(sending.done())
        while not sending.done():
            taken = len(self.link.body)
            self.assertLess(taken, len(body))
            await self.settle()
            self.assertEqual(len(self.link.body), taken)
            self.stream.credit(PART_BYTES)
            await self.settle()
            self.assertLessEqual(len(self.link.body) - taken, PART_BYTES)
        self.stream.finish(USAGE, Load())
        self.check_whole(self.link, body)

    async def test_the_window_bounds_what_is_under_way(self):
        sending = asyncio.ensure_future(self.stream.part(content(9)))
        await self.settle()
        self.assertEqual(len(self.link.body), WINDOW_BYTES)
        self.stream.credit(10 * WINDOW_BYTES)
        self.assertEqual(len(self.link.body), 2 * WINDOW_BYTES)
        self.stream.credit(WINDOW_BYTES)
        await asyncio.wait_for(sending, 5.0)
        self.assertEqual(len(self.link.body), 9 * PART_BYTES)

    async def test_the_end_comes_after_the_last_part(self):
        body = content(6)
        sending = asyncio.ensure_future(self.stream.part(body))
        await self.settle()
        self.stream.finish(USAGE, Load())
        self.assertEqual((self.link.closing, self.stream.delivered), ([], False))
        self.stream.credit(WINDOW_BYTES)
        await asyncio.wait_for(sending, 5.0)
        self.assertTrue(self.stream.delivered)
        self.check_whole(self.link, body)

    async def test_another_link_gets_the_whole_answer(self):
        body = content(3)
        await self.stream.part(body)
        self.stream.detach()
        self.assertIsNone(self.stream.link)
        await self.stream.part(body)
        self.stream.finish(USAGE, Load())
        self.assertEqual((self.link.body, self.link.closing), (body, []))
        again = Taker()
        self.stream.attach(again)
        self.stream.credit(WINDOW_BYTES)
        self.check_whole(again, body * 2)
        self.assertEqual(self.link.body, body)

    async def test_an_answer_without_its_entry_is_kept_up_to_a_bound(self):
        self.stream.detach()
        await self.stream.part(content(10))
        late = asyncio.ensure_future(self.stream.part(b"x"))
        await self.settle()
        self.assertFalse(late.done())
        self.assertTrue(self.stream.replayable)
        self.stream.attach(self.link)
        for _ in range(3):
            self.stream.credit(WINDOW_BYTES)
        await asyncio.wait_for(late, 5.0)
        self.assertEqual(self.link.body, content(10) + b"x")

    async def test_an_answer_that_outgrew_the_bound_is_not_sent_again(self):
        for _ in range(40):
            sending = asyncio.ensure_future(self.stream.part(content(1)))
            await self.settle()
            self.stream.credit(PART_BYTES)
            await asyncio.wait_for(sending, 5.0)
        self.assertFalse(self.stream.replayable)
        self.assertLessEqual(self.stream.held_bytes, KEEP)
        self.stream.detach()
        with self.assertRaises(ValueError):
            self.stream.attach(Taker())

    async def test_a_failure_is_said_once(self):
        self.stream.fail("upstream_failed", Load())
        self.stream.credit(1)
        failed = Failed(ATTEMPT, "upstream_failed", Load())
        self.assertEqual(self.link.closing, [failed])
        again = Taker()
        self.stream.attach(again)
        self.assertEqual(again.closing, [failed])

    async def test_a_kept_answer_is_sent_whole(self):
        head = Head(ATTEMPT, 200, [], Load())
        body = content(8)
        parts = tuple(body[at : at + PART_BYTES] for at in range(0, len(body), PART_BYTES))
        stream = AnswerStream.from_kept(ATTEMPT, self.link, head, parts, USAGE)
        self.link.sent.remove(self.link.sent[0])
        self.assertEqual(len(self.link.body), WINDOW_BYTES)
        stream.credit(WINDOW_BYTES)
        self.check_whole(self.link, body)


if __name__ == "__main__":
    unittest.main()
