import asyncio
import unittest

from bilberryplank_core.errors import Conflict, PlatformUnavailable
from bilberryplank_core.idempotency import Intent, IntentState, IntentStore, StoredAnswer
from bilberryplank_core.messages import AttemptId
from bilberryplank_core.tests._memory_platform import MemoryTable, TableFault

ANSWER = StoredAnswer(201, [["Content-Type", "text/plain"]], b"done\x00\xff")


def intent(request, number=1):
    return Intent("f", IntentState.STARTED, AttemptId(request, number, "e"), "u", "s")


class IntentStoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.intents = IntentStore(self.table)

    async def test_concurrent_begins_with_the_same_key_return_the_same_intent(self):
        first, second = await asyncio.gather(
            self.intents.begin("k", intent("a")), self.intents.begin("k", intent("b"))
        )
        self.assertEqual(first.intent, second.intent)

    async def test_only_one_of_two_repeats_replaces_the_intent(self):
        stored = await self.intents.begin("k", intent("a"))
        await self.intents.replace_attempt(stored, intent("b"))
        with self.assertRaises(Conflict):
            await self.intents.replace_attempt(stored, intent("c"))

    async def test_replaced_request_gets_conflicts(self):
        stored = await self.intents.begin("k", intent("a"))
        stored = await self.intents.begin("k", intent("b"))
        await self.intents.replace_attempt(stored, intent("b"))
        for step in (
            self.intents.replace_attempt(stored, intent("a", 2)),
            self.intents.finish(stored, ANSWER),
            self.intents.mark_not_run(stored),
        ):
            with self.assertRaises(Conflict):
                await step

    async def test_stored_answer_is_read_back_unchanged(self):
        stored = await self.intents.begin("k", intent("a"))
        await self.intents.finish(stored, ANSWER)
        stored = await self.intents.begin("k", intent("b"))
        self.assertIs(stored.intent.state, IntentState.ANSWERED)
        self.assertEqual(stored.intent.answer, ANSWER)

    async def test_body_of_a_large_answer_is_not_stored(self):
        stored = await self.intents.begin("k", intent("a"))
        await self.intents.finish(stored, StoredAnswer(200, [], b"x" * 100_000))
        stored = await self.intents.begin("k", intent("b"))
        self.assertIs(stored.intent.state, IntentState.ANSWERED)
        self.assertIsNone(stored.intent.answer.body)

    async def test_second_request_gets_the_intent_of_a_commit_whose_reply_was_lost(self):
        self.table.faults.append(TableFault.LOST_ANSWER)
        with self.assertRaises(PlatformUnavailable):
            await self.intents.begin("k", intent("a"))
        stored = await self.intents.begin("k", intent("b"))
        self.assertEqual(stored.intent, intent("a"))

    async def test_stale_read_is_reported_as_unavailable(self):
        self.table.freeze_reads()
        await self.intents.begin("k", intent("a"))
        with self.assertRaises(PlatformUnavailable):
            await self.intents.begin("k", intent("b"))
