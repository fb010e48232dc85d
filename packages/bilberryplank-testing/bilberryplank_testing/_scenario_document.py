"""The configuration that scenarios run under."""

from __future__ import annotations

from typing import Any

ORGANISATIONS = ("acme", "beta")
MODELS = {"reply": "courier-small", "work": "assistant", "bulk": "reconcile-large"}


def scenario_document() -> dict[str, Any]:
    """Returns a configuration of three tiers, three models and two plain services."""
    return {
        "organisations": [{"name": name, "labels": {"name": name}} for name in ORGANISATIONS],
        "keys": [{"key_id": f"key-{name}", "organisation": name} for name in ORGANISATIONS],
        "tiers": [
            {"name": "gold", "rank": 0},
            {"name": "silver", "rank": 1},
            {"name": "batch", "rank": 2},
        ],
        "classes": [
            _class("reply", "gold", 2.0, 20.0),
            _class("orders", "gold", 2.0, 8.0),
            _class("trace", "gold", 2.0, 8.0),
            _class("work", "silver", 10.0, 30.0),
            _class("bulk", "batch", 60.0, 60.0),
        ],
        "model_routes": [
            {"name": kind, "model": model, "upstreams": "pool=model", "labels": {"kind": kind}}
            for kind, model in MODELS.items()
        ],
        "service_routes": [
            {
                "name": "orders",
                "path_prefix": "/orders",
                "upstreams": "pool=orders",
                "labels": {"kind": "orders"},
                "idempotent": False,
                "idempotency_header": "Idempotency-Key",
                "idempotency_pointer": "/order/number",
            },
            {
                "name": "trace",
                "path_prefix": "/trace",
                "upstreams": "pool=trace",
                "labels": {"kind": "trace"},
            },
        ],
    }


def scenario_secrets() -> dict[str, str]:
    """Returns the keys as callers send them, by key id."""
    return {f"key-{name}": f"bpk_scenario_secret_of_{name}" for name in ORGANISATIONS}


def _class(kind: str, tier: str, target: float, deadline: float) -> dict[str, Any]:
    return {
        "name": kind,
        "tier": tier,
        "first_token_target": target,
        "deadline": deadline,
        "routes": f"kind={kind}",
    }
