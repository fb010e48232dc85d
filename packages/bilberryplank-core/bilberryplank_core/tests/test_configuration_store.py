import json
import unittest
from dataclasses import replace

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import ConfigurationInvalid, Conflict, PlatformUnavailable
from bilberryplank_core.fleet import (
    ChunkReader,
    ConfigurationDelta,
    ConfigurationStore,
    iter_chunks,
)
from bilberryplank_core.tests._memory_platform import MemoryTable, TableFault
from bilberryplank_core.world import Key, Organisation

DOCUMENT = {
    "organisations": [{"name": "rarangi"}, {"name": "maclarty"}],
    "keys": [{"key_id": "k1", "organisation": "rarangi", "digest": "d1"}],
    "tiers": [{"name": "gold", "rank": 0}],
    "classes": [
        {"name": "courier", "tier": "gold"},
        {"name": "desk", "tier": "gold", "organisations": "organisation=rarangi"},
    ],
    "upstreams": [{"name": "u1", "zone": "a", "kind": "engine", "address": "10.0.0.1:1"}],
}


class ConfigurationStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.table = MemoryTable()
        self.store = ConfigurationStore(self.table)
        await self.store.write(0, DOCUMENT)

    async def test_the_second_write_to_the_same_version_conflicts(self):
        first, second = ConfigurationStore(self.table), ConfigurationStore(self.table)
        base = await first.read()
        await second.read()
        document = json.loads(base.to_bytes())
        await first.write(base.version, {**document, "limits": [{"name": "first"}]})
        with self.assertRaises(Conflict):
            await second.write(base.version, {**document, "limits": [{"name": "second"}]})
        current = await second.read()
        self.assertEqual([limit.name for limit in current.parts.limits], ["first"])

    async def test_a_rival_write_between_read_and_commit_conflicts(self):
        rival = ConfigurationStore(self.table)

        async def withdraw():
            await rival.withdraw_key("k1")

        base = await self.store.read()
        self.table.on_commit = withdraw
        with self.assertRaises(Conflict):
            await self.store.write(
                base.version, json.loads(base.to_bytes()) | {"limits": [{"name": "x"}]}
            )
        self.assertTrue((await self.store.read()).keys["k1"].withdrawn)

    async def test_edits_are_retried_after_a_conflict(self):
        rival = ConfigurationStore(self.table)

        async def drain():
            await rival.drain_upstream("u1")

        self.table.on_commit = drain
        await self.store.withdraw_key("k1")
        current = await rival.read()
        self.assertTrue(current.keys["k1"].withdrawn)
        self.assertTrue(current.upstreams["u1"].draining)
        self.assertEqual(current.version, 3)

    async def test_lost_responses_are_resolved_by_the_change_id(self):
        cases = {
            "after effect": [TableFault.LOST_ANSWER],
            "before effect": [TableFault.DOWN],
            "twice": [TableFault.LOST_ANSWER, TableFault.DOWN],
        }
        for name, faults in cases.items():
            with self.subTest(name):
                base = await self.store.read()
                document = json.loads(base.to_bytes()) | {"limits": [{"name": name}]}
                self.table.faults.extend(faults)
                written = await self.store.write(base.version, document)
                self.assertEqual(written.version, base.version + 1)
                self.assertEqual(await ConfigurationStore(self.table).read(), written)

    async def test_a_lost_response_to_a_losing_write_gives_a_conflict(self):
        base = await self.store.read()
        rival = ConfigurationStore(self.table)

        async def withdraw():
            await rival.withdraw_key("k1")

        self.table.on_commit = withdraw
        self.table.faults.extend([None, TableFault.LOST_ANSWER])
        with self.assertRaises(Conflict):
            await self.store.write(
                base.version, json.loads(base.to_bytes()) | {"limits": [{"name": "x"}]}
            )

    async def test_the_outcome_is_unknown_while_reads_are_stale(self):
        self.table.freeze_reads()
        self.table.faults.append(TableFault.LOST_ANSWER)
        with self.assertRaises(PlatformUnavailable):
            await self.store.withdraw_key("k1")

    async def test_invalid_changes_write_nothing(self):
        rows = dict(self.table.rows)
        cases = [
            lambda: self.store.write(1, {"keys": [{"key_id": "x"}]}),
            lambda: self.store.create_key(Key("k1", "rarangi", "other digest")),
            lambda: self.store.create_key(Key("k2", "nobody", "d2")),
            lambda: self.store.withdraw_key("none"),
            lambda: self.store.drain_upstream("none"),
        ]
        for case in cases:
            with self.assertRaises(ConfigurationInvalid):
                await case()
        self.assertEqual(self.table.rows, rows)

    async def test_following_changes_gives_the_same_configuration_as_joining(self):
        old = await self.store.read()
        for number in range(150):
            await self.store.create_key(Key(f"new{number}", "maclarty", f"d-{number}"))
        joined = await ConfigurationStore(self.table).read()
        self.assertEqual(joined, await self.store.read())
        self.assertIsNone(await self.store.read_since(old.version))
        with self.assertRaises(PlatformUnavailable):
            await self.store.read_since(joined.version + 1)
        for delta in await self.store.read_since(100):
            self.assertEqual(delta.from_version + 1, delta.to_version)
        checkpoints = [key for _, key in self.table.rows if key.startswith("checkpoint/")]
        self.assertEqual(len(checkpoints), 1)


class ConfigurationDeltaTest(unittest.TestCase):
    def test_a_delta_applied_gives_the_later_configuration(self):
        old = Configuration.from_document(4, DOCUMENT)
        parts = old.parts
        cases = {
            "nothing": parts,
            "changed": replace(parts, keys=(replace(parts.keys[0], withdrawn=True),)),
            "removed": replace(parts, organisations=parts.organisations[:1]),
            "added": replace(parts, keys=(*parts.keys, Key("k2", "maclarty", "d2"))),
            "reordered": replace(parts, classes=parts.classes[::-1]),
        }
        for name, later in cases.items():
            with self.subTest(name):
                new = Configuration(5, later)
                delta = ConfigurationDelta.between(old, new)
                read = ConfigurationDelta.from_document(delta.to_document())
                self.assertEqual(read.apply(old), new)
        with self.assertRaises(ConfigurationInvalid):
            ConfigurationDelta(3, 4).apply(old)


class ChunksTest(unittest.TestCase):
    def test_chunks_reassemble_to_the_same_configuration_and_share_labels(self):
        names = [f"o{number}" for number in range(700)]
        plans = [{"plan": "basic"}, {"plan": "large", "city": "north"}]
        organisations = [Organisation(name, dict(plans[i % 2])) for i, name in enumerate(names)]
        keys = [Key(f"k{name}", name, f"d{name}", dict(plans[0])) for name in names]
        document = Configuration.from_document(3, DOCUMENT).parts
        parts = replace(document, organisations=tuple(organisations), keys=tuple(keys))
        configuration = Configuration(3, parts)
        reader, sizes = ChunkReader(), []
        for chunk in iter_chunks(configuration):
            sizes.append(sum(len(items) for items in chunk.values()))
            reader.add(json.loads(json.dumps(chunk)))
        read = reader.build(3)
        self.assertEqual(read, configuration)
        self.assertEqual(sizes, [500, 500, 404])
        shared = {id(item.labels) for item in (*read.parts.organisations, *read.parts.keys)}
        self.assertEqual(len(shared), 2)
