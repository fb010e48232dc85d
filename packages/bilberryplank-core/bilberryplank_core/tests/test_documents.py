import unittest
from dataclasses import dataclass, field
from enum import Enum

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core._documents import DocumentReader
from bilberryplank_core._json_text import parse_json


class Colour(Enum):
    RED = "red"


@dataclass(slots=True, frozen=True)
class Leaf:
    name: str
    colour: Colour = Colour.RED
    size: float | None = None


@dataclass(slots=True, frozen=True)
class Tree:
    leaves: tuple[Leaf, ...] = ()
    labels: dict[str, str] = field(default_factory=dict)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["leaves", "labels", "name", "colour", "size", "x"]), inner, max_size=4
    ),
    max_leaves=12,
)


class DocumentReaderTest(unittest.TestCase):
    def test_values_are_converted_to_the_annotated_types(self):
        document = {"leaves": [{"name": "a", "colour": "red", "size": 2}], "labels": {"k": "v"}}
        reader = DocumentReader()
        tree = reader.read(Tree, document, "tree")
        self.assertEqual(tree, Tree((Leaf("a", Colour.RED, 2.0),), {"k": "v"}))
        self.assertEqual(reader.faults, [])

    def test_faults_carry_the_path_of_the_value(self):
        reader = DocumentReader()
        document = {"leaves": [{"name": 1}, {"colour": []}, 3], "labels": {"k": None}, "y": 0}
        self.assertIsNone(reader.read(Tree, document, "t"))
        expected = [
            "t.y: unknown name (expected labels, leaves)",
            "t.leaves[0].name: is a whole number (expected text)",
            "t.leaves[1].name: missing (expected text)",
            "t.leaves[1].colour: is [] (expected one of red)",
            "t.leaves[2]: is a whole number (expected an object)",
            "t.labels.k: is null (expected text)",
        ]
        self.assertEqual([str(fault) for fault in reader.faults], expected)

    @settings(derandomize=True, max_examples=300)
    @given(JSON)
    def test_any_json_yields_either_an_object_or_faults(self, document):
        reader = DocumentReader()
        tree = reader.read(Tree, document, "t")
        self.assertEqual(tree is None, bool(reader.faults))

    @settings(derandomize=True, max_examples=300)
    @given(st.text(alphabet='{}[]":,/*\\\n 1ae', max_size=30))
    def test_text_with_faults_yields_no_value(self, text):
        value, faults = parse_json(text, "t")
        if faults:
            self.assertIsNone(value)

    def test_comment_markers_and_commas_inside_strings_are_kept(self):
        value, faults = parse_json('{"a": "// /* ,] \\" */", /* , */ "b": [1, 2,], // c\n}', "t")
        self.assertEqual((value, faults), ({"a": '// /* ,] " */', "b": [1, 2]}, []))
