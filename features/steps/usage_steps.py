import aiohttp
from behave import then, when
from deployment_steps import child_of

BILLING_SECONDS = 40.0
JOB = "usage"


def statuses(world):
    async def read():
        found = {}
        for name, address in world.deployment.operations.items():
            if not child_of(world, name).running or name == world.frozen:
                continue
            try:
                async with world.deployment.session.get(f"http://{address}/status") as resp:
                    found[name] = await resp.json()
            except aiohttp.ClientError:
                continue
        return found

    return world.run(read())


def holder(world):
    names = [name for name, status in statuses(world).items() if JOB in status["leases"]]
    return names[0] if names else None


def billed(world, org):
    reports = world.run(world.deployment.get("platform", "/_state"))["reports"]
    lines = [line for window in reports.values() for line in window]
    mine = [line for line in lines if line["organisation"] == org]
    return (
        sum(line["calls"] for line in mine),
        sum(line["completion_tokens"] for line in mine),
    )


@then("{org:Name} is billed for exactly {calls:d} calls and {tokens:d} tokens")
def step_billed(context, org, calls, tokens):
    world = context.world

    def enough():
        return billed(world, org)[0] >= calls

    world.wait_until(enough, f"{calls} calls of {org}: {billed(world, org)}", BILLING_SECONDS)
    assert billed(world, org) == (calls, tokens), billed(world, org)


@then("no window was reported with different figures")
def step_no_different(context):
    entries = context.world.run(context.world.deployment.get("platform", "/_log"))["entries"]
    reports = [entry for entry in entries if entry["service"] == "reports"]
    assert reports
    refused = [entry for entry in reports if entry["status"] == 409]
    assert not refused, refused


@when("the holder of the usage lease is frozen")
def step_freeze_holder(context):
    world = context.world
    world.wait_until(lambda: holder(world), "somebody holds the lease")
    name = holder(world)
    child_of(world, name).freeze()
    world.frozen = name


@when("another process holds the usage lease")
def step_another(context):
    world = context.world
    world.wait_until(lambda: holder(world), "another process holds the lease")
    assert holder(world) != world.frozen


@when("the frozen process is thawed")
def step_thaw_holder(context):
    child_of(context.world, context.world.frozen).thaw()
    context.world.frozen = ""


@when("the holder of the usage lease is killed")
def step_kill_holder(context):
    world = context.world
    world.wait_until(lambda: holder(world), "somebody holds the lease")
    world.run(child_of(world, holder(world)).kill())
