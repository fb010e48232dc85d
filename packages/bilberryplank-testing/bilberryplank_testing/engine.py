"""Fake of a model engine: `python -m bilberryplank_testing.engine --listen 127.0.0.1:PORT`."""

import defopt

from bilberryplank_testing._engine_model import EngineOptions
from bilberryplank_testing._engine_text import answer_text, count_tokens
from bilberryplank_testing._fake_engine import FakeEngine
from bilberryplank_testing._server import run_fake

__all__ = ["EngineOptions", "FakeEngine", "answer_text", "count_tokens", "main"]

_DEFAULTS = EngineOptions()


def main(
    *,
    listen: str,
    slots: int = _DEFAULTS.slots,
    kv_tokens: int = _DEFAULTS.kv_tokens,
    prefill_rate: float = _DEFAULTS.prefill_rate,
    step_seconds: float = _DEFAULTS.step_seconds,
    batch_slowdown: float = _DEFAULTS.batch_slowdown,
    cache_tokens: int = _DEFAULTS.cache_tokens,
    load_lag: float = _DEFAULTS.load_lag,
    event_lag: float = _DEFAULTS.event_lag,
    event_loss: float = _DEFAULTS.event_loss,
    seed: int = _DEFAULTS.seed,
    models: tuple[str, ...] = _DEFAULTS.models,
    ignore_fences: bool = False,
) -> None:
    """Serves a fake model engine.

    Args:
        listen: `ip:port` to listen on.
        slots: Requests that run at once.
        kv_tokens: Tokens that fit into the KV memory.
        prefill_rate: Prompt tokens read a second, over all requests.
        step_seconds: Duration of a step with an empty batch.
        batch_slowdown: Share by which a full batch lengthens a step.
        cache_tokens: Tokens that the prefix cache holds.
        load_lag: Seconds by which reports of load lag.
        event_lag: Seconds by which cache events lag.
        event_loss: Share of cache events that get lost, 0 to 1.
        seed: Seed of the losses.
        models: Models that it serves; none for any.
        ignore_fences: Carry out orders whatever their fencing number.
    """
    opts = EngineOptions(
        slots=slots,
        kv_tokens=kv_tokens,
        prefill_rate=prefill_rate,
        step_seconds=step_seconds,
        batch_slowdown=batch_slowdown,
        cache_tokens=cache_tokens,
        load_lag=load_lag,
        event_lag=event_lag,
        event_loss=event_loss,
        seed=seed,
        models=tuple(models),
        ignore_fences=ignore_fences,
    )
    run_fake(FakeEngine(opts), listen)


if __name__ == "__main__":
    defopt.run(main)
