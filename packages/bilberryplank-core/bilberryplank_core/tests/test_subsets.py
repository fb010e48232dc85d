import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core.routing import choose_subset
from bilberryplank_core.world import Upstream, UpstreamKind

ZONES = "abcde"


def upstreams(count):
    return [
        Upstream(f"up-{index}", ZONES[index % 5], UpstreamKind.ENGINE, "127.0.0.1:1")
        for index in range(count)
    ]


def links(entries, targets, size):
    return {
        name: {item.name for item in choose_subset(name, targets, size, zone=zone, entries=entries)}
        for name, zone in entries.items()
    }


def entries(count):
    return {f"entry-{index}": ZONES[index % 5] for index in range(count)}


def changes(before, after):
    names = {*before, *after}
    return sum(len(before.get(name, set()) ^ after.get(name, set())) for name in names)


class SubsetTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.integers(1, 30), st.integers(1, 60), st.integers(1, 12))
    def test_every_upstream_has_links(self, entry_count, upstream_count, size):
        links_by_entry = links(entries(entry_count), upstreams(upstream_count), size)
        covered = Counter(name for names in links_by_entry.values() for name in names)
        self.assertEqual(len(covered), upstream_count)
        for names in links_by_entry.values():
            self.assertGreaterEqual(len(names), min(size, upstream_count) // 2)

    def test_removing_a_host_moves_few_links(self):
        all_entries, targets = entries(60), upstreams(120)
        before = links(all_entries, targets, 12)
        fewer = dict(list(all_entries.items())[1:])
        own = len(before["entry-0"])
        self.assertLessEqual(changes(before, links(fewer, targets, 12)), 3 * own)
        own = sum("up-0" in names for names in before.values())
        self.assertLessEqual(changes(before, links(all_entries, targets[1:], 12)), 3 * own)

    def test_most_links_stay_in_the_own_zone(self):
        for zone in ZONES:
            chosen = choose_subset("entry-x", upstreams(120), 12, zone=zone)
            near = sum(item.zone == zone for item in chosen)
            self.assertEqual((len(chosen), near), (12, 9))
