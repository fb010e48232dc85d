import unittest

from bilberryplank_core.messages import AttemptId, Load
from bilberryplank_core.scheduling import QueuedRequest, TieredQueue
from bilberryplank_core.settings import QueueSettings


def request(number, class_name, rank, limit):
    attempt = AttemptId(f"r{number}", 1, "e")
    return QueuedRequest(attempt, "org", "key", class_name, rank, 0, limit, 0.0, 60.0, 60.0)


class LoadHintTest(unittest.TestCase):
    def test_queue_reports_queued_cost_by_tier(self):
        queue = TieredQueue.from_settings(QueueSettings(slots=1))
        for number, (name, rank, limit) in enumerate(
            [("a", 0, 10), ("a", 0, 10), ("b", 2, 20), ("c", 2, 30)]
        ):
            queue.offer(request(number, name, rank, limit), 0.0)
        queue.dequeue(0.0)
        hint = queue.load(0.0)
        self.assertEqual(hint.queued_by_rank, [10.0, 0.0, 50.0])
        self.assertEqual(sum(hint.queued_by_rank), hint.queued_cost)

    def test_queued_cost_ahead_of_a_tier(self):
        plain, tiered = Load(queued=2, queued_cost=7.0), Load(5, queued_by_rank=[1.0, 0.0, 4.0])
        cases = [
            (plain, 0, 7.0, True),
            (tiered, 0, 1.0, True),
            (tiered, 1, 1.0, False),
            (tiered, 2, 5.0, True),
            (tiered, 9, 5.0, False),
        ]
        for load, rank, ahead, queued in cases:
            with self.subTest(load=load, rank=rank):
                self.assertEqual((load.queued_ahead(rank), load.may_queue(rank)), (ahead, queued))

    def test_number_of_tiers_in_a_hint_is_bounded(self):
        self.assertEqual(len(Load(queued_by_rank=[1.0] * 999).queued_by_rank), 16)
