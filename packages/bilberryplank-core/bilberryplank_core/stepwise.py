"""Long work on an event loop, in steps between which requests are served."""

from bilberryplank_core._stepwise import Steps, finish, map_in_steps

__all__ = ["Steps", "finish", "map_in_steps"]
