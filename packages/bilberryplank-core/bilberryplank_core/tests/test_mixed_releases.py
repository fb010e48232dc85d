"""Mixed releases: this release reads rows and documents that a newer release wrote."""

import copy
import json
import unittest

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.contracts import Put
from bilberryplank_core.errors import ConfigurationInvalid
from bilberryplank_core.fleet import (
    ChunkReader,
    ConfigurationDelta,
    ConfigurationHolder,
    ConfigurationStore,
)
from bilberryplank_core.tests._memory_platform import MemoryTable
from bilberryplank_core.tests.test_configuration_store import DOCUMENT
from bilberryplank_core.world import Key

NEWER_KIND = {"name": "u2", "zone": "a", "kind": "batch", "address": "10.0.0.2:1"}
AMBIGUOUS_CLASSES = [{"name": name, "tier": "gold"} for name in ("courier", "desk")]
CHANGE = {
    "from_version": 1,
    "to_version": 2,
    "upserts": {
        "limits": [{"name": "l", "in_flight": 3, "per_day": 9}],
        "upstreams": [{**DOCUMENT["upstreams"][0], "kind": "batch"}],
        "schedules": [{"name": "s"}],
    },
    "removals": {"schedules": ["t"]},
    "reason": "words",
}


def newer_document():
    document = copy.deepcopy(DOCUMENT)
    document["schedules"] = [{"name": "s"}]
    document["tiers"][0]["colour"] = "yellow"
    document["upstreams"].append(NEWER_KIND)
    return document


class ReadingTest(unittest.TestCase):
    def test_unknown_members_of_an_accepted_document_are_ignored(self):
        document = newer_document()
        with self.assertRaises(ConfigurationInvalid) as caught:
            Configuration.from_document(7, document)
        self.assertEqual(len(caught.exception.faults), 3)
        read = Configuration.from_document(7, document, strict=False)
        self.assertEqual(read.parts, Configuration.from_document(7, DOCUMENT).parts)
        self.assertEqual(read.ignored, 3)
        reparsed = Configuration.from_bytes(7, json.dumps(document).encode(), strict=False)
        self.assertEqual(reparsed, read)

    def test_a_checkpoint_of_a_newer_release_can_be_read(self):
        reader = ChunkReader()
        reader.add(newer_document())
        self.assertEqual(
            reader.build(7), Configuration.from_document(7, newer_document(), strict=False)
        )

    def test_faults_in_known_members_are_still_refused(self):
        cases = [
            {"tiers": [{"name": "gold", "rank": "0"}]},
            {"tiers": [{"rank": 0}]},
            {"tiers": [{"name": "gold", "rank": -1}]},
            {"upstreams": [{**NEWER_KIND, "kind": 7}]},
            {"limits": {}},
        ]
        for change in cases:
            with self.subTest(change=change), self.assertRaises(ConfigurationInvalid):
                Configuration.from_document(1, {**DOCUMENT, **change}, strict=False)

    def test_a_change_removes_an_item_whose_new_value_is_unknown(self):
        with self.assertRaises(ConfigurationInvalid):
            ConfigurationDelta.from_document(CHANGE)
        delta = ConfigurationDelta.from_document(CHANGE, strict=False)
        after = delta.apply(Configuration.from_document(1, DOCUMENT))
        self.assertEqual((after.upstreams, after.parts.limits[0].in_flight), ({}, 3))
        self.assertEqual(after.ignored, 4)

    def test_peers_receive_a_whole_change_and_never_a_partial_configuration(self):
        holder = ConfigurationHolder(lambda: 0.0)
        holder.accept(1, Configuration.from_document(1, DOCUMENT), 0.0)
        holder.accept_delta(ConfigurationDelta.from_document(CHANGE, strict=False), 0.0)
        _, change = holder.update_since(1).splitlines()
        self.assertEqual(json.loads(change), CHANGE)
        peer = ConfigurationHolder(lambda: 0.0)
        self.assertFalse(peer.accept_update(holder.update_since(0), 0.0))
        self.assertEqual(peer.version, 0)
        peer.accept(1, Configuration.from_document(1, DOCUMENT), 0.0)
        self.assertTrue(peer.accept_update(holder.update_since(1), 0.0))
        self.assertEqual(peer.configuration, holder.configuration)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.table = MemoryTable()
        self.store = ConfigurationStore(self.table)
        await self.store.write(0, DOCUMENT)

    async def write_as_newer_release(self, change):
        """Writes version 2 as a newer release would, with additional fields in each row."""
        head = await self.table.read("configuration", "current")
        value = {**head.value, "version": 2, "change_id": "new", "region": "north"}
        row = {"change_id": "new", "change": change, "author": "a"}
        writes = [
            Put("configuration", "current", value),
            Put("configuration", "change/000000000002", row),
        ]
        await self.table.commit([], writes)

    async def test_an_older_process_reads_but_refuses_to_write(self):
        await self.write_as_newer_release(CHANGE)
        read = await self.store.read()
        self.assertEqual((read.version, read.ignored), (2, 4))
        for write in (
            lambda: self.store.write(2, DOCUMENT),
            lambda: self.store.withdraw_key("k1"),
            lambda: self.store.create_key(Key("k2", "rarangi", "d2")),
        ):
            with self.assertRaises(ConfigurationInvalid) as caught:
                await write()
            self.assertIn("newer release", str(caught.exception))
        self.assertEqual(await self.store.read(), read)

    async def test_a_write_that_adds_an_ambiguity_is_refused(self):
        with self.assertRaises(ConfigurationInvalid) as caught:
            await self.store.write(1, {**DOCUMENT, "classes": AMBIGUOUS_CLASSES})
        self.assertIn("ambiguous", str(caught.exception))
        self.assertEqual((await self.store.read()).version, 1)

    async def test_a_key_can_be_withdrawn_despite_an_existing_ambiguity(self):
        change = {"from_version": 1, "to_version": 2, "upserts": {"classes": AMBIGUOUS_CLASSES}}
        await self.write_as_newer_release(change)
        self.assertTrue((await self.store.withdraw_key("k1")).keys["k1"].withdrawn)


if __name__ == "__main__":
    unittest.main()
