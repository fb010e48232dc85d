import unittest
from random import Random

from bilberryplank_core.direct import (
    DirectConfiguration,
    DirectRoute,
    Freshness,
    FreshnessTracker,
    Organisation,
    RequestHead,
    RetryRule,
    RouteIndex,
    choose_service,
    engine_rank,
)
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.stepwise import finish


def route(name, prefix, authority="a.example", public=False, targets=(("s", 1),)):
    return DirectRoute(
        name, authority, prefix, RetryRule.SAFE, 1.0, 0.5, 0.0, 3, targets, 2, public
    )


class RouteIndexTest(unittest.TestCase):
    def setUp(self):
        self.routes = routes = (
            route("root", "/"),
            route("long", "/x/y/"),
            route("short", "/x/"),
            route("open", "/open/", public=True),
            route("elsewhere", "/", authority="b.example"),
        )
        owners = {"k1": Organisation("one"), "k2": Organisation("two", 0)}
        self.index = finish(RouteIndex.build(DirectConfiguration(7, routes, {}, owners)))

    def test_the_longest_prefix_of_the_authority_wins(self):
        cases = (
            ("a.example", "/x/y/z", "long"),
            ("a.example", "/x/yy", "short"),
            ("a.example", "/z", "root"),
            ("b.example", "/x/y/z", "elsewhere"),
        )
        for authority, path, name in cases:
            with self.subTest(path=path, authority=authority):
                classified = self.index.classify(authority, path, RequestHead("r", credential="k1"))
                self.assertEqual((classified.route.name, classified.version), (name, 7))

    # A request looked through all routes of its host.
    def test_any_path_finds_what_a_search_through_all_prefixes_would(self):
        rng = Random(5)
        paths = ["/" + "".join(rng.choices("ab/", k=rng.randrange(9))) for _ in range(400)]
        routes = [route(f"r{number}", path) for number, path in enumerate(paths[:60])]
        index = finish(RouteIndex.build(DirectConfiguration(7, tuple(routes), {}, None)))
        ordered = sorted(routes, key=lambda each: -len(each.prefix))
        for path in paths:
            wanted = next((each for each in ordered if path.startswith(each.prefix)), None)
            with self.subTest(path=path):
                if wanted is None:
                    with self.assertRaises(Refused):
                        index.classify("a.example", path, RequestHead("r"))
                else:
                    found = index.classify("a.example", path, RequestHead("r"))
                    self.assertIs(found.route, wanted)

    def test_the_organisation_s_rank_takes_precedence_over_the_route_s(self):
        urgencies = [
            self.index.classify("a.example", "/", RequestHead("r", credential=key)).urgency
            for key in ("k1", "k2")
        ]
        self.assertEqual(urgencies, [(3, 3), (0, 3)])
        least = [self.index.is_least_urgent("s", urgency) for urgency in urgencies]
        # The only rank of an organisation is 0; one without a rank has its route's.
        self.assertEqual(least, [True, True])

    def test_only_the_lowest_priority_of_a_service_is_least_urgent(self):
        owners = {"k1": Organisation("one", 2), "k2": Organisation("two", 0)}
        index = finish(RouteIndex.build(DirectConfiguration(7, self.routes, {}, owners)))
        cases = (((2, 3), True), ((2, 2), False), ((0, 3), False))
        for urgency, least in cases:
            self.assertEqual(index.is_least_urgent("s", urgency), least)

    def test_engine_ranks_preserve_the_order_of_urgency(self):
        urgencies = [(organisation, route) for organisation in range(3) for route in range(3)]
        ranks = [engine_rank(urgency) for urgency in urgencies]
        self.assertEqual(ranks, sorted(set(ranks)))
        self.assertLess(max(ranks), 10)

    def test_unknown_routes_and_keys_are_refused(self):
        cases = (
            ("c.example", "/", "k1", RefusalReason.ROUTE_UNKNOWN),
            ("a.example", "/", "k3", RefusalReason.KEY_UNKNOWN),
            ("a.example", "/", None, RefusalReason.KEY_MISSING),
        )
        for authority, path, key, reason in cases:
            with self.subTest(reason=reason), self.assertRaises(Refused) as caught:
                self.index.classify(authority, path, RequestHead("r", credential=key))
            self.assertIs(caught.exception.reason, reason)

    def test_a_public_route_needs_no_key_but_recognises_one(self):
        for key, organisation in ((None, None), ("k1", "one")):
            classified = self.index.classify(
                "a.example", "/open/", RequestHead("r", credential=key)
            )
            self.assertEqual(classified.organisation, organisation)

    def test_services_are_drawn_by_the_weights_of_targets(self):
        split = route("w", "/", targets=(("s", 90), ("t", 10)))
        rng = Random(1)
        services = [choose_service(split, rng) for _ in range(2000)]
        self.assertAlmostEqual(services.count("t") / 2000, 0.1, delta=0.03)


class FreshnessTrackerTest(unittest.TestCase):
    def test_freshness_depends_on_the_age_of_the_last_confirmation(self):
        freshness_tracker = FreshnessTracker(2.0, 4.5)
        self.assertIs(freshness_tracker.freshness(0.0), Freshness.STALE)
        freshness_tracker.confirm(10.0)
        freshness_tracker.confirm(9.0)
        cases = (
            (12.0, Freshness.CONFIRMED),
            (12.1, Freshness.UNCONFIRMED),
            (14.5, Freshness.UNCONFIRMED),
            (14.6, Freshness.STALE),
        )
        for now, freshness in cases:
            with self.subTest(now=now):
                self.assertIs(freshness_tracker.freshness(now), freshness)

    def test_without_a_limit_the_configuration_never_becomes_stale(self):
        freshness_tracker = FreshnessTracker(2.0, None)
        freshness_tracker.confirm(0.0)
        self.assertIs(freshness_tracker.freshness(1e6), Freshness.UNCONFIRMED)

    def test_a_store_with_an_older_configuration_confirms_nothing(self):
        freshness_tracker = FreshnessTracker(2.0, 4.5)
        freshness_tracker.confirm(10.0)
        freshness_tracker.set_behind(True)
        freshness_tracker.confirm(14.0)
        self.assertEqual(freshness_tracker.age(15.0), 5.0)
        freshness_tracker.set_behind(False)
        freshness_tracker.confirm(14.5)
        self.assertEqual(freshness_tracker.age(15.0), 0.5)

    def test_a_store_that_may_be_behind_confirms_nothing_for_a_while(self):
        freshness_tracker = FreshnessTracker(2.0, 4.5)
        freshness_tracker.doubt_until(12.0)
        freshness_tracker.confirm(11.9)
        self.assertIs(freshness_tracker.freshness(11.9), Freshness.STALE)
        self.assertEqual(freshness_tracker.doubt_left(11.0), 1.0)
        freshness_tracker.confirm(12.0)
        self.assertIs(freshness_tracker.freshness(12.0), Freshness.CONFIRMED)
