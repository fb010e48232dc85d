import json
import uuid

from behave import then, when
from deployment_steps import child_of
from usage_steps import statuses

from bilberryplank._engine_order_job import OrderLinks
from bilberryplank._engine_orders import EngineOutcome
from bilberryplank.platform import Platform
from bilberryplank_core.messages import OrderEngine
from bilberryplank_core.settings import EntrySettings, PlatformSettings
from bilberryplank_testing._deployment import FLEET_KEY, KEY_HASH_SECRET
from bilberryplankctl._engine_commands import order

JOB = "engine-orders"


def holder(world):
    names = [name for name, status in statuses(world).items() if JOB in status["leases"]]
    return names[0] if names else None


def engine_orders(world, name):
    entries = world.run(world.deployment.get(name, "/_log"))["entries"]
    return [json.loads(entry["body"]) for entry in entries if entry["path"] == "/orders"]


@when("an operator orders {action:Name} {argument:Name} of {upstream:Name}")
def step_order(context, action, argument, upstream):
    world = context.world
    deployment = world.deployment
    settings = PlatformSettings(*[deployment.fake_urls["platform"]] * 5)
    table = Platform.from_settings(settings, deployment.session).table
    asked = order(deployment.store(), table, upstream, action, argument)
    world.run(asked)


@then("{name:Name} carried out {action:Name} {argument:Name} once within {seconds:g} seconds")
def step_carried_out(context, name, action, argument, seconds):
    world = context.world

    def done():
        orders = [(item["action"], item["argument"]) for item in engine_orders(world, name)]
        return orders.count((action, argument))

    world.wait_until(done, f"{action} {argument}", seconds)
    assert done() == 1, engine_orders(world, name)


@then("no order is open within {seconds:g} seconds")
def step_none_open(context, seconds):
    world = context.world

    def none_open():
        path = "/tables/engine_orders/rows?prefix=asked/"
        return not world.run(world.deployment.get("platform", path))["rows"]

    world.wait_until(none_open, "no row asks for an order", seconds)


@when("the holder of the engine-orders lease is frozen")
def step_freeze(context):
    world = context.world
    world.frozen = holder(world)
    context.old_fence = fence(world)
    child_of(world, world.frozen).freeze()


def fence(world):
    path = f"/tables/leases/rows/{JOB}"
    return world.run(world.deployment.get("platform", path))["value"]["fence"]


@when("another process takes the engine-orders lease")
def step_another(context):
    world = context.world
    world.wait_until(lambda: fence(world) > context.old_fence, "another holder")


@when("an order with the frozen holder's number reaches {name:Name}")
def step_old_order(context, name):
    world = context.world
    address = world.deployment._sidecar_addresses[name.removeprefix("sidecar-")]
    message = OrderEngine(uuid.uuid4().hex, context.old_fence, "load_adapter", "old")
    platform = PlatformSettings(*["http://127.0.0.1:1"] * 5)
    address_of_none = "127.0.0.1:1"
    settings = EntrySettings(
        "probe", "zone-a", address_of_none, address_of_none, FLEET_KEY, KEY_HASH_SECRET, platform
    )

    async def send():
        links = OrderLinks(settings)
        try:
            return await links.send(address, message)
        finally:
            links.close()

    context.outcome = world.run(send())


@then("that order is stale")
def step_stale(context):
    assert context.outcome is EngineOutcome.STALE, context.outcome


@then("the engine of {name:Name} saw no fencing number go down")
def step_fences(context, name):
    fences = [item["fence"] for item in engine_orders(context.world, name)]
    assert fences == sorted(fences), fences
    assert fences[-1] > context.old_fence, fences
