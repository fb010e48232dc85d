"""Deployments of real processes for tests, the demo and measurements."""

from bilberryplank_testing._child import Child
from bilberryplank_testing._cut_proxy import CutProxy, WireState
from bilberryplank_testing._deployment import Deployment, DeploymentSpec, UpstreamSpec

__all__ = ["Child", "CutProxy", "Deployment", "DeploymentSpec", "UpstreamSpec", "WireState"]
