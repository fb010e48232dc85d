import random
import unittest
from dataclasses import replace

from bilberryplank_testing._engine_model import EngineModel, EngineOptions, Job
from bilberryplank_testing._engine_text import Prompt, answer_text, block_hashes
from bilberryplank_testing._lagging_load import LaggingLoad, LoadSample
from bilberryplank_testing._prefix_cache import PrefixCache

OPTS = EngineOptions(slots=2, kv_tokens=400, prefill_rate=1000.0, step_seconds=0.1, block_tokens=4)


def job(text="a" * 40, output=5, rank=0, start=0):
    body = {"model": "m", "prompt": text, "fake_output_tokens": output}
    return Job(Prompt.from_document(body), rank, start, lambda: None)


def run(model, until=1000):
    """Steps to the end; returns the seconds at which each job ended."""
    ends, now = {}, 0.0
    seen = [*model.waiting, *model.running]
    model.admit()
    for _ in range(until):
        duration = model.step_duration()
        now += duration
        model.step(duration, now)
        for item in seen:
            if item.ended:
                ends.setdefault(item, now)
        if not model.running and not model.waiting:
            break
    return ends


class EngineModelTest(unittest.TestCase):
    def test_better_ranks_are_admitted_first(self):
        model = EngineModel(replace(OPTS, slots=1))
        jobs = [job(rank=rank) for rank in (2, 1, 2, 0, 1)]
        for item in jobs:
            model.submit(item)
        ends = run(model)
        order = sorted(jobs, key=ends.get)
        self.assertEqual([item.rank for item in order], [0, 1, 1, 2, 2])

    def test_slots_and_memory_bound_the_batch(self):
        cases = [("slots", 20, 2), ("memory", 250, 1)]
        for name, output, expected in cases:
            with self.subTest(name):
                model = EngineModel(OPTS)
                for _ in range(3):
                    model.submit(job(output=output))
                model.admit()
                self.assertEqual(len(model.running), expected)
                self.assertLessEqual(model.kv_used, 1.0)

    def test_time_grows_with_prompt_batch_and_straggling(self):
        def seconds(texts, speed=1.0, output=5):
            model = EngineModel(OPTS)
            model.speed = speed
            jobs = [job(text, output) for text in texts]
            for item in jobs:
                model.submit(item)
            return max(run(model).values())

        alone = seconds(["a" * 40])
        self.assertAlmostEqual(alone, 6 * 0.1 * 1.25)
        self.assertGreater(seconds(["a" * 1400]), alone)
        self.assertGreater(seconds(["a" * 40, "b" * 40]), alone)
        self.assertAlmostEqual(seconds(["a" * 40], speed=0.1), alone * 10)

    def test_a_cached_prefix_skips_prefill(self):
        model = EngineModel(OPTS)
        first, again, other = job("a" * 80), job("a" * 80 + "b" * 8), job("c" * 80)
        for item in (first, again, other):
            model.submit(item)
            run(model)
        self.assertEqual([item.cached_tokens for item in (first, again, other)], [0, 20, 0])

    def test_a_resumed_answer_is_the_rest_of_the_same(self):
        model = EngineModel(OPTS)
        whole, rest = job(output=9), job(output=9, start=4)
        for item in (whole, rest):
            model.submit(item)
        run(model)
        self.assertEqual((whole.generated, rest.generated), (9, 5))
        text = whole.prompt.text
        self.assertEqual(answer_text(text, 4) + answer_text(text, 9, 4), answer_text(text, 9))

    def test_a_cancelled_job_frees_its_slot(self):
        model = EngineModel(OPTS)
        jobs = [job() for _ in range(3)]
        for item in jobs:
            model.submit(item)
        model.admit()
        model.cancel(jobs[0])
        model.admit()
        self.assertEqual(model.running, jobs[1:])
        model.cancel(jobs[0])
        self.assertTrue(jobs[0].cancelled)


class CacheAndLoadTest(unittest.TestCase):
    def test_events_are_late_and_have_gaps(self):
        cache = PrefixCache(4, 2.0, 0.3, random.Random(1))
        cache.store(block_hashes("x" * 640, 16), now=10.0)
        self.assertEqual(cache.events(0, 11.9), [])
        numbers = [event.number for event in cache.events(0, 12.0)]
        self.assertEqual(numbers, sorted(set(numbers)))
        self.assertLess(len(numbers), numbers[-1])
        self.assertEqual([event.number for event in cache.events(numbers[0], 12.0)], numbers[1:])

    def test_least_recently_used_blocks_go_first(self):
        cache = PrefixCache(2, 0.0, 0.0, random.Random(1))
        cache.store([1], 0.0)
        cache.store([2], 0.0)
        cache.match([1])
        cache.store([3], 0.0)
        self.assertEqual([cache.match([block]) for block in (1, 2, 3)], [1, 0, 1])

    def test_load_lags(self):
        load = LaggingLoad(1.0)
        load.note(LoadSample(10.0, 1, 0, 0.1))
        load.note(LoadSample(10.5, 2, 0, 0.2))
        for now, running in [(10.9, 0), (11.0, 1), (11.4, 1), (11.6, 2), (99.0, 2)]:
            with self.subTest(now=now):
                self.assertEqual(load.shown(now)[0].running, running)


if __name__ == "__main__":
    unittest.main()
