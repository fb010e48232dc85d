import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core.configuration import Configuration, ConfigurationParts
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.routing import OrganisationLimits, divide_shares
from bilberryplank_core.world import Key, Limit, Organisation

KEY = Key("k", "org", "d")
OTHER = Key("o", "other", "e", {"plan": "small"})
LIMIT_ID = ("limit", "org")


def configuration_with(*limits):
    organisations = (Organisation("org"), Organisation("other"))
    return Configuration(1, ConfigurationParts(organisations, (KEY, OTHER), limits=limits))


def limits_of_entry(entries=1, **options):
    return OrganisationLimits(configuration_with(Limit("limit", **options)), entries)


def count_admitted(limits, seconds, rate, cost=0.0, actual=0.0, key=KEY):
    """Offers requests at a rate, each ended at once, and returns how many were admitted."""
    admitted = 0
    for index in range(int(seconds * rate)):
        try:
            admission = limits.admit(key, "c", cost, index / rate)
        except Refused:
            continue
        admitted += 1
        limits.settle(admission, actual)
    return admitted


class LimitsTest(unittest.TestCase):
    def test_admitted_rate_over_time_is_the_limit(self):
        cases = [
            ("requests", limits_of_entry(requests_per_second=5.0), 0, 0, 505),
            ("share of two", limits_of_entry(2, requests_per_second=5.0), 0, 0, 252),
            ("tokens", limits_of_entry(tokens_per_second=500.0), 100, 100, 505),
            ("underestimated", limits_of_entry(tokens_per_second=500.0), 10, 100, 505),
            ("overestimated", limits_of_entry(tokens_per_second=500.0), 1000, 100, 505),
            ("no limit for it", limits_of_entry(organisations="plan=small"), 0, 0, 2000),
            ("another class", limits_of_entry(classes=("x",), requests_per_second=1.0), 0, 0, 2000),
        ]
        for name, limits, cost, actual, expected in cases:
            with self.subTest(name):
                admitted = count_admitted(limits, 100, 20, cost, actual)
                self.assertAlmostEqual(admitted, expected, delta=expected * 0.02)

    def test_refusal_carries_the_time_to_retry(self):
        limits = limits_of_entry(requests_per_second=0.5)
        limits.admit(KEY, "c", 0, 0.0)
        with self.assertRaises(Refused) as caught:
            limits.admit(KEY, "c", 0, 0.5)
        refused = caught.exception
        self.assertEqual((refused.reason, refused.not_run), (RefusalReason.RATE_LIMITED, True))
        self.assertAlmostEqual(refused.retry_after, 1.5)
        limits.admit(KEY, "c", 0, 0.5 + refused.retry_after)

    def test_in_flight_limit_counts_each_settlement_once(self):
        limits = limits_of_entry(in_flight=2)
        first = limits.admit(KEY, "c", 0, 0.0)
        limits.admit(KEY, "c", 0, 0.0)
        limits.admit(OTHER, "c", 0, 0.0)
        with self.assertRaises(Refused):
            limits.admit(KEY, "c", 0, 0.0)
        for _ in range(3):
            limits.settle(first, 0)
        limits.admit(KEY, "c", 0, 0.0)
        with self.assertRaises(Refused):
            limits.admit(KEY, "c", 0, 0.0)

    def test_a_refusal_charges_no_other_limit(self):
        limits = OrganisationLimits(
            configuration_with(
                Limit("wide", requests_per_second=100.0), Limit("narrow", in_flight=1)
            )
        )
        limits.admit(KEY, "c", 0, 0.0)
        for _ in range(500):
            with self.assertRaises(Refused):
                limits.admit(KEY, "c", 0, 0.0)
        limits.set_configuration(configuration_with(Limit("wide", requests_per_second=100.0)), 0.0)
        self.assertEqual(count_admitted(limits, 1, 99), 99)

    def test_a_new_configuration_keeps_what_was_charged(self):
        limits = limits_of_entry(tokens_per_second=10.0)
        limits.settle(limits.admit(KEY, "c", 0, 0.0), 1000)
        limits.set_configuration(configuration_with(Limit("limit", tokens_per_second=20.0)), 0.0)
        with self.assertRaises(Refused) as caught:
            limits.admit(KEY, "c", 0, 0.0)
        self.assertAlmostEqual(caught.exception.retry_after, 49.55, delta=1)

    def test_shares_by_demand_let_one_busy_entry_use_the_limit(self):
        for weighted, low, high in ((False, 245, 265), (True, 450, 515)):
            with self.subTest(weighted=weighted):
                entries = [limits_of_entry(2, requests_per_second=5.0) for _ in range(2)]
                admitted = 0
                for step in range(2000):
                    now = step / 20
                    try:
                        entries[0].settle(entries[0].admit(KEY, "c", 0, now), 0)
                        admitted += 1
                    except Refused:
                        pass
                    if weighted and step % 100 == 0:
                        reports = {str(i): entry.demand(now) for i, entry in enumerate(entries)}
                        for index, shares in divide_shares(reports).items():
                            entries[int(index)].set_shares(shares, now)
                self.assertTrue(low <= admitted <= high, admitted)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(0, 1000), min_size=1, max_size=20))
    def test_shares_add_up_to_one(self, rates):
        shares = divide_shares({str(i): {LIMIT_ID: rate} for i, rate in enumerate(rates)})
        assigned_shares = [item[LIMIT_ID] for item in shares.values() if LIMIT_ID in item]
        if sum(rates) > 0:
            self.assertAlmostEqual(sum(assigned_shares), 1.0)
            self.assertGreater(min(assigned_shares), 0.0)
