import unittest

from bilberryplank_core.messages import AttemptId, Load
from bilberryplank_core.scheduling import QueuedRequest, TieredQueue
from bilberryplank_core.settings import QueueSettings


def request(number, class_name, rank, limit):
    attempt = AttemptId(f"r{number}", 1, "e")
    return QueuedRequest(attempt, "org", "key", class_name, rank, 0, limit, 0.0, 60.0, 60.0)


class LoadHintTest(unittest.TestCase):
    def test_the_queue_tells_tiers_apart(self):
        queue = TieredQueue.from_settings(QueueSettings(slots=1))
        for number, (name, rank, limit) in enumerate(
            [("a", 0, 10), ("a", 0, 10), ("b", 2, 20), ("c", 2, 30)]
        ):
            queue.offer(request(number, name, rank, limit), 0.0)
        queue.dequeue(0.0)
        found = queue.load(0.0)
        self.assertEqual(found.queued_by_rank, [10.0, 0.0, 50.0])
        self.assertEqual(sum(found.queued_by_rank), found.queued_cost)

    def test_what_a_hint_says_of_a_tier(self):
        plain, told = Load(queued=2, queued_cost=7.0), Load(5, queued_by_rank=[1.0, 0.0, 4.0])
        cases = [
            (plain, 0, 7.0, True),
            (told, 0, 1.0, True),
            (told, 1, 1.0, False),
            (told, 2, 5.0, True),
            (told, 9, 5.0, False),
        ]
        for load, rank, ahead, queued in cases:
            with self.subTest(load=load, rank=rank):
                self.assertEqual((load.queued_ahead(rank), load.may_queue(rank)), (ahead, queued))

    def test_tiers_of_a_hint_are_bounded(self):
        self.assertEqual(len(Load(queued_by_rank=[1.0] * 999).queued_by_rank), 16)
