"""How many objects and lists a JSON text has, without decoding it."""

from __future__ import annotations

import json
import unittest

from heronstall.dataplane.batch_api import (
    MAX_CONTAINERS,
    MAX_ITEM_HEADERS,
    MAX_ITEMS,
    InvalidSubmission,
    parse_items,
)
from heronstall.json_size import exceeds_containers


class Containers(unittest.TestCase):
    def test_brackets_of_objects_and_lists_count(self) -> None:
        body = json.dumps({"a": [[]] * 8}).encode()
        self.assertFalse(exceeds_containers(body, 10))
        self.assertTrue(exceeds_containers(body, 9))

    def test_brackets_in_texts_do_not_count(self) -> None:
        """Guards against a refusal of legal texts, whatever they hold."""
        texts = ["[" * 50, '\\"[{' * 50, "\\\\", "{", '"', "\\u00e9[[["]
        body = json.dumps({"a": texts}).encode()
        self.assertFalse(exceeds_containers(body, 2))
        self.assertTrue(exceeds_containers(body, 1))

    def test_a_text_without_an_end_is_not_searched_for_long(self) -> None:
        """Guards against a search whose time grows with the square of the body."""
        for body in (b'"' + b"[\\" * 1_000_000, b'"[' * 1_000_000, b'["' * 1_000_001):
            self.assertIsInstance(exceeds_containers(body, 10), bool)

    def test_the_largest_submission_is_far_below_the_limit_and_one_beyond_is_refused(self) -> None:
        item = {"id": "", "path": "/p", "headers": {}, "body": "", "tokens": 0}
        items = [{**item, "id": str(n)} for n in range(MAX_ITEMS)]
        body = json.dumps({"requests": items}).encode()
        self.assertFalse(exceeds_containers(body, MAX_CONTAINERS // 10))
        self.assertEqual(len(parse_items(body)), MAX_ITEMS)
        with self.assertRaisesRegex(InvalidSubmission, "objects and lists"):
            parse_items(b'{"requests":[' + b"[]," * MAX_CONTAINERS + b"[]]}")

    def test_an_item_has_as_many_headers_as_a_request(self) -> None:
        item = {
            "id": "i",
            "path": "/p",
            "body": "",
            "headers": {f"h{n}": "" for n in range(MAX_ITEM_HEADERS)},
        }
        self.assertEqual(
            len(parse_items(json.dumps({"requests": [item]}).encode())[0].headers), MAX_ITEM_HEADERS
        )
        item["headers"] = {f"h{n}": "" for n in range(MAX_ITEM_HEADERS + 1)}
        with self.assertRaisesRegex(InvalidSubmission, r"requests\[0\].headers: at most"):
            parse_items(json.dumps({"requests": [item]}).encode())
