"""Which connections give way where clients send too much. Names stand for connections."""

from __future__ import annotations

import unittest

from heronstall.transport.connection_limits import MIN_CONNECTIONS, server_limits
from heronstall.transport.open_connections import SMALL_REQUEST_BYTES, OpenConnections

LIMIT = 16 * SMALL_REQUEST_BYTES
LARGE = 5 * SMALL_REQUEST_BYTES


class Refusals(unittest.TestCase):
    def setUp(self) -> None:
        self.open: OpenConnections[str] = OpenConnections(LIMIT)

    def receive(self, name: str, size: int) -> None:
        """Receives bytes on a connection that is opened for them."""
        if name not in self.open:
            self.open.add(name)
        self.open.receive(name, size)

    def refused(self) -> list[str]:
        """Refuses requests until the others fit, and returns them."""
        found = []
        while (name := self.open.next_to_refuse()) is not None:
            found.append(name)
            self.open.release(name)
        return found

    def test_what_fits_is_not_refused(self) -> None:
        for number in range(2):
            self.receive(f"large-{number}", LARGE)
        self.receive("small", SMALL_REQUEST_BYTES)
        self.assertEqual(self.refused(), [])

    def test_a_single_large_request_fits_whatever_its_size(self) -> None:
        self.receive("large", 2 * LIMIT)
        self.assertEqual(self.refused(), [])

    def test_the_large_request_that_waits_longest_for_more_is_refused(self) -> None:
        for name in ("first", "second", "third"):
            self.receive(name, LARGE)
        self.receive("first", 1)
        self.assertEqual(self.refused(), ["second"])

    def test_large_requests_leave_room_for_small_ones(self) -> None:
        for number in range(20):
            self.receive(f"large-{number}", LARGE)
            self.receive(f"small-{number}", SMALL_REQUEST_BYTES // 8)
            self.assertNotIn(f"small-{number}", self.refused())
            self.assertLessEqual(self.open.received_bytes, LIMIT)

    def test_a_request_that_was_passed_on_is_not_refused_but_counts(self) -> None:
        for name in ("first", "second"):
            self.receive(name, LARGE)
            self.open.hold(name)
        self.receive("third", LARGE)
        self.assertEqual(self.refused(), ["third"])
        self.open.rest("first")
        self.receive("fourth", LARGE)
        self.assertEqual(self.refused(), [])

    def test_many_small_requests_are_refused_from_the_longest_waiting(self) -> None:
        for number in range(17):
            self.receive(f"small-{number}", SMALL_REQUEST_BYTES)
        self.assertEqual(self.refused(), ["small-0"])

    def test_nothing_is_counted_once_all_is_closed(self) -> None:
        for number in range(5):
            self.receive(f"large-{number}", LARGE)
            self.open.receive_behind(f"large-{number}", 100)
        self.refused()
        for number in range(5):
            self.open.remove(f"large-{number}")
            self.open.remove(f"large-{number}")
        self.assertEqual((len(self.open), self.open.received_bytes), (0, 0))
        self.assertEqual(list(self.open.candidates_to_close()), [])


class Closing(unittest.TestCase):
    def test_connections_of_least_use_are_offered_first(self) -> None:
        connections: OpenConnections[str] = OpenConnections(LIMIT)
        for name in ("resting", "new", "held", "large", "small", "newer"):
            connections.add(name)
        connections.rest("resting")
        connections.receive("held", 1)
        connections.hold("held")
        connections.receive("large", LARGE)
        connections.receive("small", 1)
        self.assertEqual(
            list(connections.candidates_to_close()), ["new", "newer", "small", "resting", "large"]
        )


class Limits(unittest.TestCase):
    def test_limits_grow_with_the_machine_and_never_vanish(self) -> None:
        sizes = [server_limits(memory, fds) for memory, fds in ((16, 64), (128, 400), (300, 4100))]
        self.assertEqual(sizes[0].connections, MIN_CONNECTIONS)
        for smaller, larger in zip(sizes, sizes[1:], strict=False):
            self.assertLess(smaller.connections, larger.connections)
            self.assertLess(smaller.received_bytes, larger.received_bytes)
            self.assertLess(smaller.unsent_bytes, larger.unsent_bytes)

    def test_a_machine_of_the_deployments_takes_several_of_the_largest_bodies(self) -> None:
        self.assertGreater(server_limits(160, 4100).received_bytes, 4 * 4 * 1024 * 1024)
