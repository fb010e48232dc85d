import unittest

from bilberryplank_core.configuration import Configuration
from bilberryplank_testing._slope_bench import configuration
from bilberryplank_testing._slope_fit import Point, Slope
from bilberryplank_testing._slope_platform import PlatformCounts
from bilberryplank_testing._slope_subsets import FLEETS, MODELS, fleet_links


class SlopeTest(unittest.TestCase):
    def test_fits_each_repeat(self):
        slope = Slope("links", "us", 1e6)
        for base, rise in ((0.001, 2e-6), (0.002, 3e-6), (0.002, 5e-6)):
            slope.repeats.append([Point(size, base + rise * size) for size in (10, 40, 120)])
        for found, expected in zip(slope.slopes, (2.0, 3.0, 5.0), strict=True):
            self.assertAlmostEqual(found, expected)
        self.assertAlmostEqual(slope.bases[0], 1000.0)
        self.assertTrue(slope.format().startswith("links: 2/3/5 us, base 1000/2000/2000"))

    def test_slope_per_many_scales_the_slope_only(self):
        slope = Slope("organisations", "MB", 1.0, 1000.0)
        slope.repeats.append([Point(size, 50 + 0.002 * size) for size in (100, 1000, 8600)])
        self.assertAlmostEqual(slope.slopes[0], 2.0)
        self.assertAlmostEqual(slope.bases[0], 50.0)


class BenchTest(unittest.TestCase):
    def test_configuration_is_valid(self):
        document = configuration(100, ["127.0.0.1:1", "127.0.0.1:2"])
        parts = Configuration.from_document(1, document).parts
        self.assertEqual((len(parts.organisations), len(parts.upstreams)), (100, 2))

    def test_counts_calls_of_the_platform(self):
        entries = [
            {"method": "GET", "service": "table"},
            {"method": "GET", "service": "hosts"},
            {"method": "POST", "service": "table"},
            {"method": "PUT", "service": "reports"},
        ]
        counts = PlatformCounts.of(entries, 2.0).by_kind
        self.assertEqual(counts, {"table reads": 0.5, "host list reads": 0.5, "writes": 1.0})


class SubsetsTest(unittest.TestCase):
    def test_links_stay_in_bounds_at_the_largest_size(self):
        links = fleet_links(*FLEETS[-1])
        self.assertLessEqual(max(links.by_entry), 12 * MODELS + 4)
        self.assertGreater(min(links.by_sidecar), 0)
        self.assertEqual(sum(links.by_entry), sum(links.by_sidecar))
