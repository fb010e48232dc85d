"""The mixes of requests of both users: Rārangi's tracing and MacLarty's order desk."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bilberryplank_testing._deployment import UpstreamSpec

SECRET_PREFIX = "bpk_workload_secret_"


@dataclass(slots=True, frozen=True)
class RequestKind:
    """One kind of request of a mix.

    Attributes:
        class_name: Request class that it gets.
        share: Share of the arrivals.
        path: Where it is sent.
        model: Model; empty for a plain call.
        prompt_tokens: Mean length of the prompt.
        output_tokens: Mean length of the answer.
        streamed: True for server-sent events.
        organisations: Names of the organisations that send it.
        non_idempotent: True where it may run at most once.
    """

    class_name: str
    share: float
    path: str
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    streamed: bool = False
    organisations: tuple[str, ...] = ()
    non_idempotent: bool = False


@dataclass(slots=True, frozen=True)
class Workload:
    """A user's configuration and mix.

    Attributes:
        name: Name of the user.
        document: Configuration without keys' digests and upstreams.
        kinds: Kinds of requests; their shares sum to 1.
    """

    name: str
    document: dict[str, Any]
    kinds: tuple[RequestKind, ...]

    def secrets(self) -> dict[str, str]:
        """Returns the keys as callers send them, by key id."""
        return {key["key_id"]: SECRET_PREFIX + key["key_id"] for key in self.document["keys"]}

    def upstreams(self, engines: int, services: int, options: list[str]) -> list[UpstreamSpec]:
        """Returns upstreams in one zone; `options` are for the engines."""
        pool = f"{self.name}-model"
        plain = f"{self.name}-service"
        models = tuple(route["model"] for route in self.document["model_routes"])
        specs = [
            UpstreamSpec(f"{pool}-{number}", labels={"pool": pool}, models=models, options=options)
            for number in range(1, engines + 1)
        ]
        specs += [
            UpstreamSpec(f"{plain}-{number}", kind="service", labels={"pool": plain})
            for number in range(1, services + 1)
        ]
        return specs


def _organisations(prefix: str, count: int) -> list[str]:
    return [f"{prefix}-{number:02d}" for number in range(1, count + 1)]


def _document(
    name: str,
    organisations: list[str],
    tiers: list[str],
    classes: list[dict[str, Any]],
    routes: dict[str, Any],
) -> dict[str, Any]:
    return {
        "organisations": [{"name": item, "labels": {"user": name}} for item in organisations],
        "keys": [{"key_id": f"key-{item}", "organisation": item} for item in organisations],
        "tiers": [{"name": tier, "rank": rank} for rank, tier in enumerate(tiers)],
        "classes": classes,
        **routes,
    }


def rarangi(organisations: int = 10) -> Workload:
    """Returns Rārangi's mix: couriers by day, reconciliation and manifests behind them."""
    names = _organisations("rarangi", organisations)
    classes = [
        _class("courier-reply", "urgent", 1.0, 20.0, "kind=reply"),
        _class("trace-lookup", "urgent", 1.0, 10.0, "kind=trace"),
        _class("manifest", "normal", 4.0, 40.0, "kind=manifest"),
        _class("reconciliation", "overnight", 30.0, 120.0, "kind=reconciliation"),
    ]
    routes = {
        "model_routes": [
            _model("reply", "courier-small", "rarangi-model"),
            _model("manifest", "manifest-large", "rarangi-model"),
            _model("reconciliation", "reconcile-large", "rarangi-model"),
        ],
        "service_routes": [_service("trace", "/trace", "rarangi-service")],
    }
    kinds = (
        _kind("courier-reply", 0.5, "courier-small", 120, 24, True, names),
        _kind("manifest", 0.2, "manifest-large", 600, 60, True, names[:6]),
        _kind("reconciliation", 0.2, "reconcile-large", 1600, 80, False, names[:3]),
        RequestKind("trace-lookup", 0.1, "/trace/kits/7", organisations=tuple(names)),
    )
    tiers = ["urgent", "normal", "overnight"]
    return Workload("rarangi", _document("rarangi", names, tiers, classes, routes), kinds)


def maclarty(organisations: int = 10) -> Workload:
    """Returns MacLarty's mix: delivery notes, full-history reorders and despatches."""
    names = _organisations("maclarty", organisations)
    classes = [
        _class("delivery-note", "counter", 1.0, 20.0, "kind=note"),
        _class("order-desk", "counter", 1.0, 10.0, "kind=desk"),
        _class("consignment", "desk", 4.0, 40.0, "kind=consignment"),
        _class("full-history-reorder", "background", 30.0, 120.0, "kind=reorder"),
    ]
    despatch = _service("desk", "/orders", "maclarty-service")
    despatch.update({"idempotent": False, "idempotency_pointer": "/order/number"})
    routes = {
        "model_routes": [
            _model("note", "note-small", "maclarty-model"),
            _model("consignment", "assistant", "maclarty-model"),
            _model("reorder", "assistant-long", "maclarty-model"),
        ],
        "service_routes": [despatch],
    }
    kinds = (
        _kind("delivery-note", 0.5, "note-small", 100, 20, True, names),
        _kind("consignment", 0.2, "assistant", 500, 50, True, names[:6]),
        _kind("full-history-reorder", 0.2, "assistant-long", 3000, 120, False, names[:3]),
        RequestKind(
            "order-desk",
            0.1,
            "/orders/despatch",
            organisations=tuple(names),
            non_idempotent=True,
        ),
    )
    tiers = ["counter", "desk", "background"]
    return Workload("maclarty", _document("maclarty", names, tiers, classes, routes), kinds)


def _class(name: str, tier: str, target: float, deadline: float, routes: str) -> dict[str, Any]:
    return {
        "name": name,
        "tier": tier,
        "first_token_target": target,
        "deadline": deadline,
        "routes": routes,
    }


def _model(kind: str, model: str, pool: str) -> dict[str, Any]:
    labels = {"kind": kind}
    return {"name": kind, "model": model, "upstreams": f"pool={pool}", "labels": labels}


def _service(kind: str, prefix: str, pool: str) -> dict[str, Any]:
    labels = {"kind": kind}
    return {"name": kind, "path_prefix": prefix, "upstreams": f"pool={pool}", "labels": labels}


def _kind(
    class_name: str,
    share: float,
    model: str,
    prompt_tokens: int,
    output_tokens: int,
    streamed: bool,
    organisations: list[str],
) -> RequestKind:
    path = "/v1/chat/completions"
    return RequestKind(
        class_name,
        share,
        path,
        model,
        prompt_tokens,
        output_tokens,
        streamed,
        tuple(organisations),
    )
