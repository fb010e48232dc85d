import itertools
import unittest
from contextlib import suppress

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import Conflict, PlatformUnavailable
from bilberryplank_core.fleet import ConfigurationHolder, ConfigurationStore, poll_configuration
from bilberryplank_core.tests._explore import (
    Process,
    StepTable,
    SystemModel,
    UncopiedTable,
    explore,
)
from bilberryplank_core.tests.test_configuration_store import DOCUMENT

FIRST = Configuration.from_document(1, DOCUMENT)


class ConfigurationModel(SystemModel):
    """One operator writes a document, another withdraws a key and a process polls."""

    remaining_ticks = 0
    remaining_faults = 2

    def __init__(self):
        super().__init__()
        self.ids = {}
        self.accepted = set()
        self.refused = set()
        self.versions = []
        self.change_ids = []
        self.table = self.first_table()
        self.history = [dict(self.table.rows)]
        self.holder = ConfigurationHolder(lambda: self.now)
        self.holder.accept(1, FIRST, 0.0)
        self.holder.subscribe(lambda accepted: self.versions.append(accepted.version))
        self.processes = [Process(self.apply), Process(self.withdraw), Process(self.poll)]

    @staticmethod
    def first_table():
        table = UncopiedTable()
        coroutine = ConfigurationStore(table, lambda: "id0").write(0, DOCUMENT)
        with suppress(StopIteration):
            coroutine.send(None)
        return table

    def store(self, operator):
        id_numbers = itertools.count()

        def make_id():
            self.change_ids.append(f"{operator}-{next(id_numbers)}")
            return self.change_ids[-1]

        return ConfigurationStore(StepTable(), make_id)

    async def apply(self, process):
        document = {**DOCUMENT, "limits": [{"name": "applied"}]}
        try:
            await self.store("apply").write(1, document)
            self.accepted.add("apply-0")
        except Conflict:
            self.refused.add("apply-0")
        except PlatformUnavailable:
            pass

    async def withdraw(self, process):
        store = self.store("withdraw")
        with suppress(PlatformUnavailable, Conflict):
            await store.withdraw_key("k1")
            self.accepted.add(
                [change_id for change_id in self.change_ids if change_id.startswith("withdraw")][-1]
            )

    async def poll(self, process):
        store = self.store("poll")
        while True:
            process.trace.clear()
            with suppress(PlatformUnavailable):
                await poll_configuration(store, self.holder, lambda: self.now)

    def state(self):
        return repr((sorted(self.accepted), sorted(self.refused), self.holder.version))

    def check(self):
        rows = {key: row.value for (_, key), row in self.table.rows.items()}
        ids = {key: row["change_id"] for key, row in rows.items() if key.startswith("change/")}
        assert ids.items() >= self.ids.items(), "an accepted version changed"
        self.ids = ids
        written = set(ids.values())
        assert self.accepted <= written, "an accepted change is missing"
        assert not self.refused & written, "a refused change was written"
        newest = f"change/{rows['current']['version']:012d}"
        assert rows["current"]["change_id"] == ids[newest], "the head row refers to another change"
        assert self.versions == sorted(set(self.versions)), "the version in force decreased"
        self.check_holder(ids)

    def check_holder(self, ids):
        change_ids = {
            ids[f"change/{version:012d}"] for version in range(1, self.holder.version + 1)
        }
        in_force = self.holder.configuration
        assert bool(in_force.parts.limits) == any(name.startswith("apply") for name in change_ids)
        withdrawn = any(name.startswith("withdraw") for name in change_ids)
        assert (
            in_force.keys["k1"].withdrawn == withdrawn
        ), "the configuration in force is not that of its version"


class ConfigurationInterleavingsTest(unittest.TestCase):
    def test_accepted_changes_persist_and_versions_never_decrease(self):
        self.assertGreater(explore(ConfigurationModel, 10), 1000)
