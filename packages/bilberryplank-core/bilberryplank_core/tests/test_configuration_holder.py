import json
import unittest

from bilberryplank_core.configuration import Configuration, ConfigurationParts
from bilberryplank_core.errors import ConfigurationInvalid
from bilberryplank_core.fleet import (
    ConfigurationDelta,
    ConfigurationHolder,
    ConfigurationStore,
    encode_update,
)
from bilberryplank_core.tests._memory_platform import MemoryTable
from bilberryplank_core.tests.test_configuration_store import DOCUMENT
from bilberryplank_core.world import Organisation

UPDATES_INVALID = [
    b"",
    b"[]",
    b"[" * 5000 + b"]" * 5000,
    b"{",
    b'{"version":"1","whole":true}',
    b'{"version":true,"whole":true}',
    b'{"version":1}',
    b'{"version":1,"whole":true}\n{"keys":{}}',
    b'{"version":1,"whole":false}\n{"to_version":1}',
]


def configuration(version):
    return Configuration.from_document(version, {**DOCUMENT, "limits": [{"name": f"l{version}"}]})


class PushedConfigurationChangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_writer_can_push_its_change_while_the_table_is_down(self):
        table = MemoryTable()
        store = ConfigurationStore(table)
        first = await store.write(0, DOCUMENT)
        holder = ConfigurationHolder(lambda: 100.0)
        holder.accept(1, first, 0.0)
        changed = await store.withdraw_key("k1")
        table.down = True
        update = encode_update(changed, [store.last_change])
        self.assertTrue(holder.accept_update(update, 0.0))
        self.assertTrue(holder.configuration.keys["k1"].withdrawn)
        joining = ConfigurationHolder(lambda: 100.0)
        self.assertFalse(joining.accept_update(update, 0.0))
        self.assertTrue(joining.accept_update(encode_update(changed, None), 0.0))
        self.assertEqual(joining.configuration, holder.configuration)


class ConfigurationHolderTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.holder = ConfigurationHolder(lambda: self.now)
        self.versions = []
        self.holder.subscribe(lambda accepted: self.versions.append(accepted.version))

    def test_the_version_never_decreases(self):
        for version in (3, 2, 3, 1, 5, 4):
            self.holder.accept(version, configuration(version), self.now)
        stale = ConfigurationDelta.between(configuration(2), configuration(3))
        self.assertFalse(self.holder.accept_delta(stale, self.now))
        down = ConfigurationDelta.between(configuration(5), configuration(4))
        self.assertFalse(self.holder.accept_delta(down, self.now))
        gap = ConfigurationDelta.between(configuration(6), configuration(7))
        self.assertFalse(self.holder.accept_delta(gap, self.now))
        self.assertEqual(self.versions, [3, 5])

    def test_only_a_message_with_the_same_version_confirms(self):
        self.assertEqual(self.holder.confirmed_age(self.now), float("inf"))
        self.holder.accept(2, configuration(2), 90.0)
        cases = [(1, 0.0, False, 10.0), (3, 0.0, True, 10.0), (2, 4.0, False, 4.0)]
        cases.append((2, 8.0, False, 4.0))
        for version, age, due, confirmed in cases:
            with self.subTest(version=version, age=age):
                self.assertEqual(self.holder.record_peer_version(version, age), due)
                self.assertEqual(self.holder.confirmed_age(self.now), confirmed)
        self.holder.accept(1, configuration(1), self.now)
        self.assertTrue(self.holder.is_stale(self.now, 3.0))
        self.assertFalse(self.holder.is_stale(self.now, 5.0))

    def test_peers_update_each_other(self):
        for version in range(1, 5):
            delta = ConfigurationDelta.between(self.holder.configuration, configuration(version))
            self.holder.accept_delta(delta, self.now)
        cases = {0: False, 2: False, 4: False, 7: True}
        for version, whole in cases.items():
            with self.subTest(version=version):
                peer = ConfigurationHolder(lambda: self.now)
                start = configuration(version) if version else Configuration()
                peer.accept(version, start, 0.0)
                update = self.holder.update_since(version)
                header = json.loads(update.partition(b"\n")[0])
                self.assertEqual(header, {"version": 4, "whole": whole})
                self.assertEqual(peer.accept_update(update, 1.0), version < 4)
                self.assertEqual(peer.version, max(4, version))
                if version <= 4:
                    self.assertEqual(peer.configuration, self.holder.configuration)
                    self.assertEqual(peer.confirmed_age(self.now), 1.0)

    def test_the_whole_document_is_sent_if_the_changes_are_not_kept(self):
        self.holder.accept(5, configuration(5), self.now)
        peer = ConfigurationHolder(lambda: self.now)
        self.assertTrue(peer.accept_update(self.holder.update_since(3), 0.0))
        self.assertEqual(peer.configuration, self.holder.configuration)

    def test_the_changes_kept_are_bounded_by_their_item_count(self):
        self.holder.accept(1, configuration(1), self.now)
        many = tuple(Organisation(f"o{number}") for number in range(1999))
        small = ConfigurationDelta(1, 2, ConfigurationParts(organisations=many[:5]))
        large = ConfigurationDelta(2, 3, ConfigurationParts(organisations=many))
        self.holder.accept_delta(small, self.now)
        self.assertIn(b'"whole":false', self.holder.update_since(1))
        self.holder.accept_delta(large, self.now)
        self.assertIn(b'"whole":true', self.holder.update_since(1))
        self.assertIn(b'"whole":false', self.holder.update_since(2))

    def test_invalid_updates_are_refused(self):
        for update in UPDATES_INVALID:
            with self.subTest(update[:60]), self.assertRaises(ConfigurationInvalid):
                self.holder.accept_update(update, 0.0)
