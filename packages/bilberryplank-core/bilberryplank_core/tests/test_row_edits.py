"""Edits of a row under random changes, and under datagrams of any content."""

import unittest
from random import Random

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core.direct import (
    EDIT_FORMAT,
    NoticeInvalid,
    RowEdit,
    compare_values,
    pack_exactly,
)
from bilberryplank_core.stepwise import finish

SCALARS = (0, 1, 1.0, True, False, None, "", "a", -7, 2**40, 0.5, [], [1], {"name": "n"})


def document(rng):
    """Returns a JSON object with lists of named objects, and with odd members."""
    value = {name: rng.choice(SCALARS) for name in rng.sample("abcdef", rng.randrange(5))}
    for name in ("routes", "tenants"):
        names = rng.sample("pqrstuvw", rng.randrange(8))
        names = sorted(names) if rng.random() < 0.7 else names
        value[name] = [{"name": each, "x": rng.choice(SCALARS)} for each in names]
    if rng.random() < 0.2:
        value["routes"] = value["routes"] + rng.choice(([1], [{}], value["routes"], [{"name": 3}]))
    return value


def changed(rng, value):
    """Returns a value that differs from another one in some places."""
    after = {**value, "version": rng.randrange(9)}
    other = document(rng)
    for name in rng.sample(sorted(other), rng.randrange(len(other))):
        after[name] = other[name]
    for name in rng.sample(sorted(after), rng.randrange(2)):
        del after[name]
    return after


def edit(changes, base=3, revision=5, upto=9):
    return RowEdit("op", 1, base, revision, upto, changes)


def exact(value):
    """Returns what tells apart all values that a decoder may."""
    return pack_exactly({name: value[name] for name in sorted(value)})


class RowEditsTest(unittest.TestCase):
    def test_an_edit_leads_to_exactly_the_value_after(self):
        sent = 0
        for seed in range(3000):
            rng = Random(seed)
            before = document(rng)
            after = changed(rng, before) if rng.random() < 0.8 else document(rng)
            found = edit(finish(compare_values(before, after)))
            data = found.encode()
            if data is not None:
                sent += 1
                self.assertEqual(exact(RowEdit.decode(data).apply(before)), exact(after), seed)
        self.assertGreater(sent, 2500)

    def test_a_change_of_one_route_of_many_fits_into_a_datagram(self):
        routes = [{"name": f"r{number}", "limit": 1} for number in range(5600)]
        before = {"version": 1, "routes": routes, "tenants": [{"name": "acme", "keys": ["k"]}]}
        new, slow = {"name": "new"}, {"name": "r200", "limit": 9}
        after = [*routes[:99], *routes[100:200], new, slow, *routes[201:]]
        after = {**before, "version": 2, "routes": after}
        data = edit(finish(compare_values(before, after))).encode()
        self.assertLess(len(data), 150)
        self.assertEqual(RowEdit.decode(data).apply(before), after)

    def test_values_that_are_no_objects_have_no_edit(self):
        for before, after in ((None, {}), ({}, [1]), (3, 4)):
            self.assertIsNone(finish(compare_values(before, after)))

    def test_a_change_that_is_too_long_or_cannot_be_packed_has_no_datagram(self):
        for value in ("x" * 2000, 10**40, "\ud800"):
            self.assertIsNone(edit(finish(compare_values({}, {"a": value}))).encode())

    def test_odd_numbers_and_changes_are_rejected(self):
        good = [EDIT_FORMAT, "op", 1, 3, 5, 9, {}]
        RowEdit.decode(msgpack.packb(good))
        odd = [(1, 7), (1, "x" * 100), (2, -1), (3, 5), (4, 10), (5, 2**60), (5, 1.0), (6, [])]
        for place, value in odd:
            data = msgpack.packb([*good[:place], value, *good[place + 1 :]])
            with self.subTest(place=place, value=value), self.assertRaises(NoticeInvalid):
                RowEdit.decode(data)

    def test_changes_that_do_not_fit_are_rejected(self):
        before = {"a": 1, "routes": [{"name": "r"}]}
        odd = [{"a": 3}, {"a": []}, {"a": [0]}, {"b": [1]}, {"a": [2, [], []]}, {"a": [9, 1]}]
        odd += [{"routes": [2, [], [], [each]]} for each in ([-1, {}], [9, {}], [True, {}], 3, [])]
        odd += [{"routes": [2, [], [{"name": "s"}], []]}]
        odd += [{"routes": [2, [], []]}, {"routes": [2, [[]], [], []]}]
        for changes in odd:
            with self.subTest(changes=changes), self.assertRaises(NoticeInvalid):
                edit(changes).apply(before)
        with self.assertRaises(NoticeInvalid):
            edit({}).apply(None)

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_datagram_is_decoded_or_rejected(self, data):
        for each in (data, msgpack.packb([EDIT_FORMAT, "op", 1, 3, 5, 9])[1:] + data):
            try:
                RowEdit.decode(each).apply({"a": 1, "routes": [{"name": "r"}]})
            except NoticeInvalid:
                pass
