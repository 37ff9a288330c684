"""Tests of the linearizability check: histories that it accepts, and histories that it rejects."""

from __future__ import annotations

import unittest

from tests.tier.register_history import Answer, Call, is_linearizable


def change(start: float, end: float, answer: Answer, base: int, revision: int, content: str = "x") -> Call:
    return Call(start, end, answer, base, revision, content)


def read(start: float, end: float, revision: int, content: str = "x") -> Call:
    return Call(start, end, Answer.READ, 0, revision, content)


ACCEPTED, STALE, UNKNOWN = Answer.ACCEPTED, Answer.STALE, Answer.UNKNOWN


class LinearizableHistories(unittest.TestCase):
    def assert_linearizable(self, *calls: Call) -> None:
        self.assertTrue(is_linearizable(calls))

    def test_sequential_changes_and_reads(self) -> None:
        self.assert_linearizable(
            change(0, 1, ACCEPTED, 0, 1), read(2, 3, 1), change(4, 5, ACCEPTED, 1, 2), read(6, 7, 2)
        )

    def test_one_of_two_concurrent_changes_is_accepted(self) -> None:
        self.assert_linearizable(
            change(0, 5, ACCEPTED, 0, 1, "a"), change(0, 5, STALE, 0, 1, "b"), read(6, 7, 1, "a")
        )

    def test_read_concurrent_with_a_change_may_return_either_state(self) -> None:
        self.assert_linearizable(change(0, 5, ACCEPTED, 0, 1), read(1, 2, 0, ""), read(3, 4, 1))

    def test_change_with_unknown_outcome_may_take_effect_late_or_never(self) -> None:
        lost = change(0, 1, UNKNOWN, 0, 1)
        self.assert_linearizable(lost, read(2, 3, 0, ""), read(4, 5, 1))
        self.assert_linearizable(lost, read(2, 3, 0, ""), change(4, 5, ACCEPTED, 0, 2, "y"))

    def test_repeated_change_takes_effect_once(self) -> None:
        first = change(0, 1, UNKNOWN, 0, 1)
        self.assert_linearizable(
            first, change(2, 3, ACCEPTED, 1, 2, "y"), change(4, 5, ACCEPTED, 0, 1), read(6, 7, 2, "y")
        )


class NonLinearizableHistories(unittest.TestCase):
    def assert_not_linearizable(self, *calls: Call) -> None:
        self.assertFalse(is_linearizable(calls))

    def test_two_accepted_changes_to_one_base(self) -> None:
        self.assert_not_linearizable(change(0, 5, ACCEPTED, 0, 1, "a"), change(0, 5, ACCEPTED, 0, 2, "b"))

    def test_stale_read_after_an_acknowledged_change(self) -> None:
        self.assert_not_linearizable(change(0, 1, ACCEPTED, 0, 1), read(2, 3, 0, ""))

    def test_rejected_change_that_took_effect(self) -> None:
        self.assert_not_linearizable(change(0, 1, STALE, 0, 1), read(2, 3, 1))

    def test_accepted_change_rejected_when_repeated(self) -> None:
        self.assert_not_linearizable(change(0, 1, ACCEPTED, 0, 1), change(2, 3, STALE, 0, 1))

    def test_change_rejected_without_a_conflicting_change(self) -> None:
        self.assert_not_linearizable(change(0, 1, STALE, 0, 1))

    def test_second_read_returns_an_older_state(self) -> None:
        self.assert_not_linearizable(change(0, 9, ACCEPTED, 0, 1), read(1, 2, 1), read(3, 4, 0, ""))

    def test_content_of_another_change_under_the_same_revision(self) -> None:
        self.assert_not_linearizable(
            change(0, 5, ACCEPTED, 0, 1, "a"), change(0, 5, STALE, 0, 1, "b"), read(6, 7, 1, "b")
        )


if __name__ == "__main__":
    unittest.main()
