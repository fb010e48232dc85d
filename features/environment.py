"""Hooks around scenarios."""

from behave.model import Scenario
from behave.model_core import Status
from behave.runner import Context

from bilberryplank_testing.scenario import ScenarioWorld


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Gives each scenario a world of its own."""
    context.world = ScenarioWorld()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Stops the world; shows what its processes wrote where the scenario failed."""
    if scenario.status in (Status.failed, Status.error):
        print(context.world.logs())
    context.world.close()
