import random
import unittest

from bilberryplank._entry_parts import EntryParts
from bilberryplank._metrics import ProcessMetrics
from bilberryplank_core.routing import InformedChooser, RequestKind
from bilberryplank_core.world import Upstream, UpstreamKind

UPSTREAMS = [Upstream(name, "a", UpstreamKind.ENGINE, "127.0.0.1:1") for name in "abcdef"]
KIND = RequestKind(0, "reply")
COUNTER = b"bilberryplank_upstream_ejections_total"


class EntryPartsTest(unittest.TestCase):
    def ejections(self, metrics):
        lines = [line for line in metrics.render().splitlines() if line.startswith(COUNTER)]
        return float(lines[0].split()[-1])

    def test_a_straggler_is_counted_once_when_it_is_ejected(self):
        metrics = ProcessMetrics()
        chooser = InformedChooser(5.0, "a", random.Random(1))
        shared = dict.fromkeys(EntryParts.__slots__)
        parts = EntryParts(**{**shared, "chooser": chooser, "metrics": metrics})
        self.assertEqual(self.ejections(metrics), 0)
        for number in range(60):
            now = number * 0.1
            chooser.choose(UPSTREAMS, now, set())
            for upstream in UPSTREAMS:
                slow = upstream.name == "a"
                parts.judge(upstream.name, 3.0 if slow else 0.1, now, KIND)
        self.assertTrue(chooser.is_ejected("a"))
        self.assertEqual(self.ejections(metrics), 1)
