import copy
import unittest

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import ConfigurationInvalid
from bilberryplank_core.keys import digest_secret, generate_secret

DOCUMENT = {
    "organisations": [{"name": "org-a", "labels": {"size": "large"}}, {"name": "org-b"}],
    "keys": [{"key_id": "k1", "organisation": "org-a", "digest": "d1", "labels": {"size": "till"}}],
    "tiers": [{"name": "gold", "rank": 0}, {"name": "bronze", "rank": 2}],
    "classes": [{"name": "reply", "tier": "gold"}, {"name": "batch", "tier": "bronze"}],
    "limits": [{"name": "cap", "classes": ["reply"], "in_flight": 4}],
    "model_routes": [{"name": "model", "model": "m", "upstreams": "kind=engine"}],
    "service_routes": [{"name": "stock", "path_prefix": "/stock", "upstreams": "kind=service"}],
    "upstreams": [{"name": "m1", "zone": "a", "kind": "engine", "address": "10.0.0.1:9"}],
}


def changed(part, index, **values):
    document = copy.deepcopy(DOCUMENT)
    document[part][index].update(values)
    return document


def added(part, **values):
    document = copy.deepcopy(DOCUMENT)
    document[part].append(values)
    return document


class ConfigurationTest(unittest.TestCase):
    def faults(self, document):
        with self.assertRaises(ConfigurationInvalid) as caught:
            Configuration.from_document(1, document)
        return [str(fault) for fault in caught.exception.faults]

    def test_a_document_round_trips_through_its_bytes(self):
        configuration = Configuration.from_document(7, DOCUMENT)
        reparsed = Configuration.from_bytes(7, configuration.to_bytes())
        self.assertEqual(reparsed, configuration)
        self.assertEqual(Configuration.from_document(7, reparsed.to_document()), configuration)
        self.assertEqual(configuration.rank("batch"), 2)
        key = configuration.keys_by_digest["d1"]
        expected = {"size": "till", "organisation": "org-a"}
        self.assertEqual(configuration.caller_labels(key), expected)

    def test_each_fault_is_reported_with_its_path(self):
        secret = generate_secret()
        cases = [
            (changed("organisations", 0, name="org a"), "organisations[0].name: is 'org a'"),
            (changed("organisations", 0, weight=0), "organisations[0].weight: is 0.0"),
            (changed("organisations", 0, labels={"a": "b c"}), "organisations[0].labels: 'a' is"),
            (changed("keys", 0, labels={"organisation": "org-b"}), "keys[0].labels: 'organisation"),
            (changed("upstreams", 0, labels={"zone": "b"}), "upstreams[0].labels: 'zone' is set"),
            (changed("model_routes", 0, labels={"route": "b"}), "model_routes[0].labels: 'route'"),
            (changed("keys", 0, organisation="org-z"), "keys[0].organisation: no organisation"),
            (changed("keys", 0, digest=secret), "keys[0].digest: is a key itself"),
            (added("keys", key_id="k2", organisation="org-b", digest="d1"), "keys[1]: second 'd1'"),
            (added("keys", key_id="k1", organisation="org-b", digest="d2"), "keys[1]: second 'k1'"),
            (added("organisations", name="org-a"), "organisations[2]: second 'org-a'"),
            (changed("tiers", 0, rank=-1), "tiers[0].rank: is -1"),
            (changed("classes", 0, tier="lead"), "classes[0].tier: no tier 'lead'"),
            (changed("classes", 0, deadline=0), "classes[0].deadline: is 0.0"),
            (changed("classes", 0, floor_share=1.1), "classes[0].floor_share: is 1.1"),
            (changed("classes", 0, floor_share=1), "classes: floor_share adds up to 1.05"),
            (changed("classes", 0, organisations="size="), "classes[0].organisations: not a req"),
            (changed("limits", 0, classes=["x"]), "limits[0].classes: no class 'x'"),
            (changed("limits", 0, in_flight=0), "limits[0].in_flight: is 0"),
            (changed("model_routes", 0, upstreams="("), "model_routes[0].upstreams: not a req"),
            (changed("model_routes", 0, model=""), "model_routes[0].model: is empty"),
            (changed("service_routes", 0, path_prefix="x"), "service_routes[0].path_prefix: is"),
            (changed("service_routes", 0, path_prefix="/v1/x"), "service_routes[0].path_prefix: b"),
            (changed("service_routes", 0, methods=["get"]), "service_routes[0].methods: is"),
            (
                changed("service_routes", 0, idempotency_pointer="id"),
                "service_routes[0].idempotency_pointer: is 'id'",
            ),
            (changed("upstreams", 0, address="host:1"), "upstreams[0].address: is 'host:1'"),
            (changed("upstreams", 0, zone=""), "upstreams[0].zone: is ''"),
            (changed("upstreams", 0, cost_per_hour=-1), "upstreams[0].cost_per_hour: is -1.0"),
        ]
        for document, expected in cases:
            with self.subTest(expected=expected):
                (fault,) = self.faults(document)
                self.assertTrue(fault.startswith("configuration." + expected), fault)

    def test_a_secret_key_in_the_document_is_not_shown_in_the_fault(self):
        (fault,) = self.faults(changed("keys", 0, digest="bpk_hidden"))
        self.assertNotIn("hidden", fault)

    def test_invalid_bytes_raise_configuration_invalid(self):
        for data in (b"", b"\xff", b"[]", b'{"tiers": [], "tiers": []}', b'{"tiers": [NaN]}'):
            with self.subTest(data=data), self.assertRaises(ConfigurationInvalid):
                Configuration.from_bytes(1, data)

    def test_digests_depend_on_key_and_secret(self):
        first, second = generate_secret(), generate_secret()
        digests = {digest_secret(key, salt) for key in (first, second) for salt in ("s", "t")}
        self.assertEqual(len(digests), 4)
