"""Numbers in requests that are larger than messages between nodes can hold, or no numbers at all."""

from __future__ import annotations

import json
import unittest
from unittest import mock

from result import Err, Ok

from heronstall.controlplane.state.documents import MAX_NUMBER, ConfigFault, parse_object
from heronstall.dataplane.batch_api import MAX_ITEM_TOKENS, InvalidSubmission, parse_items
from heronstall.dataplane.ingress import DEFAULT_TIME_LIMIT_S, _requested_time_limit
from heronstall.dataplane.whole_numbers import parse_whole_number

HUGE = ("1e30", "1e999", "-1e30", "9" * 5000, str(2**64), str(2**63), "NaN", "Infinity")


class Numbers(unittest.TestCase):
    def test_configurations_and_heartbeats_hold_numbers_that_messages_can_hold(self) -> None:
        """Guards against a log entry that no replica can read."""
        for text in HUGE:
            with self.subTest(text[:30]):
                parsed = parse_object(f'{{"revision":{text}}}'.encode())
                assert isinstance(parsed, Err)
                self.assertEqual(parsed.err_value[0], ConfigFault.UNREADABLE)
        for number in (0, -5, 1.5, 1_100_000.0, 1e-300, MAX_NUMBER, -MAX_NUMBER):
            self.assertEqual(parse_object(json.dumps({"a": number}).encode()), Ok({"a": number}))

    def test_the_tokens_of_an_item_are_bounded(self) -> None:
        """Guards against a submission that the store cannot read, and that is never answered clearly."""
        for text in ("1e30", "1e999", str(2**64), str(2**63), str(MAX_ITEM_TOKENS + 1), "-1", "true"):
            with self.subTest(text), self.assertRaises(InvalidSubmission):
                parse_items(f'{{"requests":[{{"id":"i","path":"/p","body":"","tokens":{text}}}]}}'.encode())
        whole = f'{{"requests":[{{"id":"i","path":"/p","body":"","tokens":{MAX_ITEM_TOKENS}}}]}}'
        self.assertEqual(parse_items(whole.encode())[0].tokens, MAX_ITEM_TOKENS)

    def test_whole_numbers_have_up_to_nine_decimal_digits(self) -> None:
        """Guards against a 500 for a text that looks like a number."""
        for text in ("", "-1", "1.5", "\u00b2", "\u0663", "9" * 10, "9" * 5000, "x"):
            self.assertIsNone(parse_whole_number(text), text[:20])
        self.assertEqual([parse_whole_number(t) for t in ("0", " 7 ", "9" * 9)], [0, 7, 999_999_999])

    def test_a_deadline_that_is_no_number_counts_as_none(self) -> None:
        for text in ("9" * 400, "9" * 5000, "\u00b2", "0", "", "-5"):
            request = mock.Mock(headers={"Heronstall-Deadline-Ms": text})
            self.assertEqual(_requested_time_limit(request), DEFAULT_TIME_LIMIT_S)
        request = mock.Mock(headers={"Heronstall-Deadline-Ms": "2500"})
        self.assertEqual(_requested_time_limit(request), 2.5)
