import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core.configuration import Configuration, ConfigurationParts
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.keys import digest_secret
from bilberryplank_core.routing import CallerRequest, RequestClassifier, find_ambiguities
from bilberryplank_core.world import (
    Key,
    ModelRoute,
    Organisation,
    RequestClass,
    ServiceRoute,
    ServiceTier,
    Upstream,
    UpstreamKind,
)

HASH_SECRET = "hash-secret-of-tests"
TIERS = (ServiceTier("gold", 0), ServiceTier("bulk", 2))


def key(key_id, organisation, withdrawn=False, **labels):
    digest = digest_secret(f"secret-{key_id}", HASH_SECRET)
    return Key(key_id, organisation, digest, labels, withdrawn)


def engine(name, models=("m",), **labels):
    return Upstream(name, "a", UpstreamKind.ENGINE, "127.0.0.1:1", labels, models)


def service(name, **labels):
    return Upstream(name, "a", UpstreamKind.SERVICE, "127.0.0.1:1", labels)


PARTS = ConfigurationParts(
    organisations=(Organisation("depot", {"kind": "field"}), Organisation("nightly")),
    keys=(
        key("d1", "depot"),
        key("n1", "nightly", use="batch"),
        key("w1", "nightly", withdrawn=True),
        key("o1", "nightly", kind="office"),
    ),
    tiers=TIERS,
    classes=(
        RequestClass("everyone", "gold"),
        RequestClass("batch", "bulk", organisations="use=batch"),
        RequestClass("field", "gold", organisations="kind=field", routes="use=chat"),
        RequestClass("field-bulk", "bulk", organisations="kind=field"),
    ),
    model_routes=(
        ModelRoute("chat", "m", "pool=x", {"use": "chat"}),
        ModelRoute("chat-office", "m", "pool=y", organisations="kind=office"),
        ModelRoute("closed", "secret-model", "", organisations="kind=field"),
    ),
    service_routes=(
        ServiceRoute("stock", "/stock", "app=stock"),
        ServiceRoute("despatch", "/stock/despatch", "app=stock", ("POST",), idempotent=False),
        ServiceRoute("field-only", "/stock/field", "", organisations="kind=field"),
    ),
    upstreams=(
        engine("e2", pool="x"),
        engine("e1", pool="x"),
        engine("other", ("other",), pool="x"),
        engine("y1", pool="y"),
        service("s1", app="stock"),
    ),
)


def classifier_of(parts=PARTS):
    return RequestClassifier(Configuration(1, parts), HASH_SECRET)


class AuthenticationTest(unittest.TestCase):
    def test_missing_unknown_and_withdrawn_keys_are_refused(self):
        cases = [
            (None, RefusalReason.KEY_MISSING),
            ("", RefusalReason.KEY_MISSING),
            ("secret-none", RefusalReason.KEY_UNKNOWN),
            ("secret-w1", RefusalReason.KEY_WITHDRAWN),
        ]
        for secret, reason in cases:
            with self.subTest(secret), self.assertRaises(Refused) as caught:
                classifier_of().authenticate(secret)
            self.assertEqual(caught.exception.reason, reason)
        self.assertEqual(classifier_of().authenticate("secret-d1").key_id, "d1")


class ClassificationTest(unittest.TestCase):
    def classify(self, key_id, path="/v1/chat/completions", model="m", method="POST", asked=None):
        classifier = classifier_of()
        headers = [("X-Request-Class", asked)] if asked else []
        req = CallerRequest(method, path, headers, model)
        return classifier.classify(classifier.configuration.keys[key_id], req)

    def test_class_route_and_upstreams_of_requests(self):
        cases = [
            ("most requirements win", "d1", {}, "field", "chat", ("e2", "e1")),
            ("key labels count", "n1", {}, "batch", "chat", ("e2", "e1")),
            ("lower tier on request", "d1", {"asked": "field-bulk"}, "field-bulk", "chat", None),
            ("route of the caller", "o1", {}, "everyone", "chat-office", ("y1",)),
            ("longest prefix", "d1", self.call("/stock/despatch/1"), None, "despatch", ("s1",)),
            ("method", "d1", self.call("/stock/despatch/1", "GET"), None, "stock", None),
            ("disguised", "d1", self.call("/stock/%64espatch"), None, "despatch", None),
            ("slashes", "d1", self.call("//stock//despatch"), None, "despatch", None),
        ]
        for name, key_id, options, class_name, route, upstreams in cases:
            with self.subTest(name):
                classified = self.classify(key_id, **options)
                self.assertEqual(classified.route.name, route)
                if class_name:
                    self.assertEqual(classified.request_class.name, class_name)
                if upstreams:
                    self.assertEqual(classified.upstreams, upstreams)

    def test_refusal_reasons(self):
        cases = [
            ("model", "d1", {"model": "none"}, RefusalReason.MODEL_UNKNOWN),
            ("path", "d1", self.call("/none"), RefusalReason.ROUTE_UNKNOWN),
            ("dots", "d1", self.call("/stock/%2e%2e/x"), RefusalReason.MALFORMED_REQUEST),
            ("closed model", "n1", {"model": "secret-model"}, RefusalReason.KEY_NOT_ALLOWED),
            ("no fallback", "n1", self.call("/stock/field/1"), RefusalReason.KEY_NOT_ALLOWED),
            ("higher tier", "n1", {"asked": "everyone"}, RefusalReason.CLASS_UNKNOWN),
            ("class of others", "n1", {"asked": "field"}, RefusalReason.CLASS_UNKNOWN),
        ]
        for name, key_id, options, reason in cases:
            with self.subTest(name), self.assertRaises(Refused) as caught:
                self.classify(key_id, **options)
            self.assertEqual(caught.exception.reason, reason)
            self.assertTrue(caught.exception.not_run)

    @settings(derandomize=True, deadline=None)
    @given(
        st.sampled_from(["d1", "n1", "o1"]),
        st.sampled_from(["everyone", "batch", "field", "field-bulk", "none"]),
    )
    def test_requesting_a_class_never_widens_access(self, key_id, asked):
        default = self.classify(key_id)
        try:
            classified = self.classify(key_id, asked=asked)
        except Refused:
            return
        self.assertEqual(classified.request_class.name, asked)
        self.assertGreaterEqual(classified.rank, default.rank)
        self.assertEqual(classified.upstreams, default.upstreams)
        self.assertEqual(classified.organisation, default.organisation)

    @staticmethod
    def call(path, method="POST"):
        return {"path": path, "method": method, "model": None}


class AmbiguityTest(unittest.TestCase):
    def fault_places(self, **parts):
        return [fault.place for fault in find_ambiguities(ConfigurationParts(**parts))]

    def test_ambiguous_classes_are_found(self):
        first = RequestClass("one", "gold", organisations="kind=a")
        cases = [
            ("same labels", RequestClass("two", "gold", organisations="use=b"), 1),
            ("exclusive", RequestClass("two", "gold", organisations="kind=b"), 0),
            ("missing", RequestClass("two", "gold", organisations="!kind"), 0),
            ("more requirements", RequestClass("two", "gold", organisations="kind=a,use"), 0),
            ("on routes", RequestClass("two", "gold", routes="use=b"), 1),
            ("always there", RequestClass("two", "gold", organisations="!organisation"), 0),
        ]
        for name, second, count in cases:
            with self.subTest(name):
                fault_places = self.fault_places(classes=(first, second))
                self.assertEqual(fault_places, ["configuration.classes[1]"] * count)

    def test_ambiguous_routes_are_found(self):
        cases = [
            ("same model", {"model_routes": (ModelRoute("a", "m", ""), ModelRoute("b", "m", ""))}),
            ("same path", self.services(("GET",), ("POST", "get"))),
            (
                "shared name",
                {**self.services((), ("GET",)), "model_routes": self.routes_named("a")},
            ),
        ]
        for name, parts in cases:
            with self.subTest(name):
                self.assertEqual(len(self.fault_places(**parts)), 1)
        self.assertEqual(self.fault_places(**self.services(("GET",), ("POST",))), [])

    @staticmethod
    def services(*methods):
        routes = [ServiceRoute(name, "/x", "", of) for name, of in zip("ab", methods, strict=True)]
        return {"service_routes": tuple(routes)}

    @staticmethod
    def routes_named(name):
        return (ModelRoute(name, "m", ""),)
