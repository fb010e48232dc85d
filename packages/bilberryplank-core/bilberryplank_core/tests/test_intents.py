import asyncio
import unittest

from bilberryplank_core.errors import Conflict, PlatformUnavailable
from bilberryplank_core.idempotency import Intent, IntentJournal, IntentState, StoredAnswer
from bilberryplank_core.messages import AttemptId
from bilberryplank_core.tests._memory_platform import MemoryTable, TableFault

ANSWER = StoredAnswer(201, [["Content-Type", "text/plain"]], b"done\x00\xff")


def intent(request, number=1):
    return Intent("f", IntentState.STARTED, AttemptId(request, number, "e"), "u", "s")


class IntentJournalTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.journal = IntentJournal(self.table)

    async def test_one_of_two_requests_with_the_same_identity_gets_the_row(self):
        first, second = await asyncio.gather(
            self.journal.begin("k", intent("a")), self.journal.begin("k", intent("b"))
        )
        self.assertEqual(first.intent, second.intent)

    async def test_one_of_two_repeats_takes_over_what_never_ran(self):
        held = await self.journal.begin("k", intent("a"))
        await self.journal.move(held, intent("b"))
        with self.assertRaises(Conflict):
            await self.journal.move(held, intent("c"))

    async def test_the_first_request_cannot_go_on_after_a_take_over(self):
        held = await self.journal.begin("k", intent("a"))
        found = await self.journal.begin("k", intent("b"))
        await self.journal.move(found, intent("b"))
        for step in (
            self.journal.move(held, intent("a", 2)),
            self.journal.finish(held, ANSWER),
            self.journal.mark_not_run(held),
        ):
            with self.assertRaises(Conflict):
                await step

    async def test_the_answer_comes_back_as_it_was(self):
        held = await self.journal.begin("k", intent("a"))
        await self.journal.finish(held, ANSWER)
        found = await self.journal.begin("k", intent("b"))
        self.assertIs(found.intent.state, IntentState.ANSWERED)
        self.assertEqual(found.intent.answer, ANSWER)

    async def test_a_large_answer_leaves_its_mark_only(self):
        held = await self.journal.begin("k", intent("a"))
        await self.journal.finish(held, StoredAnswer(200, [], b"x" * 100_000))
        found = await self.journal.begin("k", intent("b"))
        self.assertIs(found.intent.state, IntentState.ANSWERED)
        self.assertIsNone(found.intent.answer.body)

    async def test_a_lost_answer_of_the_table_never_lets_a_second_request_begin(self):
        self.table.faults.append(TableFault.LOST_ANSWER)
        with self.assertRaises(PlatformUnavailable):
            await self.journal.begin("k", intent("a"))
        found = await self.journal.begin("k", intent("b"))
        self.assertEqual(found.intent, intent("a"))

    async def test_a_stale_read_is_no_licence_to_run(self):
        self.table.freeze_reads()
        await self.journal.begin("k", intent("a"))
        with self.assertRaises(PlatformUnavailable):
            await self.journal.begin("k", intent("b"))
