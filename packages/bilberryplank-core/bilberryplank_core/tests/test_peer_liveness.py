import unittest

from bilberryplank_core._peer_liveness import ANY_PEER_HEARD_SECONDS, PEER_SILENCE_SECONDS
from bilberryplank_core.direct import NoticeInvalid, PeerLiveness, check_heartbeat, heartbeat_notice

LONG = PEER_SILENCE_SECONDS + 0.1


class PeerLivenessTest(unittest.TestCase):
    def test_an_entry_is_silent_only_while_others_send_notices(self):
        for heard_at, now, silent in (
            ({"a": 0.0, "b": LONG}, LONG, True),
            ({"b": LONG}, LONG, True),
            ({"a": 1.0, "b": LONG}, LONG, False),
            ({"b": 5.0}, 5.0, False),
            ({"a": 0.0}, LONG, False),
            ({"a": 0.0, "b": LONG}, LONG + ANY_PEER_HEARD_SECONDS + 0.1, False),
            ({}, LONG, False),
        ):
            with self.subTest(heard_at=heard_at, now=now):
                liveness = PeerLiveness(0.0)
                for address, at in heard_at.items():
                    liveness.record_heard(address, at)
                self.assertEqual(liveness.is_silent("a", now), silent)

    def test_removed_addresses_are_dropped(self):
        liveness = PeerLiveness(0.0)
        for number in range(9):
            liveness.record_heard(f"host:{number}", 1.0)
        liveness.retain({"host:3"})
        self.assertEqual(list(liveness._heard_at), ["host:3"])

    def test_other_datagrams_are_no_heartbeats(self):
        check_heartbeat("host:1", heartbeat_notice())
        with self.assertRaises(NoticeInvalid):
            check_heartbeat("host:1", b"\x92\x05\x01")
