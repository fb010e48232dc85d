import asyncio
import json

from behave import then, when

from bilberryplank_testing._scenario_document import MODELS


@when("{org:Name} asks {entry:Entry} for {tokens:d} tokens of {kind:Name} as {name:Name}")
def step_generate(context, org, entry, tokens, kind, name):
    context.world.generate(name, entry, org, kind, tokens)


@when(
    "{org:Name} asks {entry:Entry} for {count:d} times {tokens:d} tokens"
    " of {kind:Name} as {name:Name}"
)
def step_generate_many(context, org, entry, count, tokens, kind, name):
    for number in range(count):
        context.world.generate(f"{name}-{number}", entry, org, kind, tokens)


@when("{org:Name} asks all for {count:d} times {tokens:d} tokens of {kind:Name} as {name:Name}")
def step_generate_everywhere(context, org, count, tokens, kind, name):
    entries = list(context.world.deployment.entries)
    for number in range(count):
        entry = entries[number % len(entries)]
        context.world.generate(f"{name}-{number}", entry, org, kind, tokens)


@when("{org:Name} posts order {number:Name} through {entry:Entry} as {name:Name}")
def step_order(context, org, number, entry, name):
    body = {"order": {"number": number}}
    context.world.send(name, entry, "POST", "/orders", org, body, "orders")


@when("{org:Name} posts an order without a number through {entry:Entry} as {name:Name}")
def step_order_without(context, org, entry, name):
    context.world.send(name, entry, "POST", "/orders", org, {}, "orders")


@when("{org:Name} traces {path:Name} through {entry:Entry} as {name:Name}")
def step_trace(context, org, path, entry, name):
    context.world.send(name, entry, "GET", f"/trace/{path}", org, None, "trace")


@when(
    "{org:Name} floods all with {tokens:d} tokens of {kind:Name} {rate:g} times a second"
    " for {seconds:g} seconds as {name:Name}"
)
def step_flood(context, org, tokens, kind, rate, seconds, name):
    context.world.flood(name, org, kind, tokens, rate, seconds)


@when(
    "{org:Name} keeps asking {entry:Entry} for {tokens:d} tokens of {kind:Name}"
    " for {seconds:g} seconds as {name:Name}"
)
def step_come_back(context, org, entry, tokens, kind, seconds, name):
    context.world.come_back(name, entry, org, kind, tokens, seconds)


@when("{seconds:g} seconds pass")
def step_pass(context, seconds):
    context.world.run(asyncio.sleep(seconds))


@when("{name:Name} has begun to run")
def step_begun(context, name):
    def begun():
        runs = context.world.all_runs()
        return any(name in entry["body"] or name in entry["path"] for entry in runs)

    context.world.wait_until(begun, f"{name} runs")


@then("{name:Name} is answered whole")
def step_whole(context, name):
    outcome = context.world.outcome(name)
    assert outcome.answered, outcome


@then("{name:Name} has the whole text of {tokens:d} tokens")
def step_whole_text(context, name, tokens):
    outcome = context.world.outcome(name)
    assert outcome.answered, outcome
    expected = context.world.expected_text(name, tokens)
    assert outcome.text == expected, (outcome.text, expected)
    assert outcome.tokens == tokens, outcome


@then("{name:Name} is refused with {code:Name}")
def step_refused(context, name, code):
    outcome = context.world.outcome(name)
    assert outcome.refusal == code, outcome


@then("{name:Name} is refused with {code:Name} and may have run")
def step_refused_may_have_run(context, name, code):
    outcome = context.world.outcome(name)
    assert outcome.refusal == code, outcome
    assert not outcome.not_run, outcome


@then("all of {prefix:Name} are answered whole")
def step_all_whole(context, prefix):
    outcomes = context.world.outcomes(prefix)
    assert outcomes
    broken = [outcome for outcome in outcomes if not outcome.answered]
    assert not broken, broken


@then("at least {count:d} of {prefix:Name} are answered whole")
def step_some_whole(context, count, prefix):
    outcomes = context.world.outcomes(prefix)
    answered = sum(outcome.answered for outcome in outcomes)
    assert answered >= count, (answered, [outcome.refusal for outcome in outcomes])


@then("{first:Name} and {second:Name} have the same answer")
def step_same(context, first, second):
    one, two = context.world.outcome(first), context.world.outcome(second)
    assert one.answered and two.answered, (one, two)
    assert one.text == two.text, (one, two)


@when("{org:Name} traces {path} through {entry:Entry} with {headers:Text} as {name:Name}")
def step_trace_with(context, org, path, entry, headers, name):
    world = context.world
    secret = world.secrets[f"key-{org}"]
    fields = json.loads(headers.replace("KEY", secret))
    target = f"/trace/{path.replace('KEY', secret)}"
    world.send_as_is(name, entry, "GET", target, fields, "trace")


@when("{org:Name} asks {entry:Entry} for {tokens:d} whole tokens of {kind:Name} as {name:Name}")
def step_generate_whole(context, org, entry, tokens, kind, name):
    context.world.generate(name, entry, org, kind, tokens, stream=False)


@then("all of {prefix:Name} have their own whole text of {tokens:d} tokens")
def step_own_text(context, prefix, tokens):
    names = context.world.names(prefix)
    assert names
    for name in names:
        step_whole_text(context, name, tokens)


@then("all of {prefix:Name} are refused with {code:Name}")
def step_all_refused(context, prefix, code):
    outcomes = context.world.outcomes(prefix)
    assert outcomes
    wrong = [outcome for outcome in outcomes if outcome.refusal != code]
    assert not wrong, wrong


@then("{name:Name} ended before the last of {prefix:Name}")
def step_ended_before(context, name, prefix):
    first = context.world.outcome(name)
    last = max(item.sent + item.total for item in context.world.outcomes(prefix))
    assert first.sent + first.total < last, (first, last)


@when(
    "{org:Name} hangs up {count:d} times at {entry:Entry} right after asking"
    " for {tokens:d} tokens of {kind:Name}"
)
def step_hang_up(context, org, count, entry, tokens, kind):
    world = context.world
    host, _, port = world.deployment.entry_urls[entry].removeprefix("http://").partition(":")
    document = {
        "model": MODELS[kind],
        "stream": True,
        "max_tokens": tokens,
        "fake_output_tokens": tokens,
    }
    document["messages"] = [{"role": "user", "content": "hang up"}]
    body = json.dumps(document).encode()
    secret = world.secrets[f"key-{org}"]
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {host}\r\n"
        f"Authorization: Bearer {secret}\r\nContent-Length: {len(body)}\r\n\r\n"
    )

    async def hang_up():
        for _ in range(count):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body)
            await writer.drain()
            writer.close()

    world.run(hang_up())


@then("no process holds anything within {seconds:g} seconds")
def step_nothing_held(context, seconds):
    world = context.world

    async def held():
        total = 0
        for address in world.deployment.operations.values():
            async with world.deployment.session.get(f"http://{address}/status") as resp:
                status = await resp.json()
                total += status["queued"] + status["running"]
        return total

    world.wait_until(lambda: world.run(held()) == 0, "nothing is held", seconds)
