"""The check of histories: what one register explains, and what none does."""

from __future__ import annotations

import unittest

from tests.tier.register_history import Answer, Call, explained


def change(start: float, end: float, answer: Answer, base: int, revision: int, content: str = "x") -> Call:
    return Call(start, end, answer, base, revision, content)


def read(start: float, end: float, revision: int, content: str = "x") -> Call:
    return Call(start, end, Answer.READ, 0, revision, content)


TAKEN, STALE, UNCLEAR = Answer.TAKEN, Answer.STALE, Answer.UNCLEAR


class Explained(unittest.TestCase):
    def assert_explained(self, *calls: Call) -> None:
        self.assertTrue(explained(calls))

    def test_changes_in_turn_and_reads(self) -> None:
        self.assert_explained(
            change(0, 1, TAKEN, 0, 1), read(2, 3, 1), change(4, 5, TAKEN, 1, 2), read(6, 7, 2)
        )

    def test_of_two_at_once_one_wins(self) -> None:
        self.assert_explained(
            change(0, 5, TAKEN, 0, 1, "a"), change(0, 5, STALE, 0, 1, "b"), read(6, 7, 1, "a")
        )

    def test_a_read_beside_a_change_may_see_either(self) -> None:
        self.assert_explained(change(0, 5, TAKEN, 0, 1), read(1, 2, 0, ""), read(3, 4, 1))

    def test_a_change_without_an_answer_may_take_effect_late_or_never(self) -> None:
        lost = change(0, 1, UNCLEAR, 0, 1)
        self.assert_explained(lost, read(2, 3, 0, ""), read(4, 5, 1))
        self.assert_explained(lost, read(2, 3, 0, ""), change(4, 5, TAKEN, 0, 2, "y"))

    def test_a_repeat_is_taken_once(self) -> None:
        first = change(0, 1, UNCLEAR, 0, 1)
        self.assert_explained(
            first, change(2, 3, TAKEN, 1, 2, "y"), change(4, 5, TAKEN, 0, 1), read(6, 7, 2, "y")
        )


class NotExplained(unittest.TestCase):
    def assert_not(self, *calls: Call) -> None:
        self.assertFalse(explained(calls))

    def test_two_changes_on_one_base(self) -> None:
        self.assert_not(change(0, 5, TAKEN, 0, 1, "a"), change(0, 5, TAKEN, 0, 2, "b"))

    def test_an_old_read_after_an_acknowledgement(self) -> None:
        self.assert_not(change(0, 1, TAKEN, 0, 1), read(2, 3, 0, ""))

    def test_a_refused_change_in_force(self) -> None:
        self.assert_not(change(0, 1, STALE, 0, 1), read(2, 3, 1))

    def test_a_taken_change_refused_when_it_comes_again(self) -> None:
        self.assert_not(change(0, 1, TAKEN, 0, 1), change(2, 3, STALE, 0, 1))

    def test_a_change_refused_while_nothing_else_was_taken(self) -> None:
        self.assert_not(change(0, 1, STALE, 0, 1))

    def test_two_reads_that_go_back(self) -> None:
        self.assert_not(change(0, 9, TAKEN, 0, 1), read(1, 2, 1), read(3, 4, 0, ""))

    def test_anothers_content_under_a_number(self) -> None:
        self.assert_not(change(0, 5, TAKEN, 0, 1, "a"), change(0, 5, STALE, 0, 1, "b"), read(6, 7, 1, "b"))


if __name__ == "__main__":
    unittest.main()
