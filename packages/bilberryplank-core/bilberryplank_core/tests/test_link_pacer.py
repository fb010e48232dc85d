import unittest

from bilberryplank_core._link_pacer import BODY_LINK_SHARE, CHUNK_SECONDS, MIN_CHUNK_BYTES
from bilberryplank_core.direct import LinkPacer

SLOW, FAST = 1.25e6, 25e6
BODY = 35_000


class LinkPacerTest(unittest.TestCase):
    def test_bodies_that_are_short_for_the_link_are_sent_whole(self):
        for rate, length, whole in (
            (None, BODY, True),
            (FAST, BODY, True),
            (SLOW, 4_000, True),
            (SLOW, BODY, False),
            (SLOW, 0, True),
        ):
            with self.subTest(rate=rate, length=length):
                self.assertEqual(LinkPacer(rate).chunk_bytes(length) == length, whole)

    def test_a_chunk_occupies_a_slow_link_for_a_few_milliseconds(self):
        self.assertLessEqual(LinkPacer(SLOW).chunk_bytes(BODY) / SLOW, CHUNK_SECONDS)
        self.assertEqual(LinkPacer(1000.0).chunk_bytes(BODY), MIN_CHUNK_BYTES)

    def test_concurrent_bodies_leave_bandwidth_for_events(self):
        """Load: three prompts of 35 KB at the same time on 10 Mbit/s."""
        link, now, sent = LinkPacer(SLOW), 0.0, 0
        due = [0.0] * 3
        left = [BODY] * 3
        while any(left):
            body = min((index for index in range(3) if left[index]), key=lambda index: due[index])
            now = max(now, due[body])
            chunk = min(left[body], link.chunk_bytes(BODY))
            due[body] = now + link.reserve(chunk, now)
            left[body] -= chunk
            sent += chunk
        self.assertAlmostEqual(max(due), (sent - chunk) / (SLOW * BODY_LINK_SHARE), delta=0.01)

    def test_a_chunk_on_an_idle_link_is_sent_at_once(self):
        link = LinkPacer(SLOW)
        self.assertEqual(link.reserve(6_000, 1.0), 0.0)
        self.assertGreater(link.reserve(6_000, 1.0), 0.0)
        self.assertEqual(link.reserve(6_000, 9.0), 0.0)

    def test_nothing_is_delayed_if_the_rate_is_unknown(self):
        link = LinkPacer(None)
        self.assertEqual([link.reserve(BODY, 0.0) for _ in range(9)], [0.0] * 9)
