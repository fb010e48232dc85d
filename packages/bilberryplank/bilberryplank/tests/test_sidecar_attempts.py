import asyncio
import unittest
from unittest.mock import Mock

from bilberryplank._answer_stream import AnswerStream
from bilberryplank._sidecar_attempts import HeldAttempt, KeepingSink
from bilberryplank_core.messages import AttemptId, Dispatch, Load

ATTEMPT = AttemptId("r", 1, "e")


class KeepingSinkTest(unittest.TestCase):
    def test_a_head_tells_the_wait_and_the_load_of_its_time(self):
        link, kept = Mock(), Mock()
        dispatch = Dispatch(ATTEMPT, "org", "key", "c", "r", "GET", "/", [], b"", 1.0)
        held = HeldAttempt(dispatch, 0, 0.0, 1.0, AnswerStream(ATTEMPT, link, 100))
        loads = iter((Load(queued=1),))
        sink = KeepingSink(held, kept, lambda: next(loads), Mock())
        held.waited = 0.75
        asyncio.run(sink.head(200, []))
        (sent,), (_, stored) = link.send.call_args.args, kept.keep_head.call_args.args
        self.assertEqual((sent.waited, sent.load.queued), (0.75, 1))
        self.assertEqual(stored, sent)
