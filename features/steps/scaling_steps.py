import json

import parse
from behave import given, register_type, then, when
from deployment_steps import child_of
from usage_steps import statuses

from bilberryplank_testing.deployment import WireState

JOB = "scaling"
INTENT = "open/scaling/"
SLOW_SECONDS = 1.0


@parse.with_pattern(r"while it writes an intent|while its order is on its way|between two pieces.*")
def parse_point(text):
    return text


register_type(Point=parse_point)


def holder(world):
    names = [name for name, status in statuses(world).items() if JOB in status["leases"]]
    return names[0] if names else None


def arrivals(world):
    """Returns the whole orders that reached the platform, in order, repeats included."""
    entries = world.run(world.deployment.get("platform", "/_log"))["entries"]
    bodies = [entry["body"] for entry in entries if entry["service"] == "orders"]
    return [json.loads(body) for body in bodies if body.endswith("}")]


def carried_out(world, action):
    orders = world.run(world.deployment.get("platform", "/_state"))["orders"]
    return [order for order in orders if order["action"] == action]


def drained(world):
    upstreams = world.run(world.deployment.store().read()).parts.upstreams
    return [upstream.name for upstream in upstreams if upstream.draining]


def slow(world, service, seconds):
    kind = "slow" if seconds else "none"
    fault = {"service": service, "kind": kind, "seconds": seconds, "count": 0}
    world.run(world.deployment.tell("platform", "/_faults", fault))


async def set_wire(deployment, name, state):
    deployment.wires[name].set(state)


@given("{name:Name} does not run")
def step_not_running(context, name):
    world = context.world
    world.run(set_wire(world.deployment, name, WireState.CUT))


@when("the platform starts {name:Name}")
def step_platform_starts(context, name):
    world = context.world
    world.run(set_wire(world.deployment, name, WireState.OPEN))
    world.deployment.spec.unstarted.remove(name)
    world.run(world.deployment.publish_hosts())


@when("the platform stops what was ordered to stop")
def step_platform_stops(context):
    world = context.world
    for order in carried_out(world, "stop"):
        name = order["upstream"]
        world.run(world.deployment.sidecars[name].stop())
        world.deployment.spec.unstarted.append(name)
    world.run(world.deployment.publish_hosts())


@then("{count:d} upstream of {pool:Name} is ordered within {seconds:g} seconds")
def step_started(context, count, pool, seconds):
    world = context.world

    def ordered():
        return [order for order in carried_out(world, "start") if order["pool"] == pool]

    world.wait_until(ordered, f"a start in {pool}", seconds)
    assert len(ordered()) == count, ordered()


@then("{one:Name} or {other:Name} is drained and ordered to stop within {seconds:g} seconds")
def step_stopped(context, one, other, seconds):
    world = context.world
    world.wait_until(lambda: drained(world), "a drain", seconds)
    assert not carried_out(world, "stop")
    world.wait_until(lambda: carried_out(world, "stop"), "a stop", seconds)
    (order,) = carried_out(world, "stop")
    assert [order["upstream"]] == drained(world), order
    assert order["upstream"] in (one, other), order


@then("no upstream is drained within {seconds:g} seconds")
def step_undrained(context, seconds):
    world = context.world
    world.wait_until(lambda: not drained(world), "the drain is cleared", seconds)


@then("{count:d} stop is ordered within {seconds:g} seconds")
def step_stops(context, count, seconds):
    world = context.world
    world.wait_until(lambda: len(carried_out(world, "stop")) == count, "stops", seconds)


@when("some process holds the scaling lease")
def step_held(context):
    context.world.wait_until(lambda: holder(context.world), "somebody holds the lease")


@when("the holder of the scaling lease is frozen {point:Point}")
def step_freeze_at(context, point):
    world = context.world
    name = holder(world)
    if point == "while it writes an intent":
        slow(world, "table", SLOW_SECONDS)
        world.wait_until(lambda: writes_intent(world), "an intent", 30.0)
    elif point == "while its order is on its way":
        slow(world, "orders", SLOW_SECONDS)
        world.wait_until(lambda: arrivals(world), "an order", 30.0)
    child_of(world, name).freeze()
    slow(world, "table", 0)
    slow(world, "orders", 0)
    world.frozen = name
    context.fence = fence(world)


def fence(world):
    """Returns the fencing number of the lease as the table has it."""
    row = world.run(world.deployment.get("platform", "/tables/leases/rows/scaling"))
    return row["value"]["fence"]


def writes_intent(world):
    entries = world.run(world.deployment.get("platform", "/_log"))["entries"]
    commits = [entry for entry in entries if entry["path"].startswith("/transactions")]
    return any(INTENT in entry["body"] for entry in commits)


@when("another process takes the scaling lease")
def step_another(context):
    world = context.world
    world.wait_until(lambda: holder(world), "another process holds the lease")
    assert holder(world) != world.frozen


@then("an order of {whose:Name} holder arrives within {seconds:g} seconds")
def step_order_arrives(context, whose, seconds):
    world = context.world
    before = context.fence if whose == "another" else 0

    def arrived():
        return any(order["fence"] > before for order in arrivals(world))

    world.wait_until(arrived, "an order", seconds)


@when("the {service:Service} takes {seconds:g} seconds")
def step_slow(context, service, seconds):
    slow(context.world, service, seconds)


@then("the fencing numbers of orders never go down")
def step_fences(context):
    world = context.world
    for orders in (
        arrivals(world),
        world.run(world.deployment.get("platform", "/_state"))["orders"],
    ):
        fences = [order["fence"] for order in orders]
        assert fences and fences == sorted(fences), fences


@then("no order arrived twice with effect")
def step_once(context):
    world = context.world
    effects = world.run(world.deployment.get("platform", "/_state"))["orders"]
    ids = [order["order_id"] for order in effects]
    assert len(ids) == len(set(ids)), effects
