import unittest

from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.idempotency import identify
from bilberryplank_core.world import ServiceRoute

ROUTE = ServiceRoute(
    "desk",
    "/orders",
    "pool=desk",
    idempotent=False,
    idempotency_header="Idempotency-Key",
    idempotency_pointer="/order/number",
)


def identity(organisation="acme", headers=(), body=b'{"order":{"number":"7"}}', path="/orders"):
    return identify(ROUTE, organisation, "POST", path, headers, body)


class IdentityTest(unittest.TestCase):
    def test_a_repeat_has_the_same_identity(self):
        self.assertEqual(identity(), identity())

    def test_organisation_header_and_number_change_the_key(self):
        first = identity()
        cases = {
            "organisation": identity(organisation="other"),
            "header": identity(headers=[("idempotency-key", "a")]),
            "number": identity(body=b'{"order":{"number":"8"}}'),
        }
        for name, other in cases.items():
            with self.subTest(name):
                self.assertNotEqual(first.key, other.key)

    def test_different_request_with_the_same_key_has_another_fingerprint(self):
        first = identity()
        for other in (identity(body=b'{"order":{"number":"7"},"n":1}'), identity(path="/orders/x")):
            self.assertEqual(first.key, other.key)
            self.assertNotEqual(first.fingerprint, other.fingerprint)

    def test_request_without_usable_identity_has_none(self):
        for body in (b"", b"{", b"[]", b'{"order":{}}', b'{"order":{"number":true}}'):
            with self.subTest(body=body):
                self.assertIsNone(identity(body=body))

    def test_an_oversized_identity_is_refused(self):
        with self.assertRaises(Refused) as caught:
            identity(headers=[("Idempotency-Key", "x" * 600)])
        self.assertIs(caught.exception.reason, RefusalReason.MALFORMED_REQUEST)
