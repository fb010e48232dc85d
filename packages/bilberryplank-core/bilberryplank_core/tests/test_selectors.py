import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core.errors import SelectorInvalid
from bilberryplank_core.selectors import (
    Exists,
    In,
    LabelProjection,
    Missing,
    NotIn,
    Selector,
    could_match_both,
)

NAMES = st.sampled_from(["zone", "kind", "tier"])
VALUES = st.sampled_from(["a", "b", "c"])
VALUE_SETS = st.frozensets(VALUES, min_size=1)
REQUIREMENTS = st.one_of(
    st.builds(In, NAMES, VALUE_SETS),
    st.builds(NotIn, NAMES, VALUE_SETS),
    st.builds(Exists, NAMES),
    st.builds(Missing, NAMES),
)
SELECTORS = st.builds(Selector, st.lists(REQUIREMENTS, max_size=4).map(tuple))
ANY_VALUE = st.sampled_from(["a", "b", "c", "d"])
LABELS = st.dictionaries(NAMES, ANY_VALUE)


def reference_matches(selector, labels):
    for requirement in selector.requirements:
        value = labels.get(requirement.label)
        match requirement:
            case In():
                satisfied = value is not None and value in requirement.values
            case NotIn():
                satisfied = value is None or value not in requirement.values
            case Exists():
                satisfied = value is not None
            case Missing():
                satisfied = value is None
        if not satisfied:
            return False
    return True


class SelectorTest(unittest.TestCase):
    def test_parse_returns_the_requirements(self):
        cases = {
            "": (),
            "zone=a": (In("zone", frozenset("a")),),
            "zone == a": (In("zone", frozenset("a")),),
            "zone!=a,beta": (NotIn("zone", frozenset("a")), Exists("beta")),
            "tier in (gold, silver), !old": (
                In("tier", frozenset(("gold", "silver"))),
                Missing("old"),
            ),
            "tier notin (x)": (NotIn("tier", frozenset("x")),),
        }
        for text, requirements in cases.items():
            with self.subTest(text):
                self.assertEqual(Selector.parse(text).requirements, requirements)

    def test_invalid_text_is_rejected(self):
        for text in ("=a", "a=", "a in ()", "a in (b", "a,,b", "a b", "a=b=c", "a in (b c)"):
            with self.subTest(text), self.assertRaises(SelectorInvalid):
                Selector.parse(text)

    @settings(derandomize=True, deadline=None)
    @given(SELECTORS)
    def test_printed_selector_parses_to_itself(self, selector):
        self.assertEqual(Selector.parse(str(selector)), selector)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(SELECTORS, LABELS)
    def test_matches_agrees_with_the_reference(self, selector, labels):
        self.assertEqual(selector.matches(labels), reference_matches(selector, labels))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(SELECTORS, SELECTORS, LABELS)
    def test_selectors_that_match_the_same_labels_could_match_both(self, first, second, labels):
        if first.matches(labels) and second.matches(labels):
            self.assertTrue(could_match_both(first, second, frozenset()))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(SELECTORS, SELECTORS)
    def test_could_match_both_agrees_with_exhaustive_search(self, first, second):
        choices = [None, "a", "b", "c", "d"]
        some_labels_match_both = any(
            first.matches(labels) and second.matches(labels)
            for zone in choices
            for kind in choices
            for tier in choices
            for labels in [_labels(zone=zone, kind=kind, tier=tier)]
        )
        self.assertEqual(could_match_both(first, second, frozenset()), some_labels_match_both)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(SELECTORS, max_size=3), LABELS, LABELS)
    def test_labels_with_equal_projections_match_the_same_selectors(self, selectors, first, second):
        projection = LabelProjection.from_selectors(selectors)
        if projection.project(first) == projection.project(second):
            for selector in selectors:
                self.assertEqual(selector.matches(first), selector.matches(second))


def _labels(**values):
    return {name: value for name, value in values.items() if value is not None}
