"""Fake of a plain service: `python -m bilberryplank_testing.service --listen 127.0.0.1:PORT`."""

import defopt

from bilberryplank_testing._fake_service import FakeService
from bilberryplank_testing._server import run_fake

__all__ = ["FakeService", "main"]


def main(
    *,
    listen: str,
    name: str = "service",
    latency: float = 0.0,
    organisation_header: str = "X-Organisation",
) -> None:
    """Serves a fake plain service.

    Args:
        listen: `ip:port` to listen on.
        name: Name that its answers carry.
        latency: Seconds until a call takes effect and is answered.
        organisation_header: Header in which it looks for the organisation.
    """
    fake = FakeService(name, latency=latency, organisation_header=organisation_header)
    run_fake(fake, listen)


if __name__ == "__main__":
    defopt.run(main)
