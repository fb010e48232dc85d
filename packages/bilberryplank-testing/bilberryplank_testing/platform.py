"""Fake of the platform: `python -m bilberryplank_testing.platform --listen 127.0.0.1:PORT`."""

import defopt

from bilberryplank_testing._fake_platform import FakePlatform
from bilberryplank_testing._server import run_fake

__all__ = ["FakePlatform", "main"]


def main(*, listen: str, ignore_fences: bool = False, host_lag: float = 0.0) -> None:
    """Serves the fakes of all five platform services.

    Args:
        listen: `ip:port` to listen on.
        ignore_fences: Carry out orders whatever their fencing number.
        host_lag: Seconds by which the host list lags.
    """
    run_fake(FakePlatform(honours_fences=not ignore_fences, host_lag=host_lag), listen)


if __name__ == "__main__":
    defopt.run(main)
