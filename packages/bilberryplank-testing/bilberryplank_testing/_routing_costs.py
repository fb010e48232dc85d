"""Processor time of an entry's decisions, at the size of the target."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator
from time import process_time

from bilberryplank_core.configuration import Configuration, ConfigurationParts
from bilberryplank_core.keys import digest_secret
from bilberryplank_core.messages import AttemptId, Body, Head, Load
from bilberryplank_core.routing import (
    AnswerAssembler,
    CallerRequest,
    InformedChooser,
    OrganisationLimits,
    RequestClassifier,
    affinity_key,
    choose_subset,
    extract_credentials,
    find_ambiguities,
)
from bilberryplank_core.settings import RoutingSettings
from bilberryplank_core.world import (
    Key,
    Limit,
    ModelRoute,
    Organisation,
    RequestClass,
    ServiceTier,
    Upstream,
    UpstreamKind,
)

ORGANISATIONS = 8600
MODELS = 9
TIERS = 6
UPSTREAMS = 690
ENTRIES = 350
ROUNDS = 20_000
HASH_SECRET = "hash-secret-of-bench"
MICROSECONDS = 1e6


def cost_rows() -> Iterator[str]:
    """Yields a row for each decision."""
    cfg = _configuration()
    yield _row(
        "build the classifier of a version", 3, lambda i: RequestClassifier(cfg, HASH_SECRET)
    )
    yield _row("find ambiguities", 3, lambda i: find_ambiguities(cfg.parts))
    yield from _request_rows(cfg)
    yield from _choice_rows(cfg)
    yield from _stream_rows()


def _request_rows(cfg: Configuration) -> Iterator[str]:
    classifier = RequestClassifier(cfg, HASH_SECRET)
    limits = OrganisationLimits(cfg)
    keys = [random.Random(1).choice(cfg.parts.keys) for _ in range(ROUNDS)]
    headers = [("Host", "x"), ("Authorization", "Bearer secret-17"), ("Content-Type", "a/b")] * 3
    path = "/v1/chat/completions"
    requests = [CallerRequest("POST", path, headers, f"m{index}") for index in range(MODELS)]
    yield _row("extract the key", ROUNDS, lambda i: extract_credentials(headers, path))
    yield _row("authenticate", ROUNDS, lambda i: classifier.authenticate("secret-17"))
    yield _row("classify", ROUNDS, lambda i: classifier.classify(keys[i], requests[i % MODELS]))
    yield _row(
        "admit and settle",
        ROUNDS,
        lambda i: limits.settle(limits.admit(keys[i], "c0", 100, i * 0.1), 90),
    )


def _choice_rows(cfg: Configuration) -> Iterator[str]:
    entries = [f"entry-{index}" for index in range(ENTRIES)]
    pool = [item for item in cfg.parts.upstreams if "m0" in item.models]
    yield _row(
        "pick links to 77 upstreams, 350 entries",
        5,
        lambda i: choose_subset("entry-1", pool, 12, zone="z1", entries=entries),
    )
    chosen = choose_subset("entry-1", pool, 12, zone="z1", entries=entries)
    key = affinity_key("org", b"prefix")

    def route(chooser: InformedChooser, index: int, affinity: bytes | None) -> None:
        now = index * 0.1
        name = chooser.choose(chosen, now, set(), affinity).name
        chooser.record_sent(name, 100, now)
        chooser.record_outcome(name, 0.1, True, now)
        chooser.record_load(name, Load(1, 2, 8, 100.0, 900.0), now)
        chooser.record_end(name, now)

    plain, sticky = (
        InformedChooser.from_settings(RoutingSettings(), "z1", random.Random(1)) for _ in range(2)
    )
    yield _row("choose of 12, with all records", ROUNDS, lambda i: route(plain, i, None))
    yield _row("the same with affinity", ROUNDS, lambda i: route(sticky, i, key))


def _stream_rows() -> Iterator[str]:
    attempt = AttemptId("r", 1, "e")
    assembler = AnswerAssembler(model_answer=True)
    assembler.begin(attempt)
    assembler.accept(Head(attempt, 200, [["Content-Type", "text/event-stream"]], Load()))
    choice = {"index": 0, "delta": {"content": "word "}, "finish_reason": None}
    document = {"id": "chatcmpl-1", "created": 1, "model": "m", "choices": [choice]}
    data = f"data: {json.dumps(document)}\n\n".encode()
    yield _row("pass a streamed token", ROUNDS, lambda i: assembler.accept(Body(attempt, i, data)))


def _row(name: str, rounds: int, call: Callable[[int], object]) -> str:
    began = process_time()
    for index in range(rounds):
        call(index)
    return f"{name} | {(process_time() - began) / rounds * MICROSECONDS:.1f}"


def _configuration() -> Configuration:
    names = [f"org-{index}" for index in range(ORGANISATIONS)]
    plans = ("small", "large", "public")
    parts = ConfigurationParts(
        organisations=tuple(
            Organisation(name, {"plan": plans[index % 3]}) for index, name in enumerate(names)
        ),
        keys=tuple(
            Key(f"key-{index}", name, digest_secret(f"secret-{index}", HASH_SECRET))
            for index, name in enumerate(names)
        ),
        tiers=tuple(ServiceTier(f"t{rank}", rank) for rank in range(TIERS)),
        classes=(
            RequestClass("c0", "t0"),
            *(
                RequestClass(f"c{i + 1}", f"t{i + 1}", organisations=f"plan={plan}")
                for i, plan in enumerate(plans)
            ),
        ),
        limits=(Limit("all", requests_per_second=1000.0, tokens_per_second=1e9),),
        model_routes=tuple(
            ModelRoute(f"r{i}", f"m{i}", "", organisations="plan") for i in range(MODELS)
        ),
        upstreams=tuple(
            Upstream(f"up-{i}", f"z{i % 5}", UpstreamKind.ENGINE, "127.0.0.1:1", {}, (f"m{i % 9}",))
            for i in range(UPSTREAMS)
        ),
    )
    return Configuration(1, parts)
