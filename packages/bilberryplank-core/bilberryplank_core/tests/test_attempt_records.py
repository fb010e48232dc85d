"""A sidecar answers `NeverRan` only for attempts that never run, whatever it has forgotten."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from bilberryplank_core.messages import AttemptId, Head, Load, Usage
from bilberryplank_core.scheduling import (
    AttemptRecords,
    DispatchStatus,
    KeptAnswer,
    NeverRan,
    Running,
    Undecidable,
)

EPOCH = "sidecar-1"
LIFETIME = 10.0
MAX_BYTES = 4096
OLD_LINK, NEW_LINK = 1, 2


def attempt_of(request: str, epoch: str = "entry-1") -> AttemptId:
    return AttemptId(request, 1, epoch)


def run_whole(
    records: AttemptRecords, attempt: AttemptId, now: float = 0.0, size: int = 10
) -> None:
    records.receive(attempt)
    records.dispatch(attempt)
    records.keep_head(attempt, Head(attempt, 200, [], Load()))
    records.keep_part(attempt, b"x" * size)
    records.end(attempt, Usage(1, 2), now)


class AttemptRecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.records = AttemptRecords(MAX_BYTES, LIFETIME, max_forgotten=4, max_tombstones=2)

    def settle(self, attempt: AttemptId, now: float = 0.0):
        return self.records.settle(attempt, EPOCH, EPOCH, now, NEW_LINK)

    def test_settlement_depends_on_the_state(self) -> None:
        def nothing(attempt: AttemptId) -> None:
            pass

        def queued(attempt: AttemptId) -> None:
            self.records.receive(attempt)

        def dispatched(attempt: AttemptId) -> None:
            self.records.receive(attempt)
            self.records.dispatch(attempt)

        def refused(attempt: AttemptId) -> None:
            self.records.receive(attempt)
            self.assertTrue(self.records.refuse(attempt, 0.0))

        def failed(attempt: AttemptId) -> None:
            dispatched(attempt)
            self.assertFalse(self.records.refuse(attempt, 0.0))
            self.records.fail(attempt)

        def expired(attempt: AttemptId) -> None:
            run_whole(self.records, attempt)
            self.records.expire(LIFETIME)

        def too_large(attempt: AttemptId) -> None:
            run_whole(self.records, attempt, size=MAX_BYTES)

        cases = (
            (nothing, NeverRan()),
            (queued, Running(queued=True)),
            (dispatched, Running(queued=False)),
            (refused, NeverRan()),
            (failed, Undecidable()),
            (expired, Undecidable()),
            (too_large, Undecidable()),
        )
        for prepare, expected in cases:
            with self.subTest(prepare.__name__):
                self.setUp()
                attempt = attempt_of("r")
                prepare(attempt)
                self.assertEqual(expected, self.settle(attempt, LIFETIME))
                status = self.records.receive(attempt)
                self.assertNotEqual(DispatchStatus.NEW, status)

    def test_returns_whole_answer_until_acknowledged(self) -> None:
        attempt = attempt_of("r")
        run_whole(self.records, attempt)
        answer = self.settle(attempt)
        self.assertIsInstance(answer, KeptAnswer)
        self.assertEqual((b"x" * 10,), answer.parts)
        self.records.acknowledge(attempt)
        self.assertEqual(0, self.records.kept_bytes)
        self.assertEqual(Undecidable(), self.settle(attempt))
        self.assertIs(DispatchStatus.DUPLICATE, self.records.receive(attempt))

    def test_older_sidecar_epoch_is_undecidable(self) -> None:
        outcome = self.records.settle(attempt_of("r"), "sidecar-0", EPOCH, 0.0, NEW_LINK)
        self.assertEqual(Undecidable(), outcome)

    def test_tombstone_is_kept_while_an_older_link_may_deliver_the_dispatch(self) -> None:
        attempt = attempt_of("r")
        self.records.link_opened(OLD_LINK, "entry-1")
        self.records.link_opened(NEW_LINK, "entry-1")
        self.assertEqual(NeverRan(), self.settle(attempt))
        self.records.expire(100 * LIFETIME)
        self.assertIs(DispatchStatus.TOMBSTONE, self.records.receive(attempt))
        self.records.link_closed(OLD_LINK)
        self.records.expire(100 * LIFETIME)
        self.assertIs(DispatchStatus.DUPLICATE, self.records.receive(attempt))
        outcomes = [self.settle(attempt_of(name), 100 * LIFETIME) for name in "ab"]
        self.assertEqual([NeverRan(), NeverRan()], outcomes)

    def test_refused_attempt_never_runs_even_without_room_for_its_tombstone(self) -> None:
        for name in "abc":
            self.records.receive(attempt_of(name))
            self.assertTrue(self.records.refuse(attempt_of(name), 0.0))
            self.assertIsNot(DispatchStatus.NEW, self.records.receive(attempt_of(name)))

    def test_unknown_attempt_is_undecidable_without_room_for_a_tombstone(self) -> None:
        self.records.link_opened(OLD_LINK, "entry-1")
        outcomes = [self.settle(attempt_of(name), 100 * LIFETIME) for name in "abc"]
        self.assertEqual([NeverRan(), NeverRan(), Undecidable()], outcomes)

    def test_dropped_hash_makes_only_its_entry_epoch_undecidable(self) -> None:
        for number in range(5):
            run_whole(self.records, attempt_of(f"r{number}"))
        self.records.expire(LIFETIME)
        self.assertEqual(Undecidable(), self.settle(attempt_of("r0")))
        self.assertEqual(Undecidable(), self.settle(attempt_of("fresh")))
        self.assertEqual(NeverRan(), self.settle(attempt_of("fresh", "entry-2")))


class NeverRanMachine(RuleBasedStateMachine):
    """Compares the sidecar's `NeverRan` answers with a log that forgets nothing.

    Each entry has one link at a time for new dispatches; an older link may deliver a late dispatch
    until it is closed, and queries use the newest.
    """

    attempts = Bundle("attempts")

    def __init__(self) -> None:
        super().__init__()
        self.records = AttemptRecords(MAX_BYTES, LIFETIME, max_forgotten=3, max_tombstones=3)
        self.newest: dict[str, int] = {}
        self.open: set[int] = set()
        self.sent: dict[AttemptId, int] = {}
        self.arrived: set[AttemptId] = set()
        self.links = 0
        for epoch in "ab":
            self.reconnect(epoch)
        self.now = 0.0
        self.count = 0
        self.ran: set[AttemptId] = set()
        self.answered_not_run: set[AttemptId] = set()

    @rule(epoch=st.sampled_from("ab"))
    def reconnect(self, epoch: str) -> None:
        self.links += 1
        self.newest[epoch] = self.links
        self.open.add(self.links)
        self.records.link_opened(self.links, epoch)

    @rule(index=st.integers(0, 3))
    def close(self, index: int) -> None:
        old = sorted(self.open - set(self.newest.values()))
        if index < len(old):
            self.open.discard(old[index])
            self.records.link_closed(old[index])

    @rule(target=attempts, epoch=st.sampled_from("ab"))
    def send(self, epoch: str) -> AttemptId:
        self.count += 1
        attempt = AttemptId(f"r{self.count}", 1, epoch)
        self.sent[attempt] = self.newest[epoch]
        return attempt

    @rule(attempt=attempts)
    def arrive(self, attempt: AttemptId) -> None:
        if attempt in self.arrived or self.sent[attempt] not in self.open:
            return
        self.arrived.add(attempt)
        if self.records.receive(attempt) is DispatchStatus.NEW:
            assert attempt not in self.answered_not_run

    @rule(attempt=attempts)
    def dispatch(self, attempt: AttemptId) -> None:
        if self.records.dispatch(attempt):
            assert attempt not in self.ran, "ran twice"
            self.ran.add(attempt)

    @rule(attempt=attempts)
    def refuse(self, attempt: AttemptId) -> None:
        if self.records.refuse(attempt, self.now):
            self.answered_not_run.add(attempt)

    @rule(attempt=attempts, size=st.sampled_from((1, 500, 5000)))
    def answer(self, attempt: AttemptId, size: int) -> None:
        self.records.keep_head(attempt, Head(attempt, 200, [], Load()))
        self.records.keep_part(attempt, b"x" * size)
        self.records.end(attempt, Usage(), self.now)

    @rule(attempt=attempts, size=st.sampled_from((1, 5000)))
    def run_whole(self, attempt: AttemptId, size: int) -> None:
        self.arrive(attempt)
        self.dispatch(attempt)
        self.answer(attempt, size)

    @rule(attempt=attempts)
    def fail(self, attempt: AttemptId) -> None:
        self.records.fail(attempt)

    @rule(attempt=consumes(attempts))
    def acknowledge(self, attempt: AttemptId) -> None:
        self.records.acknowledge(attempt)

    @rule(attempt=attempts)
    def settle(self, attempt: AttemptId) -> None:
        if self.newest[attempt.epoch] == self.sent[attempt]:
            self.reconnect(attempt.epoch)
        link = self.newest[attempt.epoch]
        if self.records.settle(attempt, EPOCH, EPOCH, self.now, link) == NeverRan():
            self.answered_not_run.add(attempt)

    @rule(seconds=st.sampled_from((1.0, 11.0)))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.records.expire(self.now)

    @invariant()
    def no_attempt_answered_as_never_run_has_run(self) -> None:
        assert not self.answered_not_run & self.ran
        assert self.records.kept_bytes <= MAX_BYTES + 512 * self.count


NeverRanMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None, database=None
)
NeverRanTest = NeverRanMachine.TestCase
