"""Commands on engines."""

from __future__ import annotations

import uuid
from typing import Literal

from bilberryplank_core.contracts import Condition, Put, Table
from bilberryplank_core.fleet import ConfigurationStore
from bilberryplankctl._failures import NotFound
from bilberryplankctl._results import EngineOrderAsked

TABLE = "engine_orders"


EngineAction = Literal["load_model", "load_adapter", "set_version", "set_role"]
"""What an engine can be told."""


async def order(
    store: ConfigurationStore, table: Table, upstream: str, action: EngineAction, argument: str
) -> EngineOrderAsked:
    """Asks for an order; the holder of the lease sends it to the engine's sidecar.

    Raises:
        NotFound: There is no such upstream.
    """
    if upstream not in (await store.read()).upstreams:
        raise NotFound(f"no upstream {upstream!r}")
    order_id = uuid.uuid4().hex
    key = f"asked/{order_id}"
    value = {"upstream": upstream, "action": action, "argument": argument}
    await table.commit([Condition(TABLE, key, 0)], [Put(TABLE, key, value)])
    return EngineOrderAsked(order_id, upstream, action, argument)
