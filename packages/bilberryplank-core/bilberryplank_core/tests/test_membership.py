import unittest

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.fleet import Membership, MemberState
from bilberryplank_core.world import Host, HostState, Role

ADDRESS = "10.0.0.1:70"
LIVE, SUSPECT, LEAVING, GONE = MemberState


def configuration(draining=False, address=ADDRESS):
    upstream = {"name": "u1", "zone": "a", "kind": "engine", "address": address}
    return Configuration.from_document(1, {"upstreams": [{**upstream, "draining": draining}]})


def host_list(state):
    other = Host("h2", "a", Role.SIDECAR, "10.0.0.2:70")
    return [other] + ([Host("h1", "a", Role.SIDECAR, ADDRESS, state)] if state else [])


class MembershipTest(unittest.TestCase):
    """A step is its name, its argument and the expected state; steps are one second apart."""

    STEPS = {
        "hello": lambda m, epoch, now: m.record_handshake("u1", epoch, now),
        "said": lambda m, report, now: m.record_load_report("u1", *report, now),
        "listed": lambda m, state, now: m.apply_host_list(host_list(state)),
        "drain": lambda m, flag, now: m.apply_configuration(configuration(flag)),
        "moved": lambda m, address, now: m.apply_configuration(configuration(address=address)),
        "removed": lambda m, _argument, now: m.apply_configuration(Configuration()),
        "lost": lambda m, epoch, now: m.record_link_lost("u1", epoch),
        "wait": lambda m, seconds, now: None,
    }

    CASES = {
        "joins": [("wait", 0, SUSPECT), ("hello", "e1", LIVE), ("said", ("e1", False), LIVE)],
        "leaving report, then a late report": [
            ("hello", "e1", LIVE),
            ("said", ("e1", True), LEAVING),
            ("said", ("e1", False), LEAVING),
            ("hello", "e1", LEAVING),
            ("listed", HostState.LIVE, LEAVING),
        ],
        "rejoin after a leaving report": [
            ("hello", "e1", LIVE),
            ("said", ("e1", True), LEAVING),
            ("hello", "e2", LIVE),
            ("said", ("e1", True), LIVE),
            ("said", ("e2", False), LIVE),
        ],
        "listed as leaving, then a late list": [
            ("hello", "e1", LIVE),
            ("listed", HostState.LEAVING, LEAVING),
            ("listed", HostState.LIVE, LEAVING),
            ("said", ("e1", False), LEAVING),
            ("hello", "e2", LIVE),
        ],
        "rejoin while the host list lags": [
            ("hello", "e1", LIVE),
            ("listed", HostState.LEAVING, LEAVING),
            ("hello", "e2", LEAVING),
            ("listed", HostState.LEAVING, LEAVING),
            ("listed", HostState.LIVE, LEAVING),
            ("hello", "e3", LIVE),
        ],
        "listed as leaving before the first handshake": [
            ("listed", HostState.LEAVING, GONE),
            ("listed", HostState.LIVE, LEAVING),
            ("hello", "e1", LEAVING),
            ("hello", "e2", LIVE),
        ],
        "listed as leaving, removed and listed again": [
            ("listed", HostState.LEAVING, GONE),
            ("listed", None, GONE),
            ("listed", HostState.LIVE, SUSPECT),
            ("hello", "e1", LIVE),
        ],
        "drain is set and cleared": [
            ("hello", "e1", LIVE),
            ("drain", True, LEAVING),
            ("hello", "e2", LEAVING),
            ("drain", False, LIVE),
        ],
        "silence": [
            ("hello", "e1", LIVE),
            ("wait", 12, SUSPECT),
            ("said", ("e1", False), LIVE),
            ("listed", HostState.LIVE, LIVE),
            ("wait", 100, SUSPECT),
            ("listed", None, GONE),
            ("hello", "e2", LIVE),
        ],
        "silence of a leaving upstream": [
            ("hello", "e1", LIVE),
            ("listed", HostState.LEAVING, LEAVING),
            ("wait", 100, GONE),
        ],
        "silence without a host list": [("hello", "e1", LIVE), ("wait", 100, SUSPECT)],
        "link": [
            ("hello", "e1", LIVE),
            ("lost", "e0", LIVE),
            ("lost", "e1", SUSPECT),
            ("hello", "e1", LIVE),
        ],
        "removed": [("hello", "e1", LIVE), ("removed", None, GONE), ("hello", "e1", GONE)],
        "same name at another address": [
            ("hello", "e1", LIVE),
            ("said", ("e1", True), LEAVING),
            ("moved", "10.0.0.9:70", SUSPECT),
        ],
    }

    def test_the_state_follows_the_rules(self):
        for name, steps in self.CASES.items():
            membership = Membership()
            membership.apply_configuration(configuration())
            now = 0.0
            for number, (step, argument, state) in enumerate(steps):
                with self.subTest(name, number=number, step=step):
                    now += 1 + (argument if step == "wait" else 0)
                    self.STEPS[step](membership, argument, now)
                    self.assertIs(membership.state("u1", now), state)

    def test_live_hosts_are_the_hosts_listed_as_live(self):
        membership = Membership()
        membership.apply_host_list(host_list(HostState.LEAVING))
        self.assertEqual([host.name for host in membership.live_hosts], ["h2"])
