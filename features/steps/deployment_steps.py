import asyncio
import json
import signal

import parse
from behave import given, register_type, then, when

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import Conflict
from bilberryplank_testing.deployment import UpstreamSpec, WireState


@parse.with_pattern(r"[\w-]+")
def parse_name(text):
    return text


@parse.with_pattern(r"\{.*\}")
def parse_text(text):
    return text


@parse.with_pattern(r"down|losing answers|well")
def parse_words(text):
    return text


@parse.with_pattern(r"table|objects|orders|reports|hosts")
def parse_service(text):
    return text


@parse.with_pattern(r"entry-\d+")
def parse_entry(text):
    return text


register_type(Service=parse_service, Entry=parse_entry)
register_type(Name=parse_name, Text=parse_text, Words=parse_words)

STEP = ["--step-seconds", "0.01", "--prefill-rate", "50000"]
POOLS = {"engine": "model"}


@given("a deployment with {entries:d} entry")
@given("a deployment with {entries:d} entries")
def step_deployment(context, entries):
    upstreams = []
    for row in context.table:
        kind = row["kind"]
        pool = row["pool"] if "pool" in context.table.headings else POOLS.get(kind, row["name"])
        options = [*STEP] if kind == "engine" else []
        slots = int(row.get("slots") or 4)
        if kind == "engine":
            options += ["--slots", str(slots)]
        if "options" in context.table.headings and row["options"]:
            options += row["options"].split()
        queue = {"slots": slots}
        if row.get("queue"):
            queue["max_queued"] = int(row["queue"])
        models = ("courier-small", "assistant", "reconcile-large") if kind == "engine" else ()
        labels = {"pool": pool}
        upstreams.append(UpstreamSpec(row["name"], kind, "zone-a", labels, models, options, queue))
    settings = json.loads(context.text) if context.text else {}
    context.world.start(upstreams, entries, **settings)


def child_of(world, name):
    deployment = world.deployment
    for group in (deployment.entries, deployment.fakes):
        if name in group:
            return group[name]
    return deployment.sidecars[name.removeprefix("sidecar-")]


@when("{name:Name} is killed")
def step_kill(context, name):
    if name in context.world.deployment.fakes:
        context.world.runs(name)
    context.world.run(child_of(context.world, name).kill())


@when("{name:Name} is frozen")
def step_freeze(context, name):
    child_of(context.world, name).freeze()


@when("{name:Name} is thawed")
def step_thaw(context, name):
    child_of(context.world, name).thaw()


@when("{name:Name} is asked to stop")
def step_ask_to_stop(context, name):
    child_of(context.world, name).signal(signal.SIGTERM)


@when("{name:Name} is restarted")
def step_restart(context, name):
    context.world.run(context.world.deployment.restart(child_of(context.world, name)))


@then("{name:Name} is still running")
def step_still_running(context, name):
    assert child_of(context.world, name).running


@then("{name:Name} exits with {code:d}")
def step_exits(context, name, code):
    assert context.world.run(child_of(context.world, name).wait()) == code


@when("the wire to {name:Name} is {state:Name}")
def step_wire(context, name, state):
    wire = context.world.deployment.wires[name]

    async def change():
        wire.set(WireState(state))

    context.world.run(change())


@when("the {service:Service} is {kind:Words}")
@when("the {service:Service} is {kind:Words} for the next {count:d} calls")
def step_platform_fault(context, service, kind, count=0):
    names = {"down": "fail", "losing answers": "drop_answer", "well": "none"}
    fault = {"service": service, "kind": names[kind], "seconds": 0, "count": count}
    context.world.run(context.world.deployment.tell("platform", "/_faults", fault))


@when("{upstream:Name} has the fault {kind:Name}")
@when("{upstream:Name} has the fault {kind:Name} for the next {count:d} call")
@when("{upstream:Name} has the fault {kind:Name} for the next {count:d} calls")
def step_upstream_fault(context, upstream, kind, count=0):
    kinds = {spec.name: spec.kind for spec in context.world.deployment.spec.upstreams}
    service = kinds[upstream]
    fault = {"service": service, "kind": kind, "seconds": 1.0, "count": count}
    context.world.run(context.world.deployment.tell(upstream, "/_faults", fault))


@when("the engine {name:Name} is told {control:Text}")
def step_control(context, name, control):
    context.world.run(context.world.deployment.tell(name, "/_control", json.loads(control)))


@when("the key of {organisation:Name} is withdrawn")
def step_withdraw(context, organisation):
    world = context.world
    world.run(world.deployment.store().withdraw_key(f"key-{organisation}"))


@when("an operator withdraws the key of {organisation:Name} and the table goes down at once")
def step_withdraw_then_down(context, organisation):
    world = context.world
    fault = {"service": "table", "kind": "fail", "seconds": 0, "count": 0}
    assert world.operate("key", "withdraw", f"key-{organisation}") == 0
    world.run(world.deployment.tell("platform", "/_faults", fault))


@when("the upstream {name:Name} is drained")
def step_drain(context, name):
    world = context.world
    world.run(world.deployment.store().drain_upstream(name))


@then("every process has the newest configuration within {seconds:g} seconds")
def step_in_force(context, seconds):
    world = context.world
    head = world.run(world.deployment.store().read_head())

    def everywhere():
        return all(version >= head.version for version in versions(world).values())

    world.wait_until(everywhere, f"version {head.version}: {versions(world)}", seconds)


def versions(world):
    async def read():
        found = {}
        for name, address in world.deployment.operations.items():
            async with world.deployment.session.get(f"http://{address}/status") as resp:
                found[name] = (await resp.json())["version"]
        return found

    return world.run(read())


def configuration_of(world) -> Configuration:
    return world.run(world.deployment.store().read())


@when("{name:Name} is cut off from the platform")
def step_cut_off(context, name):
    set_platform_wire(context.world, name, WireState.CUT)


@when("no process reads the table")
def step_none_reads(context):
    for name in context.world.deployment.operations:
        set_platform_wire(context.world, name, WireState.CUT)


@when("every process reads the table again")
def step_all_read(context):
    for name in context.world.deployment.operations:
        set_platform_wire(context.world, name, WireState.OPEN)


@then("every process has version {version:d} within {seconds:g} seconds")
def step_version(context, version, seconds):
    world = context.world

    def everywhere():
        return all(found >= version for found in versions(world).values())

    world.wait_until(everywhere, f"version {version}: {versions(world)}", seconds)


@when("{name:Name} reaches the platform again")
def step_reaches(context, name):
    set_platform_wire(context.world, name, WireState.OPEN)


def set_platform_wire(world, name, state):
    async def change():
        world.deployment.platform_wires[name].set(state)

    world.run(change())


@when("the host list says that {name:Name} leaves")
def step_host_leaves(context, name):
    world = context.world
    world.run(world.deployment.publish_hosts(leaving=(f"sidecar-{name}",)))


@when("the table answers reads from {seconds:d} seconds ago")
def step_stale(context, seconds):
    fault = {"service": "table", "kind": "stale", "seconds": seconds, "count": 0}
    context.world.run(context.world.deployment.tell("platform", "/_faults", fault))


@when("two operators write the same version at the same moment")
def step_two_operators(context):
    world = context.world
    version = world.run(world.deployment.store().read_head()).version
    document = json.loads(configuration_of(world).to_bytes())

    async def write():
        store = world.deployment.store()
        try:
            return (await store.write(version, document)).version
        except Conflict:
            return None

    async def both():
        document["organisations"][0]["weight"] = 2.0
        return await asyncio.gather(write(), write())

    context.results = world.run(both())


@then("one of them has a conflict")
def step_conflict(context):
    assert sum(result is None for result in context.results) == 1, context.results


@when("the key of {organisation:Name} is granted to {other:Name}")
def step_regrant(context, organisation, other):
    world = context.world
    current = configuration_of(world)
    document = json.loads(current.to_bytes())
    for key in document["keys"]:
        if key["key_id"] == f"key-{organisation}":
            key["organisation"] = other
    world.run(world.deployment.store().write(current.version, document))
