"""Routing decisions of an entry: classification, choice of upstreams, retries and answers."""

from bilberryplank_core._affinity import affinity_key
from bilberryplank_core._ambiguities import find_ambiguities
from bilberryplank_core._answer_assembler import (
    AnswerAssembler,
    AnswerBroken,
    AnswerEnd,
    AnswerOutput,
    AnswerPart,
    AnswerStart,
    FrameCounts,
)
from bilberryplank_core._attempt_rules import RequestTraits, counts_against_upstream, parse_reason
from bilberryplank_core._attempts import RequestAttempts
from bilberryplank_core._classification import (
    CallerRequest,
    ClassifiedRequest,
    RequestClassifier,
)
from bilberryplank_core._credentials import Credentials, extract_credentials
from bilberryplank_core._ejection import OutlierEjector
from bilberryplank_core._estimates import cost_of
from bilberryplank_core._informed_chooser import InformedChooser
from bilberryplank_core._limit_shares import add_demands, divide_shares, shares_of_entry
from bilberryplank_core._limits import Admission, LimitId, OrganisationLimits
from bilberryplank_core._request_kind import RequestKind
from bilberryplank_core._retry_budget import RetryBudget
from bilberryplank_core._route_table import RouteTable, is_model_path, route_labels, upstream_labels
from bilberryplank_core._steps import (
    NOTHING_DELIVERED,
    CompleteAnswer,
    DeliveryProgress,
    GiveUp,
    IgnoreEvent,
    QueryOutcome,
    SendAttempt,
    Step,
)
from bilberryplank_core._streamed_answer import merge_usage
from bilberryplank_core._subsets import choose_subset
from bilberryplank_core._upstream_chooser import RoundRobinChooser, UpstreamChooser

__all__ = [
    "NOTHING_DELIVERED",
    "Admission",
    "AnswerAssembler",
    "AnswerBroken",
    "AnswerEnd",
    "AnswerOutput",
    "AnswerPart",
    "AnswerStart",
    "CallerRequest",
    "ClassifiedRequest",
    "Credentials",
    "CompleteAnswer",
    "FrameCounts",
    "GiveUp",
    "IgnoreEvent",
    "InformedChooser",
    "LimitId",
    "OrganisationLimits",
    "DeliveryProgress",
    "RequestAttempts",
    "RequestClassifier",
    "RequestKind",
    "RequestTraits",
    "RetryBudget",
    "RoundRobinChooser",
    "RouteTable",
    "SendAttempt",
    "QueryOutcome",
    "Step",
    "OutlierEjector",
    "UpstreamChooser",
    "add_demands",
    "affinity_key",
    "counts_against_upstream",
    "cost_of",
    "divide_shares",
    "extract_credentials",
    "find_ambiguities",
    "is_model_path",
    "merge_usage",
    "shares_of_entry",
    "parse_reason",
    "route_labels",
    "choose_subset",
    "upstream_labels",
]
