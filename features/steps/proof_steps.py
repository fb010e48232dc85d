import json

from behave import then


@then("order {number:Name} took effect {count:d} time")
@then("order {number:Name} took effect {count:d} times")
def step_effects(context, number, count):
    ran = [entry for entry in orders(context.world, number) if entry["effect"]]
    assert len(ran) == count, ran


@then("order {number:Name} took effect at most once")
def step_effects_at_most(context, number):
    ran = [entry for entry in orders(context.world, number) if entry["effect"]]
    assert len(ran) <= 1, ran


def orders(world, number):
    return [entry for entry in world.all_runs() if f'"number": "{number}"' in entry["body"]]


@then("no upstream saw a key")
def step_no_key(context):
    for entry in context.world.all_runs():
        seen = json.dumps([entry["path"], entry["headers"], entry["body"]])
        for secret in context.world.secrets.values():
            assert secret not in seen, entry


@then("every refusal that says not run is true")
def step_not_run_is_true(context):
    world = context.world
    ran = {entry["request_id"] for entry in world.all_runs() if entry["effect"]}
    for outcome in world.outcomes(""):
        if outcome.refusal and outcome.not_run:
            assert outcome.request_id not in ran, outcome


@then("every refusal came with its answer at once")
def step_refused_at_once(context):
    for outcome in context.world.outcomes(""):
        if outcome.refusal and outcome.not_run and outcome.status == 503:
            assert outcome.retry_after is not None, outcome


@then("no {higher:Name} was refused")
def step_none_refused(context, higher):
    refused = [item for item in context.world.outcomes(higher) if item.refusal]
    assert not refused, refused


@then("{upstream:Name} runs nothing new")
def step_nothing_new(context, upstream):
    world = context.world
    before = len(world.runs(upstream))
    for number in range(12):
        entry = list(world.deployment.entries)[number % len(world.deployment.entries)]
        world.generate(f"probe-{number}", entry, "acme", "reply", 2)
    world.outcomes("probe-")
    assert len(world.runs(upstream)) == before, world.runs(upstream)[before:]


@then("no upstream saw the header {header:Name}")
def step_no_header(context, header):
    for entry in context.world.all_runs():
        names = {name.lower() for name, _ in entry["headers"]}
        assert header.lower() not in names, entry


@then("every refusal says when to come back")
def step_come_back(context):
    refused = [item for item in context.world.outcomes("") if item.status in (429, 503)]
    silent = [item for item in refused if item.retry_after is None]
    assert not silent, silent


@then("{upstream:Name} finished whatever it began")
def step_finished(context, upstream):
    runs = context.world.runs(upstream)
    assert runs
    cut = [entry for entry in runs if entry["end"] != "whole"]
    assert not cut, cut
