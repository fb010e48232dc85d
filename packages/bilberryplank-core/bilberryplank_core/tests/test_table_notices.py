"""Peer notices of tables under loss, delay, duplication, reordering and restarts."""

import math
import unittest
from random import Random

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core.direct import TABLE_FORMAT, NoticeInvalid, TableNotice, UnchangedSpan


class StoreModel:
    """A store with one revision counter for all tables; records changes of the watched table."""

    def __init__(self, rng):
        self.rng, self.revision, self.changes, self.now = rng, 0, [], 0.0

    def step(self):
        self.now += 0.1
        if self.rng.random() < 0.7:
            self.revision += 1
            if self.rng.random() < 0.15:
                self.changes.append((self.now, self.revision))

    def read(self, after, most=2):
        """Returns one page of changes after a revision, and the revision to continue from."""
        revisions = [revision for _, revision in self.changes if revision > after]
        page = revisions[:most]
        return page, page[-1] if len(revisions) > most else self.revision

    def newest_at(self, as_of):
        return max((revision for at, revision in self.changes if at <= as_of), default=0)


class TablePoller:
    def __init__(self, store):
        self.store, self.revision, self.span = store, None, UnchangedSpan(1)

    def read(self):
        if self.revision is None:
            self.revision = self.store.revision
            self.span.record_answer(self.revision, True)
        else:
            page, self.revision = self.store.read(self.revision)
            self.span.record_answer(self.revision, bool(page))
        return self.span.make_notice("t", self.store.now)

    def fail(self):
        self.revision = None
        self.span.record_failure()


class Listener:
    """What a table watch does with notices; `held` is the last change that it applied."""

    def __init__(self, store):
        self.store, self.calls = store, 0
        self.revision, self.held = store.revision, store.newest_at(store.now)

    def read(self):
        self.calls += 1
        page, self.revision = self.store.read(self.revision, most=99)
        self.held = max([self.held, *page])

    def receive(self, notice):
        """Returns the time as of which the table is confirmed; None if it is not."""
        if not notice.covers(1, self.revision):
            self.read()
            return None
        if notice.store_time is not None:
            self.revision = max(self.revision, notice.upto)
        return notice.store_time


class TableNoticesTest(unittest.TestCase):
    def play(self, seed, steps=400):
        rng = Random(seed)
        store = StoreModel(rng)
        pollers, listeners = [TablePoller(store) for _ in range(3)], [
            Listener(store) for _ in range(4)
        ]
        wire, confirmed, delivered = [], 0, 0
        for _ in range(steps):
            store.step()
            poller = rng.choice(pollers)
            if rng.random() < 0.03:
                poller.fail()
            notice = poller.read()
            wire += [TableNotice.decode(notice.encode())] * rng.choice((0, 1, 1, 1, 2))
            while wire and rng.random() < 0.8:
                notice_in_transit = wire.pop(rng.randrange(len(wire)))
                listener = rng.choice(listeners)
                if rng.random() < 0.02:
                    listener.read()
                as_of = listener.receive(notice_in_transit)
                delivered += 1
                if as_of is not None:
                    confirmed += 1
                    self.assertGreaterEqual(listener.held, store.newest_at(as_of), seed)
        return delivered, confirmed, sum(listener.calls for listener in listeners)

    def test_no_entry_confirms_a_time_whose_changes_it_lacks(self):
        for seed in range(300):
            self.play(seed)

    def test_notices_replace_most_reads(self):
        delivered, confirmed, calls = self.play(1, steps=4000)
        self.assertGreater(confirmed, 0.5 * delivered)
        self.assertLess(calls, 0.5 * delivered)

    def test_after_a_failed_read_a_poller_sends_nothing_until_it_has_read_all_rows(self):
        span = UnchangedSpan(1)
        self.assertIsNone(span.make_notice("t", 1.0))
        span.record_answer(5, True)
        span.record_answer(9, False)
        self.assertEqual(span.make_notice("t", 2.0), TableNotice("t", 1, 5, 9, 2.0))
        span.record_failure()
        self.assertIsNone(span.make_notice("t", 3.0))
        span.record_answer(12, False)
        self.assertFalse(span.make_notice("t", 4.0).covers(1, 9))

    def test_a_revision_of_another_era_is_not_covered(self):
        span = UnchangedSpan(2)
        span.record_answer(5, True)
        notice = span.make_notice("t", 1.0)
        self.assertTrue(notice.covers(2, 9))
        self.assertFalse(notice.covers(1, 9))
        self.assertTrue(notice.is_newer_than(TableNotice("t", 1, 40, 90, 0.5)))


class EncodingTest(unittest.TestCase):
    def test_a_time_or_revision_beyond_all_bounds_is_rejected(self):
        good = [TABLE_FORMAT, "t", 1, 1, 2, 1.0]
        TableNotice.decode(msgpack.packb(good))
        odd = [(5, each) for each in (math.inf, math.nan, -1.0, 1e300)]
        for place, value in (*odd, (2, 2**53), (4, 2**64 - 1)):
            data = msgpack.packb([*good[:place], value, *good[place + 1 :]])
            with self.subTest(value=value), self.assertRaises(NoticeInvalid):
                TableNotice.decode(data)

    def test_decoding_reverses_encoding(self):
        for notice in (TableNotice("op", 1, 3, 9, 12.5), TableNotice("op", 0, 0, 0, None)):
            self.assertEqual(TableNotice.decode(notice.encode()), notice)

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_datagram_is_decoded_or_rejected(self, data):
        try:
            notice = TableNotice.decode(data)
        except NoticeInvalid:
            return
        self.assertLessEqual(notice.unchanged_since, notice.upto)
        self.assertLessEqual(len(notice.table), 64)
