import asyncio

from behave import given, then, when


@given("{org:Name} may send {rate:g} requests a second")
def step_limit(context, org, rate):
    limit = {"name": "rate", "organisations": f"name={org}", "requests_per_second": rate}
    context.world.document["limits"] = [limit]


@when(
    "{org:Name} traces through {entry:Entry} {rate:g} times a second for {seconds:g} seconds"
    " as {name:Name}"
)
def step_trace_often(context, org, entry, rate, seconds, name):
    world = context.world
    context.rate, context.seconds = rate, seconds

    async def keep_on():
        for number in range(int(rate * seconds)):
            world.send(f"{name}-{number}", entry, "GET", f"/trace/{number}", org, None, "trace")
            await asyncio.sleep(1 / rate)

    world.run(keep_on())


@then(
    "of {name:Name} after {start:g} seconds at least {least:g} and at most {most:g} a second"
    " are answered"
)
def step_rate(context, name, start, least, most):
    world = context.world
    first = int(context.rate * start)
    numbers = range(first, int(context.rate * context.seconds))
    outcomes = [world.outcome(f"{name}-{number}") for number in numbers]
    last_sent = max(outcome.sent for outcome in outcomes)
    seconds = last_sent - min(outcome.sent for outcome in outcomes)
    admitted = sum(outcome.answered for outcome in outcomes) / seconds
    print(f"admitted {admitted:.2f} a second over {seconds:.1f} s")
    assert least <= admitted <= most, admitted
