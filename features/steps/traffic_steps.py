import asyncio

from behave import then, when

from bilberryplank_testing.engine import answer_text


@when("{organisation:Name} asks {entry:Name} for {tokens:d} tokens of {kind:Name} as {name:Name}")
def step_generate(context, organisation, entry, tokens, kind, name):
    context.world.generate(name, entry, organisation, kind, tokens)


@when(
    "{organisation:Name} asks {entry:Name} for {count:d} times {tokens:d} tokens of {kind:Name} as {name:Name}"
)
def step_generate_many(context, organisation, entry, count, tokens, kind, name):
    for number in range(count):
        context.world.generate(f"{name}-{number}", entry, organisation, kind, tokens)


@when(
    "{organisation:Name} asks all for {count:d} times {tokens:d} tokens of {kind:Name} as {name:Name}"
)
def step_generate_everywhere(context, organisation, count, tokens, kind, name):
    entries = list(context.world.deployment.entries)
    for number in range(count):
        entry = entries[number % len(entries)]
        context.world.generate(f"{name}-{number}", entry, organisation, kind, tokens)


@when("{organisation:Name} posts order {number:Name} through {entry:Name} as {name:Name}")
def step_order(context, organisation, number, entry, name):
    body = {"order": {"number": number}}
    context.world.send(name, entry, "POST", "/orders", organisation, body, "orders")


@when("{organisation:Name} posts an order without a number through {entry:Name} as {name:Name}")
def step_order_without(context, organisation, entry, name):
    context.world.send(name, entry, "POST", "/orders", organisation, {}, "orders")


@when("{organisation:Name} traces {path:Name} through {entry:Name} as {name:Name}")
def step_trace(context, organisation, path, entry, name):
    context.world.send(name, entry, "GET", f"/trace/{path}", organisation, None, "trace")


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
    expected = answer_text(f"prompt of {name}", tokens)
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
