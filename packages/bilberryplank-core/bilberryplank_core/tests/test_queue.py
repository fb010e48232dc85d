"""Tests of the request queues, in virtual time."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from bilberryplank_core.errors import RefusalReason
from bilberryplank_core.messages import AttemptId
from bilberryplank_core.scheduling import (
    FifoQueue,
    QueuedRequest,
    RequestQueue,
    TieredQueue,
    TieredQueuePolicy,
)
from bilberryplank_core.settings import QueueSettings

DEADLINE_REASONS = (RefusalReason.DEADLINE_PASSED, RefusalReason.DEADLINE_UNREACHABLE)


def request(name: str, rank: int, now: float = 0.0, **changes) -> QueuedRequest:
    fields = {
        "attempt": AttemptId(name, 1, "entry"),
        "organisation": "acme",
        "key_id": "key-acme",
        "class_name": f"class-{rank}",
        "rank": rank,
        "prompt_tokens": 100,
        "output_limit": 100,
        "arrived": now,
        "deadline": now + 1000.0,
        "first_token_target": 500.0,
    }
    return QueuedRequest(**{**fields, **changes})


def tiered_queue(policy: TieredQueuePolicy | None = None, **changes) -> TieredQueue:
    return TieredQueue.from_settings(QueueSettings(**changes), policy)


class SimulatedUpstream:
    """Runs the requests that a queue dispatches, and checks each of its rejections."""

    def __init__(self, test: unittest.TestCase, queue: RequestQueue, max_queued: int) -> None:
        self.test = test
        self.queue = queue
        self.max_queued = max_queued
        self.queued: dict[AttemptId, QueuedRequest] = {}
        self.running: dict[AttemptId, tuple[QueuedRequest, float, float]] = {}
        self.settled: set[AttemptId] = set()
        self.dispatches: Counter[str] = Counter()
        self.served_cost: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.preempted: list[QueuedRequest] = []
        self.wasted_tokens = 0.0
        self.completed_tokens = 0.0

    def offer(self, req: QueuedRequest, now: float) -> None:
        self.queued[req.attempt] = req
        self.record_rejections(self.queue.offer(req, now), on_arrival=True)
        if req.attempt in self.queued:
            self.preempt(now)
        self.dispatch(now)

    def record_rejections(self, rejections: list, on_arrival: bool = False) -> None:
        for rejection in rejections:
            req = self.queued.pop(rejection.attempt)
            self.settled.add(req.attempt)
            self.refused[req.class_name] += 1
            if rejection.reason is RefusalReason.DEADLINE_UNREACHABLE and on_arrival:
                self.test.assertEqual([], self.queued_in_lower_tiers(req), rejection)
            if rejection.reason not in DEADLINE_REASONS:
                self.check_shed_request(req)

    def queued_in_lower_tiers(self, req: QueuedRequest) -> list[QueuedRequest]:
        return [other for other in self.queued.values() if other.rank > req.rank]

    def check_shed_request(self, req: QueuedRequest) -> None:
        """Checks that the queue would be full without the lower tiers too.

        Each lower class may have one queued request that is exempt by its floor.
        """
        lower = Counter(other.class_name for other in self.queued_in_lower_tiers(req))
        self.test.assertLessEqual(max(lower.values(), default=0), 1)
        self.test.assertGreaterEqual(len(self.queued) - lower.total(), self.max_queued)

    def preempt(self, now: float) -> None:
        while (attempt := self.queue.preempt(now)) is not None:
            req, sent_at, _ = self.running.pop(attempt)
            self.test.assertTrue(any(other.rank < req.rank for other in self.queued.values()))
            self.test.assertTrue(req.preemptible)
            tokens = int((now - sent_at) * 50)
            self.wasted_tokens += req.prompt_tokens + tokens
            self.preempted.append(req)
            self.queue.release(attempt, now, req.prompt_tokens, tokens, completed=False)

    def dispatch(self, now: float) -> None:
        while (req := self.queue.dequeue(now)) is not None:
            del self.queued[req.attempt]
            self.test.assertNotIn(req.attempt, self.settled)
            self.settled.add(req.attempt)
            self.queue.record_sent(req.attempt, now)
            self.dispatches[req.class_name] += 1
            self.served_cost[req.organisation] += req.cost
            self.running[req.attempt] = (req, now, now + req.output_limit / 50)

    def advance(self, now: float) -> None:
        for attempt, (req, _, end) in sorted(self.running.items(), key=lambda item: item[1][2]):
            if end <= now:
                del self.running[attempt]
                self.completed_tokens += req.prompt_tokens + req.output_limit
                self.queue.release(attempt, end, req.prompt_tokens, req.output_limit)
        self.record_rejections(self.queue.expire(now))
        self.preempt(now)
        self.dispatch(now)


class TieredQueueTest(unittest.TestCase):
    def test_random_traffic_causes_no_priority_inversion_and_settles_each_request_once(
        self,
    ) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                upstream = SimulatedUpstream(self, tiered_queue(slots=4, max_queued=10), 10)
                offered = 0
                for step in range(3000):
                    now = step * 0.05
                    upstream.advance(now)
                    for _ in range(rng.choice((0, 0, 1, 3) if step % 400 < 200 else (0, 0, 0, 1))):
                        offered += 1
                        upstream.offer(self.random_request(rng, offered, now), now)
                    if upstream.queued and rng.random() < 0.02:
                        self.cancel_one(rng, upstream)
                self.assertEqual(offered, len(upstream.settled) + len(upstream.queued))
                self.assertLessEqual(len(upstream.queued), 10 + 4 + 3)
                self.assertGreater(min(upstream.refused.values()), 0)
                self.assertGreater(len(upstream.preempted), 0)
                self.assertLess(upstream.wasted_tokens, 0.05 * upstream.completed_tokens + 500)

    def random_request(self, rng: random.Random, number: int, now: float) -> QueuedRequest:
        return request(
            f"r{number}",
            rng.randrange(3),
            now,
            organisation=f"org-{rng.randrange(4)}",
            prompt_tokens=rng.choice((10, 300, 2500)),
            output_limit=rng.choice((20, 60, 200)),
            deadline=now + rng.choice((0.0, 3.0, 30.0)),
            first_token_target=rng.choice((0.4, 5.0)),
            preemptible=rng.random() < 0.7,
        )

    def cancel_one(self, rng: random.Random, upstream: SimulatedUpstream) -> None:
        attempt = rng.choice(sorted(upstream.queued, key=str))
        self.assertTrue(upstream.queue.cancel(attempt))
        self.assertFalse(upstream.queue.cancel(attempt))
        del upstream.queued[attempt]
        upstream.settled.add(attempt)

    def test_full_queue_sheds_from_the_lowest_tier(self) -> None:
        cases = (
            ("new request is in the lowest tier", (0, 0), 1, "new", RefusalReason.QUEUE_FULL),
            ("a lower tier is queued", (1, 0), 0, "q0", RefusalReason.SHED),
            ("newest request of the lowest tier", (1, 1), 0, "q1", RefusalReason.SHED),
            ("all in one tier", (1, 1), 1, "new", RefusalReason.QUEUE_FULL),
        )
        for name, ranks, rank, victim, reason in cases:
            with self.subTest(name):
                queue = tiered_queue(max_queued=2)
                for index, queued in enumerate(ranks):
                    self.assertEqual([], queue.offer(request(f"q{index}", queued, index), index))
                (rejection,) = queue.offer(request("new", rank, 3.0), 3.0)
                self.assertEqual((victim, reason), (rejection.attempt.request, rejection.reason))
                self.assertGreater(rejection.retry_after, 0)

    def test_flood_of_one_organisation_leaves_room_for_others(self) -> None:
        queue = tiered_queue(max_queued=4)
        for index in range(4):
            queue.offer(request(f"flood{index}", 1, index, organisation="large"), index)
        (rejection,) = queue.offer(request("small", 1, 5.0, organisation="small"), 5.0)
        self.assertEqual("flood3", rejection.attempt.request)

    def test_every_class_gets_its_floor_share_under_sustained_higher_load(self) -> None:
        for floor in (0.05, 0.1):
            with self.subTest(floor=floor):
                upstream = SimulatedUpstream(self, tiered_queue(slots=4, max_queued=20), 20)
                for step in range(6000):
                    now = step * 0.05
                    upstream.advance(now)
                    for rank in (0, 0, step % 3):
                        name = f"r{step}-{rank}-{len(upstream.settled)}-{len(upstream.queued)}"
                        req = request(name, rank, now, floor_share=floor, output_limit=40)
                        upstream.offer(req, now)
                total = sum(upstream.dispatches.values())
                for rank in (1, 2):
                    share = upstream.dispatches[f"class-{rank}"] / total
                    self.assertGreaterEqual(share, floor * 0.9)
                self.assertGreater(upstream.dispatches["class-0"] / total, 1 - 2.5 * floor)

    def test_backlogged_organisations_are_served_by_weight(self) -> None:
        cases = (("equal", (1.0, 1.0, 1.0)), ("weighted", (1.0, 2.0, 4.0)))
        for name, weights in cases:
            with self.subTest(name):
                upstream = SimulatedUpstream(self, tiered_queue(slots=2, max_queued=100), 100)
                rng = random.Random(1)
                for step in range(4000):
                    now = step * 0.05
                    upstream.advance(now)
                    waiting = Counter(req.organisation for req in upstream.queued.values())
                    for index, weight in enumerate(weights):
                        if waiting[f"org-{index}"] < 3:
                            size = 20 * (index + 1) + rng.randrange(20)
                            req = request(f"r{step}-{index}", 1, now, output_limit=size)
                            req.organisation, req.weight = f"org-{index}", weight
                            upstream.offer(req, now)
                shares = [upstream.served_cost[f"org-{i}"] / w for i, w in enumerate(weights)]
                self.assertGreater(min(shares), 0.8 * max(shares))

    def test_higher_tiers_go_first(self) -> None:
        queue = tiered_queue(slots=3)
        for index, rank in enumerate((2, 0, 1)):
            queue.offer(request(f"r{rank}", rank, index), index)
        self.assertEqual([0, 1, 2], [queue.dequeue(3.0).rank for _ in range(3)])

    def test_requests_dispatched_by_a_floor_are_not_preempted(self) -> None:
        for floors, expected in ((True, None), (False, "lower")):
            with self.subTest(floors=floors):
                queue = self.queue_with_floor_credit(
                    TieredQueuePolicy(floors=floors, reserve=False)
                )
                if floors:
                    queue.offer(request("top1", 0, 10.0, first_token_target=0.1), 10.0)
                queue.offer(request("lower", 1, 10.0, preemptible=True), 10.0)
                dispatched = queue.dequeue(10.0)
                self.assertEqual("lower", dispatched.attempt.request)
                queue.record_sent(dispatched.attempt, 10.0)
                queue.offer(request("top2", 0, 10.0, first_token_target=0.1), 10.0)
                attempt = queue.preempt(10.1)
                self.assertEqual(expected, attempt and attempt.request)

    def test_slots_are_reserved_for_tight_targets_only_under_load(self) -> None:
        for arrivals, expected_dispatches in ((0, 3), (120, 1)):
            with self.subTest(arrivals=arrivals):
                queue = self.queue_with_floor_credit(TieredQueuePolicy(floors=False), slots=4)
                for index in range(arrivals):
                    queue.offer(request(f"top{index}", 0, 100.0, first_token_target=0.1), 100.0)
                    queue.cancel(AttemptId(f"top{index}", 1, "entry"))
                for index in range(3):
                    queue.offer(request(f"lower{index}", 1, 100.0), 100.0)
                dispatched = [queue.dequeue(100.0) for _ in range(3)]
                self.assertEqual(expected_dispatches, sum(req is not None for req in dispatched))

    def queue_with_floor_credit(self, policy: TieredQueuePolicy, slots: int = 1) -> TieredQueue:
        """Returns a queue with service times of one second, whose floor owes class 1 a dispatch."""
        queue = tiered_queue(policy, slots=slots)
        for index in range(100):
            now = index * 0.1
            queue.offer(request(f"warm{index}", 0, now), now)
            req = queue.dequeue(now)
            queue.record_sent(req.attempt, now)
            queue.release(req.attempt, now + 1.0, 100, 100)
            if index == 50:
                queue.offer(request("refused", 1, now, deadline=now), now)
        return queue

    def test_late_requests_go_behind_on_time_ones_of_their_class_only(self) -> None:
        queue = tiered_queue(slots=1)
        queue.offer(request("late", 1, 0.0, first_token_target=1.0), 0.0)
        queue.offer(request("timely", 1, 4.0, first_token_target=9.0), 4.0)
        queue.offer(request("lower", 2, 4.0), 4.0)
        order = []
        for _ in range(3):
            req = queue.dequeue(5.0)
            order.append(req.attempt.request)
            queue.release(req.attempt, 5.0, 0, 0)
        self.assertEqual(["timely", "late", "lower"], order)

    def test_long_prompts_in_prefill_are_limited(self) -> None:
        queue = tiered_queue(slots=4, long_prefill_share=0.25)
        for index, name in enumerate(("long1", "long2", "short")):
            tokens = 100 if name == "short" else 5000
            queue.offer(request(name, 0, index * 0.1, prompt_tokens=tokens), index * 0.1)
        first, second = queue.dequeue(0.0), queue.dequeue(0.0)
        self.assertEqual(["long1", "short"], [first.attempt.request, second.attempt.request])
        self.assertIsNone(queue.dequeue(0.0))
        queue.record_sent(first.attempt, 0.0)
        queue.record_first_token(first.attempt, 1.0)
        self.assertEqual("long2", queue.dequeue(1.0).attempt.request)


class DeadlineTest(unittest.TestCase):
    def busy_queue(self, seconds: float) -> TieredQueue:
        """Returns a queue whose only slot is busy, and that has observed such service times."""
        queue = tiered_queue(slots=1)
        for index in range(20):
            queue.offer(request(f"warm{index}", 1, 0.0), 0.0)
            req = queue.dequeue(0.0)
            queue.record_sent(req.attempt, 0.0)
            queue.release(req.attempt, seconds, 100, 100)
        queue.offer(request("busy", 1, 100.0), 100.0)
        queue.record_sent(queue.dequeue(100.0).attempt, 100.0)
        return queue

    def test_rejects_requests_that_cannot_finish_in_time(self) -> None:
        queue = self.busy_queue(seconds=10.0)
        queue.offer(request("first", 1, 100.0), 100.0)
        (rejection,) = queue.offer(request("tight", 1, 100.0, deadline=125.0), 100.0)
        self.assertIs(RefusalReason.DEADLINE_UNREACHABLE, rejection.reason)
        self.assertEqual([], queue.offer(request("loose", 1, 100.0, deadline=145.0), 100.0))

    def test_an_organisation_may_always_queue_one_request(self) -> None:
        queue = self.busy_queue(seconds=10.0)
        queue.offer(request("first", 1, 100.0, organisation="other"), 100.0)
        self.assertEqual([], queue.offer(request("tight", 1, 100.0, deadline=125.0), 100.0))

    def test_no_early_rejection_while_a_lower_tier_is_queued(self) -> None:
        queue = self.busy_queue(seconds=10.0)
        queue.offer(request("first", 1, 100.0), 100.0)
        queue.offer(request("lower", 2, 100.0), 100.0)
        self.assertEqual([], queue.offer(request("tight", 1, 100.0, deadline=125.0), 100.0))

    def test_incomplete_answers_do_not_change_service_time_estimates(self) -> None:
        queue = self.busy_queue(seconds=10.0)
        queue.set_slots(2)
        for index in range(200):
            queue.offer(request(f"cut{index}", 1, 100.0), 100.0)
            req = queue.dequeue(100.0)
            queue.record_sent(req.attempt, 100.0)
            queue.release(req.attempt, 100.0, 0, 0, completed=False)
        queue.set_slots(1)
        queue.offer(request("first", 1, 100.0), 100.0)
        self.assertEqual(1, len(queue.offer(request("tight", 1, 100.0, deadline=125.0), 100.0)))

    def test_wait_estimate_counts_only_requests_that_are_due_earlier(self) -> None:
        for target, refused in ((5.0, False), (500.0, True)):
            with self.subTest(target=target):
                queue = self.busy_queue(seconds=10.0)
                for index in range(3):
                    queue.offer(request(f"other{index}", 1, 100.0, class_name="other"), 100.0)
                changes = {"class_name": "tight", "first_token_target": target}
                queue.offer(request("first", 1, 100.0, **changes), 100.0)
                new_request = request("new", 1, 100.0, deadline=140.0, **changes)
                self.assertEqual(refused, bool(queue.offer(new_request, 100.0)))

    def test_requests_expire_once_too_little_time_is_left(self) -> None:
        queue = self.busy_queue(seconds=10.0)
        queue.offer(request("tight", 1, 100.0, deadline=130.0), 100.0)
        due = queue.next_expiry()
        self.assertTrue(110.0 < due < 120.0)
        self.assertEqual([], queue.expire(due - 0.1))
        (rejection,) = queue.expire(due)
        self.assertIs(RefusalReason.DEADLINE_UNREACHABLE, rejection.reason)
        self.assertIsNone(queue.next_expiry())


class RequestQueueTest(unittest.TestCase):
    def queues(self) -> list[RequestQueue]:
        settings = QueueSettings(slots=1, max_queued=3)
        return [TieredQueue.from_settings(settings), FifoQueue.from_settings(settings)]

    def test_cancelled_requests_and_those_of_withdrawn_keys_leave_the_queue(self) -> None:
        for queue in self.queues():
            with self.subTest(type(queue).__name__):
                for name, key in (("run", "a"), ("x", "a"), ("y", "b"), ("z", "b")):
                    queue.offer(request(name, 0, key_id=key, deadline=50.0), 0.0)
                    queue.dequeue(0.0)
                attempts = {name: AttemptId(name, 1, "entry") for name in ("run", "x", "y", "z")}
                self.assertFalse(queue.cancel(attempts["run"]))
                self.assertTrue(queue.cancel(attempts["x"]))
                rejection, _ = queue.reject_withdrawn_keys({"b"})
                self.assertIs(RefusalReason.KEY_WITHDRAWN, rejection.reason)
                self.assertFalse(queue.cancel(attempts["y"]))
                self.assertEqual((0, 1), (queue.load(0.0).queued, queue.load(0.0).running))
                self.assertAlmostEqual(0.0, queue.load(0.0).queued_cost)

    def test_slots_limit_dispatches_and_deadlines_expire(self) -> None:
        for queue in self.queues():
            with self.subTest(type(queue).__name__):
                queue.set_slots(2)
                for index in range(4):
                    queue.offer(request(f"r{index}", 0, deadline=10.0 + index), 0.0)
                    if index < 3:
                        queue.dequeue(0.0)
                self.assertIsNone(queue.dequeue(0.0))
                self.assertEqual(12.0, queue.next_expiry())
                reasons = [rejection.reason for rejection in queue.expire(13.0)]
                self.assertEqual([RefusalReason.DEADLINE_PASSED] * 2, reasons)


if __name__ == "__main__":
    unittest.main()
