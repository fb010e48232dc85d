"""Measures the configuration: its document, a change of it, and the memory that it takes."""

from __future__ import annotations

import gc
import json
import random
import time
import tracemalloc
import zlib
from dataclasses import replace
from typing import Any

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.fleet import (
    ChunkReader,
    ConfigurationDelta,
    ConfigurationHolder,
    iter_chunks,
)
from bilberryplank_testing._fleet_output import MILLISECONDS, least, show

UPSTREAMS = 690


def make_document(organisations: int) -> dict[str, Any]:
    """Returns a configuration document with that many organisations and the target's upstreams."""
    rng = random.Random(1)
    names = [f"organisation-{number:05d}" for number in range(organisations)]
    return {
        "organisations": [{"name": name, "labels": {"plan": "standard"}} for name in names],
        "keys": [_key(rng, name, number) for name in names for number in range(2)],
        "tiers": [{"name": f"tier{rank}", "rank": rank} for rank in range(6)],
        "classes": [{"name": f"class{rank}", "tier": f"tier{rank}"} for rank in range(6)],
        "model_routes": [
            {"name": f"route{number}", "model": f"model{number}", "upstreams": ""}
            for number in range(9)
        ],
        "upstreams": [_upstream(number) for number in range(UPSTREAMS)],
    }


def _key(rng: random.Random, organisation: str, number: int) -> dict[str, Any]:
    digest = f"{rng.getrandbits(256):064x}"
    key_id = f"{rng.getrandbits(48):012x}"
    return {"key_id": f"{key_id}{number}", "organisation": organisation, "digest": digest}


def _upstream(number: int) -> dict[str, Any]:
    return {
        "name": f"runner-{number:03d}",
        "zone": f"zone-{number % 5}",
        "kind": "engine",
        "address": f"10.1.{number // 250}.{number % 250 + 1}:7000",
        "models": [f"model{number % 9}"],
        "cost_per_hour": 4.0,
    }


def measure_configuration(organisations: int) -> None:
    """Measures the document, a change of it, and the memory that it takes."""
    lines = _document_lines(organisations)
    _measure_times(organisations, lines)
    _measure_memory(organisations, lines)


def _document_lines(organisations: int) -> list[bytes]:
    configuration = Configuration.from_document(1, make_document(organisations))
    return [json.dumps(chunk).encode() for chunk in iter_chunks(configuration)]


def _measure_times(organisations: int, lines: list[bytes]) -> None:
    old = join(lines)
    new = Configuration(2, replace(old.parts, keys=_withdrawn_first(old)))
    change = ConfigurationDelta.between(old, new).to_bytes()
    read = ConfigurationDelta.from_document(json.loads(change))
    document = json.loads(old.to_bytes())
    show(
        "configuration",
        organisations=organisations,
        document_bytes=sum(map(len, lines)),
        rows=len(lines),
        deflated_bytes=len(zlib.compress(b"".join(lines))),
        join_ms=least(lambda: join(lines)) * MILLISECONDS,
        check_ms=least(lambda: Configuration.from_document(1, document)) * MILLISECONDS,
        delta_bytes=len(change),
        delta_make_ms=least(lambda: ConfigurationDelta.between(old, new)) * MILLISECONDS,
        delta_apply_ms=least(lambda: read.apply(old)) * MILLISECONDS,
    )
    holder = ConfigurationHolder(time.monotonic)
    holder.accept(1, old, 0.0)
    update = holder.update_since(0)
    show(
        "configuration_from_peer",
        organisations=organisations,
        update_bytes=len(update),
        update_ms=least(lambda: holder.update_since(0)) * MILLISECONDS,
        accept_ms=least(lambda: _accept(update)) * MILLISECONDS,
    )


def _accept(update: bytes) -> None:
    ConfigurationHolder(time.monotonic).accept_update(update, 0.0)


def join(lines: list[bytes]) -> Configuration:
    """Returns the configuration in lines of JSON, as a process that joins reads it."""
    reader = ChunkReader()
    for line in lines:
        reader.add(json.loads(line))
    return reader.build(1)


def _withdrawn_first(old: Configuration) -> tuple[Any, ...]:
    return (replace(old.parts.keys[0], withdrawn=True), *old.parts.keys[1:])


def _measure_memory(organisations: int, lines: list[bytes]) -> None:
    gc.collect()
    tracemalloc.start()
    configuration = join(lines)
    gc.collect()
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.reset_peak()
    later = replace_first(configuration, ConfigurationDelta(1, 2))
    _, change_peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    show(
        "configuration_memory",
        organisations=organisations,
        kept=kept,
        join_peak=peak,
        change_peak=change_peak,
        version=later.version,
    )


def replace_first(configuration: Configuration, change: ConfigurationDelta) -> Configuration:
    """Returns the configuration after its first key was withdrawn."""
    key = replace(configuration.parts.keys[0], withdrawn=True)
    return replace(change, upserts=replace(change.upserts, keys=(key,))).apply(configuration)
