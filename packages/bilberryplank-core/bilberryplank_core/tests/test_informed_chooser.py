import random
import unittest
from collections import Counter

from bilberryplank_core.messages import Load
from bilberryplank_core.routing import (
    InformedChooser,
    RequestKind,
    RoundRobinChooser,
    affinity_key,
)
from bilberryplank_core.settings import RoutingSettings
from bilberryplank_core.world import Upstream, UpstreamKind

ENGINE = UpstreamKind.ENGINE


def upstream(name, zone="a", draining=False):
    return Upstream(name, zone, ENGINE, "127.0.0.1:1", draining=draining)


NEAR = [upstream(f"a{index}") for index in range(3)]
FAR = [upstream(f"b{index}", "b") for index in range(3)]
ALL = NEAR + FAR
TOP = RequestKind(0, "top")
LOW = RequestKind(2, "low")


def load(queued=0, running=0, **more):
    cost = more.pop("cost", queued * 100.0)
    return Load(queued, running, 4, cost, drain_rate=200.0, **more)


def chooser(loads=None, now=0.0, zone="a"):
    subject = InformedChooser.from_settings(RoutingSettings(), zone, random.Random(1))
    for name, hint in (loads or {}).items():
        subject.record_load(name, hint, now)
    return subject


def counts(subject, candidates, now=0.1, draws=200, affinity=None, kind=TOP):
    chosen_counts = Counter()
    for _ in range(draws):
        chosen_counts[subject.choose(candidates, now, set(), affinity, kind=kind).name] += 1
    return chosen_counts


def answered_chooser():
    subject = chooser({item.name: load() for item in NEAR})
    counts(subject, NEAR, now=0.0)
    for name in ("a0", "a1", "a2") * 5:
        for kind in (TOP, LOW):
            subject.record_sent(name, 1, 0.0, kind)
            subject.record_outcome(name, 0.1, True, 0.1, kind)
            subject.record_end(name, 0.1, kind)
    return subject


class InformedChooserTest(unittest.TestCase):
    def test_own_zone_is_preferred_until_it_is_busy(self):
        idle = {item.name: load() for item in ALL}
        self.assertEqual(sum(counts(chooser(idle), ALL)[item.name] for item in FAR), 0)
        busy = {**idle, **{item.name: load(queued=9, running=4) for item in NEAR}}
        self.assertEqual(sum(counts(chooser(busy), ALL)[item.name] for item in NEAR), 0)

    def test_round_robin_among_the_less_loaded_half(self):
        loads = {"a0": load(), "a1": load(), "a2": load(queued=5, running=4)}
        chosen_counts = counts(chooser(loads), NEAR)
        self.assertEqual(chosen_counts["a2"], 0)
        self.assertEqual((chosen_counts["a0"], chosen_counts["a1"]), (100, 100))

    def test_own_requests_count_between_hints(self):
        subject = chooser({item.name: load() for item in NEAR})
        for item in NEAR[:2]:
            for _ in range(10):
                subject.record_sent(item.name, 100, 0.1)
        self.assertEqual(set(counts(subject, NEAR)), {"a2"})

    def test_upstreams_are_compared_with_their_own_pool(self):
        subject = chooser({item.name: load() for item in ALL})
        for step in range(30):
            for pool in (FAR, NEAR):
                subject.record_sent(subject.choose(pool, step, set()).name, 1, step)
            for item, seconds in ((NEAR[step % 3], 0.1), (FAR[step % 3], 3.0)):
                subject.record_outcome(item.name, seconds, True, step)
                subject.record_end(item.name, step)
        self.assertEqual([item.name for item in ALL if subject.is_ejected(item.name)], [])
        subject.record_sent("b0", 1, 30)
        subject.choose(NEAR, 32, set())
        self.assertFalse(subject.is_suspect("b0", 32))

    def test_an_old_hint_has_less_weight(self):
        loads = {"a0": load(queued=5, running=4), "a1": load(), "a2": load()}
        subject = chooser(loads)
        self.assertEqual(counts(subject, NEAR, now=0.1)["a0"], 0)
        self.assertGreater(counts(subject, NEAR, now=20.0)["a0"], 0)

    def test_upstream_with_an_overdue_first_token_gets_no_new_request(self):
        subject = chooser({item.name: load() for item in NEAR})
        subject.choose(NEAR, 0.0, set())
        for name in ("a0", "a1", "a2") * 5:
            subject.record_sent(name, 1, 0.0)
            subject.record_outcome(name, 0.1, True, 0.1)
            subject.record_end(name, 0.1)
        for sent, ended in ((2.0, subject.record_refused), (6.0, subject.record_end)):
            with self.subTest(ended.__name__):
                subject.record_sent("a0", 1, sent)
                self.assertEqual(counts(subject, NEAR, now=sent + 2)["a0"], 0)
                ended("a0", sent + 2)
                self.assertGreater(counts(subject, NEAR, now=sent + 2)["a0"], 0)

    def test_only_the_queue_of_the_same_and_higher_tiers_counts(self):
        bulk = load(queued=9, running=4, queued_by_rank=[0.0, 0.0, 900.0])
        top = load(queued=5, running=4, queued_by_rank=[500.0])
        cases = [(TOP, {"a0", "a1"}), (LOW, {"a2"})]
        for kind, expected in cases:
            with self.subTest(kind=kind):
                subject = chooser({"a0": bulk, "a1": bulk, "a2": top})
                self.assertEqual(set(counts(subject, NEAR, kind=kind)), expected)

    def test_own_requests_of_lower_tiers_count_for_lower_tiers_only(self):
        busy = load(running=4, queued_by_rank=[0.0])
        for kind, count in ((TOP, 100), (LOW, 0)):
            with self.subTest(kind=kind):
                subject = chooser({"a0": busy, "a1": busy})
                for _ in range(10):
                    subject.record_sent("a0", 100, 0.1, LOW)
                self.assertEqual(counts(subject, NEAR[:2], kind=kind)["a0"], count)

    def test_queued_request_is_not_overdue_before_it_begins(self):
        subject = answered_chooser()
        queue = load(queued=3, running=4, queued_by_rank=[0.0, 0.0, 300.0])
        subject.record_load("a0", queue, 1.0)
        subject.record_sent("a0", 1, 1.0, LOW)
        self.assertFalse(subject.is_suspect("a0", 9.0))
        subject.record_load("a0", load(running=4, queued_by_rank=[0.0, 0.0, 0.0]), 9.0)
        self.assertFalse(subject.is_suspect("a0", 9.5))
        self.assertTrue(subject.is_suspect("a0", 10.0))
        subject.record_outcome("a0", 0.1, True, 10.0, LOW)
        self.assertFalse(subject.is_suspect("a0", 10.0))

    def test_a_later_queue_does_not_excuse_a_request_that_has_begun(self):
        for confirmed in (False, True):
            with self.subTest(confirmed=confirmed):
                subject = answered_chooser()
                subject.record_sent("a0", 1, 1.5, LOW)
                if confirmed:
                    subject.record_load("a0", load(running=1, queued_by_rank=[0.0]), 2.0)
                queue = load(queued=3, running=4, queued_by_rank=[0.0, 0.0, 300.0])
                subject.record_load("a0", queue, 3.0)
                self.assertEqual(subject.is_suspect("a0", 3.0), confirmed)

    def test_end_without_a_token_removes_a_request_of_its_own_tier(self):
        subject = answered_chooser()
        subject.record_sent("a0", 1, 2.0, TOP)
        subject.record_sent("a0", 1, 3.5, LOW)
        subject.record_end("a0", 3.6, LOW)
        self.assertTrue(subject.is_suspect("a0", 3.7))
        subject.record_end("a0", 3.7, TOP)
        self.assertFalse(subject.is_suspect("a0", 3.7))

    def test_low_tier_request_at_an_idle_upstream_begins_when_sent(self):
        subject = answered_chooser()
        subject.record_load("a0", load(running=1, queued_by_rank=[0.0]), 1.5)
        subject.record_sent("a0", 1, 1.5, LOW)
        self.assertTrue(subject.is_suspect("a0", 3.0))

    def test_first_token_is_matched_to_the_oldest_request_of_its_tier(self):
        subject = answered_chooser()
        subject.record_sent("a0", 1, 2.0, TOP)
        subject.record_sent("a0", 1, 3.5, LOW)
        subject.record_outcome("a0", 0.1, True, 3.6, LOW)
        self.assertTrue(subject.is_suspect("a0", 3.7))
        subject.record_outcome("a0", 1.7, True, 3.7, TOP)
        self.assertFalse(subject.is_suspect("a0", 3.7))

    def test_leaving_draining_and_excluded_upstreams_are_not_chosen(self):
        loads = {"a0": load(leaving=True), "a1": load()}
        candidates = [NEAR[0], NEAR[1], upstream("a9", draining=True)]
        for subject in (chooser(loads), RoundRobinChooser()):
            with self.subTest(type(subject).__name__):
                subject.record_load("a0", load(leaving=True), 0.0)
                self.assertEqual(set(counts(subject, candidates)), {"a1"})
                self.assertIsNone(subject.choose(candidates, 0.1, {"a1"}))
                subject.record_link_lost("a0", 0.2)
                self.assertIsNone(subject.choose(candidates, 60.0, {"a1"}))

    def test_upstream_with_a_lost_link_is_the_last_resort_until_its_cooldown_ends(self):
        subject = chooser({item.name: load() for item in NEAR})
        subject.record_link_lost("a0", 0.0)
        self.assertEqual(counts(subject, NEAR)["a0"], 0)
        self.assertEqual(subject.choose([NEAR[0]], 0.1, set()).name, "a0")
        self.assertGreater(counts(subject, NEAR, now=1.0)["a0"], 0)

    def test_probes_are_requested_only_for_a_stale_pool(self):
        subject = chooser({item.name: load() for item in NEAR})
        subject.choose(NEAR, 0.1, set())
        self.assertIsNone(subject.upstream_to_probe(0.1))
        subject.choose(NEAR, 50.0, set())
        probed = {subject.upstream_to_probe(50.0) for _ in range(3)}
        self.assertEqual(probed, {"a0", "a1", "a2"})
        self.assertIsNone(subject.upstream_to_probe(50.0))

    def test_affinity_keeps_to_one_upstream_until_it_is_busy(self):
        key = affinity_key("org", b"prefix")
        subject = chooser({item.name: load() for item in ALL})
        chosen_counts = counts(subject, ALL, affinity=key)
        self.assertEqual(len(chosen_counts), 1)
        preferred = next(iter(chosen_counts))
        for name in chosen_counts:
            subject.record_sent(name, 1, 0.1)
        self.assertNotIn(preferred, counts(subject, ALL, affinity=key))
        subject.record_end(preferred, 0.1)
        subject.record_load(preferred, load(queued=3, running=4), 0.1)
        self.assertNotIn(preferred, counts(subject, ALL, affinity=key))
        self.assertNotEqual(key, affinity_key("other", b"prefix"))

    def test_stragglers_get_only_trial_requests(self):
        subject = chooser({item.name: load() for item in NEAR})
        for _ in NEAR:
            subject.choose(NEAR, 0.0, set())
        for step in range(10):
            for item in NEAR:
                seconds = 2.0 if item.name == "a0" else 0.2
                subject.record_outcome(item.name, seconds, True, step * 0.1)
        self.assertTrue(subject.is_ejected("a0"))
        self.assertEqual(counts(subject, NEAR, now=1.1)["a0"], 0)
        for item in NEAR:
            subject.record_load(item.name, load(), 7.0)
        top = subject.choose(NEAR, 7.0, set(), may_try_ejected=False)
        self.assertNotEqual(top.name, "a0")
        self.assertEqual(counts(subject, NEAR, now=7.0)["a0"], 1)
        subject.record_sent("a0", 1, 7.0)
        self.assertEqual(counts(subject, NEAR, now=9.0)["a0"], 0)
