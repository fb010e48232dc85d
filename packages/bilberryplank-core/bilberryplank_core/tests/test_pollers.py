import unittest
from random import Random

from bilberryplank_core.fleet import (
    ConfigurationHolder,
    ConfigurationStore,
    PollSchedule,
    is_poller,
    poll_configuration,
    ranked,
)
from bilberryplank_core.tests._memory_platform import MemoryTable
from bilberryplank_core.tests.test_configuration_store import DOCUMENT
from bilberryplank_core.world import Host, Role

ZONES = "abcde"
MEMBERS = [Host(f"h{n}", ZONES[n % 5], Role.SIDECAR, "10.0.0.1:1") for n in range(1040)]


class PollersTest(unittest.TestCase):
    def test_few_processes_of_each_zone_poll(self):
        for zone in ZONES:
            pollers = [m for m in MEMBERS if m.zone == zone and is_poller(m.name, zone, MEMBERS, 2)]
            self.assertEqual(len(pollers), 2)

    def test_a_leaving_member_changes_only_its_own_place_in_the_ranking(self):
        names = [member.name for member in MEMBERS]
        first = ranked("job", names, 3)
        names.remove(first[1])
        self.assertEqual([n for n in ranked("job", names, 3) if n in first], [first[0], first[2]])

    def test_a_fleet_cut_off_from_its_pollers_stays_within_the_read_budget(self):
        schedules = [PollSchedule(1.0, Random(number)) for number in range(1030)]
        reads = [0] * 60
        for tenth in range(600):
            now = tenth / 10
            reads[tenth // 10] += sum(s.due(now, False, 1040, now) for s in schedules)
        self.assertEqual(sum(reads[:6]), 0)
        self.assertLess(max(reads), 2.2 * 50)
        self.assertGreater(sum(reads[6:]), 0.5 * 50 * 54)

    def test_confirmed_processes_do_not_poll(self):
        schedule = PollSchedule(1.0, Random(1))
        self.assertFalse(any(schedule.due(now, False, 1040, 5.0) for now in range(100)))
        polled = sum(schedule.due(now / 10, True, 1040, 5.0) for now in range(1000, 2000))
        self.assertAlmostEqual(polled, 100, delta=20)


class PollConfigurationTest(unittest.IsolatedAsyncioTestCase):
    async def test_polls_apply_changes_and_confirm_the_version(self):
        table, times = MemoryTable(), iter(range(100))
        store = ConfigurationStore(table)
        holder = ConfigurationHolder(lambda: 50.0)
        await store.write(0, DOCUMENT)
        cases = [("join", 1, 0), ("nothing new", 1, 1), ("one change", 2, 2), ("behind", 2, 2)]
        for name, version, confirmed_at in cases:
            with self.subTest(name):
                if name == "one change":
                    table.freeze_reads()
                    await store.withdraw_key("k1")
                    table.thaw_reads()
                if name == "behind":
                    table.freeze_reads()
                    table._stale_rows["configuration", "current"].value["version"] = 1
                await poll_configuration(store, holder, lambda: float(next(times)))
                self.assertEqual(holder.version, version)
                self.assertEqual(holder.confirmed_age(100.0), 100.0 - confirmed_at)
        self.assertTrue(holder.configuration.keys["k1"].withdrawn)
