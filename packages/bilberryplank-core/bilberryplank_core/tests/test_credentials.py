import base64
import unittest
from urllib.parse import quote

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.routing import extract_credentials

SECRET = "bpk_Zq+9/x=secret"
BASIC = base64.b64encode(f"user:{SECRET}".encode()).decode()
KEY_LOCATIONS = {
    "bearer": ([("Authorization", f"Bearer {SECRET}")], ""),
    "lower case": ([("authorization", f"bearer  {SECRET} ")], ""),
    "basic": ([("Authorization", f"Basic {BASIC}")], ""),
    "x-api-key": ([("X-Api-Key", SECRET)], ""),
    "api-key": ([("api-key", SECRET)], ""),
    "query": ([], f"api_key={quote(SECRET, safe='')}"),
    "query in capitals": ([], f"API_KEY={quote(SECRET, safe='')}"),
    "query name encoded": ([], f"%61pi_key={quote(SECRET, safe='')}"),
    "common name": ([], f"key={quote(SECRET, safe='')}"),
    "common name encoded": ([], f"%6bey={quote(SECRET, safe='')}"),
    "cookie": ([("Cookie", f"a=1; api_key={quote(SECRET, safe='')}; b=2")], ""),
}
LEAKING_HEADERS = {
    "referer": ("Referer", f"http://x/?q={SECRET}"),
    "encoded": ("X-Note", quote(SECRET, safe="")),
    "base64": ("X-Note", base64.b64encode(SECRET.encode()).decode()),
    "in the name": (f"X-{SECRET}", "1"),
}


def forwarded_text(credentials):
    parts = [credentials.path, *(part for pair in credentials.headers for part in pair)]
    return "\n".join(parts)


class CredentialsTest(unittest.TestCase):
    def assert_clean(self, credentials):
        text = forwarded_text(credentials)
        for form in (SECRET, quote(SECRET, safe=""), BASIC, quote(SECRET, safe="").lower()):
            self.assertNotIn(form, text)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        st.lists(st.sampled_from(sorted(KEY_LOCATIONS)), min_size=1, unique=True),
        st.lists(st.sampled_from(sorted(LEAKING_HEADERS)), unique=True),
    )
    def test_the_key_is_extracted_from_every_location_and_not_forwarded(self, locations, leaks):
        headers = [("Content-Type", "application/json")]
        queries = ["q=1"]
        for location in locations:
            headers += KEY_LOCATIONS[location][0]
            queries += [KEY_LOCATIONS[location][1]] if KEY_LOCATIONS[location][1] else []
        headers += [LEAKING_HEADERS[leak] for leak in leaks]
        credentials = extract_credentials(headers, "/stock?" + "&".join(queries))
        self.assertEqual(credentials.secret, SECRET)
        self.assert_clean(credentials)
        self.assertEqual(credentials.path, "/stock?q=1")
        self.assertIn(("Content-Type", "application/json"), credentials.headers)

    def test_ambiguous_parameters_of_services_are_forwarded(self):
        bearer = [("Authorization", f"Bearer {SECRET}"), ("Cookie", "token=t1")]
        credentials = extract_credentials(bearer, "/stock?key=SKU-1&x=2")
        self.assertEqual((credentials.secret, credentials.path), (SECRET, "/stock?key=SKU-1&x=2"))
        self.assertIn(("Cookie", "token=t1"), credentials.headers)
        credentials = extract_credentials([], "/stock?key=SKU-1&x=2")
        self.assertEqual((credentials.secret, credentials.path), ("SKU-1", "/stock?x=2"))
        credentials = extract_credentials([], "/stock?key=SKU-1&token=bpk_own")
        self.assertEqual((credentials.secret, credentials.path), ("bpk_own", "/stock?key=SKU-1"))
        with self.assertRaises(Refused):
            extract_credentials(bearer, "/stock?key=bpk_of-another")

    def test_other_cookies_are_forwarded(self):
        credentials = extract_credentials(*[KEY_LOCATIONS["cookie"][0], "/"])
        self.assertEqual(credentials.headers, [("Cookie", "a=1; b=2")])

    def test_forged_and_hop_by_hop_headers_are_dropped(self):
        names = [
            "X-Organisation", "x-organisation-id", "X_Organisation", "X-Bilberryplank-Class",
            "X-Priority", "X-Request-Id", "X-Resume-Tokens", "X-Label-Tier", "Connection",
            "Transfer-Encoding", "Content-Length", "Host", "Upgrade", "X-Hop",
        ]  # fmt: skip
        headers = [(name, "X-Hop, Content-Type") for name in names] + [("Content-Type", "a/b")]
        credentials = extract_credentials(headers, "/")
        self.assertEqual(credentials.headers, [("Content-Type", "a/b")])
        self.assertIsNone(credentials.secret)

    def test_ambiguous_or_malformed_credentials_are_refused(self):
        cases = {
            "two keys": ([("X-Api-Key", "bpk_one"), ("Authorization", "Bearer bpk_two")], "/"),
            "in the path": ([("X-Api-Key", SECRET)], f"/stock/{quote(SECRET, safe='')}"),
            "broken basic": ([("Authorization", "Basic ???")], "/"),
            "unknown scheme": ([("Authorization", "Digest a=b")], "/"),
        }
        for name, arguments in cases.items():
            with self.subTest(name), self.assertRaises(Refused) as raised:
                extract_credentials(*arguments)
            self.assertEqual(raised.exception.reason, RefusalReason.MALFORMED_REQUEST)
