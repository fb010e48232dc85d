import unittest
from pathlib import Path

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.keys import digest_secret
from bilberryplank_core.routing import CallerRequest, RequestClassifier, find_ambiguities
from bilberryplank_core.settings import (
    EntrySettings,
    OperatorSettings,
    SidecarSettings,
    read_settings,
)

ROOT = Path(__file__).resolve().parents[4]
EXAMPLES = {path.name: path for path in (ROOT / "examples").iterdir()}
SECRET = "bpk_examples"
HASH_SECRET = "hash-secret-of-the-tests"
MODEL = "/v1/chat/completions"
SIDECARS = {"rarangi": "sidecar-model-1", "maclarty": "sidecar-assistant-1"}


def read(user, name="configuration"):
    path = EXAMPLES[user] / f"{name}.jsonc"
    match name.partition("-")[0]:
        case "entry":
            return read_settings(EntrySettings, path)
        case "sidecar":
            return read_settings(SidecarSettings, path)
        case "operator":
            return read_settings(OperatorSettings, path)
    return Configuration.from_bytes(1, path.read_bytes())


def classify(user, use, method, path, model):
    document = read(user).to_document()
    organisation = document["organisations"][0]["name"]
    digest = digest_secret(SECRET, HASH_SECRET)
    key = {"key_id": "k", "organisation": organisation, "digest": digest, "labels": {"use": use}}
    configuration = Configuration.from_document(1, {**document, "keys": [key]})
    classifier = RequestClassifier(configuration, HASH_SECRET)
    req = CallerRequest(method, path, (), model)
    return classifier.classify(classifier.authenticate(SECRET), req)


class ExamplesTest(unittest.TestCase):
    def test_every_file_is_covered_here(self):
        for user, sidecar in SIDECARS.items():
            expected = {"configuration", "entry-a", "operator", sidecar}
            self.assertEqual({path.stem for path in EXAMPLES[user].iterdir()}, expected)
        self.assertEqual(EXAMPLES.keys(), SIDECARS.keys())

    def test_files_have_no_faults_and_fit_together(self):
        for user, name in SIDECARS.items():
            with self.subTest(user=user):
                configuration, entry = read(user), read(user, "entry-a")
                sidecar, operator = read(user, name), read(user, "operator")
                self.assertEqual(find_ambiguities(configuration.parts), [])
                upstream = configuration.upstreams[sidecar.upstream]
                self.assertEqual(upstream.address, sidecar.listen)
                self.assertEqual(upstream.kind, sidecar.upstream_kind)
                self.assertEqual(upstream.checks_fencing, sidecar.checks_fencing)
                zones = {item.zone for item in configuration.parts.upstreams}
                self.assertEqual(len(zones), 3)
                self.assertIn(entry.zone, zones)
                self.assertEqual(entry.fleet_key, sidecar.fleet_key)
                self.assertEqual(entry.platform, operator.platform)
                self.assertEqual(entry.key_hash_secret, operator.key_hash_secret)
                ports = {entry.operations_listen, sidecar.operations_listen}
                self.assertLessEqual(ports, set(operator.operations))

    def test_sizes_are_those_of_today(self):
        cases = {"rarangi": (10, {"engine": 6, "service": 3}), "maclarty": (10, {"engine": 9})}
        for user, (organisations, kinds) in cases.items():
            parts = read(user).parts
            self.assertEqual(len(parts.organisations), organisations)
            for kind, count in kinds.items():
                found = [item for item in parts.upstreams if item.kind.value == kind]
                self.assertEqual(len(found), count)

    def test_each_kind_of_work_gets_its_class(self):
        model, order = "trace-assistant", "order-assistant"
        cases = [
            ("rarangi", "courier", "POST", MODEL, model, "courier-reply", 0, 6),
            ("rarangi", "manifests", "POST", MODEL, model, "manifests", 1, 6),
            ("rarangi", "reconciliation", "POST", MODEL, model, "reconciliation", 2, 6),
            ("rarangi", "courier", "GET", "/trace/kits/7", None, "tracing", 0, 3),
            ("rarangi", "courier", "POST", "/trace/issue", None, "issue-record", 0, 3),
            ("maclarty", "delivery-note", "POST", MODEL, order, "delivery-note", 0, 9),
            ("maclarty", "consignment", "POST", MODEL, order, "consignment", 1, 9),
            ("maclarty", "reorder", "POST", MODEL, order, "full-history-reorder", 2, 9),
            ("maclarty", "till", "POST", "/orders/despatch", None, "despatch", 0, 3),
            ("maclarty", "till", "GET", "/stock/briquettes", None, "stock-lookup", 1, 3),
        ]
        for user, use, method, path, model_name, expected, rank, upstreams in cases:
            with self.subTest(user=user, expected=expected):
                classified = classify(user, use, method, path, model_name)
                self.assertEqual(classified.request_class.name, expected)
                self.assertEqual(classified.rank, rank)
                self.assertEqual(len(classified.upstreams), upstreams)
                once = expected in ("issue-record", "despatch")
                self.assertEqual(getattr(classified.route, "idempotent", True), not once)

    def test_a_key_without_a_use_gets_no_model_class(self):
        with self.assertRaises(Refused) as caught:
            classify("rarangi", "other", "POST", MODEL, "trace-assistant")
        self.assertIs(caught.exception.reason, RefusalReason.CLASS_UNKNOWN)
