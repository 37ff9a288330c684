"""A worker's calls to the registry in all orders, and injected faults of the code that these detect."""

from __future__ import annotations

import unittest
from unittest import mock

from heronstall.controlplane.core import Core
from heronstall.controlplane.state.worker_shard import WorkerShard
from tests.tier.registry_model import Bounds, InvariantViolation, explore

STATES = 4_000


class Registry(unittest.TestCase):
    def test_acknowledged_calls_take_effect_in_all_orders_of_calls_and_leader_changes(self) -> None:
        self.assertGreater(explore(Bounds(max_calls=3, max_expirations=0), STATES), 150)

    def test_a_late_heartbeat_does_not_make_an_expired_draining_worker_ready(self) -> None:
        self.assertGreater(explore(Bounds(max_calls=3, max_leader_changes=0), STATES), 100)

    def test_a_late_heartbeat_does_not_register_a_worker_that_has_left(self) -> None:
        bounds = Bounds(max_calls=2, max_expirations=0, max_leader_changes=0, registered=False)
        self.assertGreater(explore(bounds, STATES), 50)

    def test_injected_faults_are_detected(self) -> None:
        for name, wrong, bounds in (
            ("is_gone", False, Bounds(max_calls=4, max_expirations=0, max_leader_changes=0)),
            ("_last_sequence", 0, Bounds(max_calls=3, max_leader_changes=0)),
        ):
            with (
                self.subTest(name, bounds=bounds),
                mock.patch.object(WorkerShard, name, return_value=wrong),
                self.assertRaises(InvariantViolation),
            ):
                explore(bounds, STATES)

    def test_not_recording_the_end_of_an_unknown_worker_is_detected(self) -> None:
        bounds = Bounds(max_calls=2, max_expirations=0, max_leader_changes=0, registered=False)
        with (
            mock.patch.object(Core, "remove_worker", mock.AsyncMock(return_value=True)),
            self.assertRaises(InvariantViolation),
        ):
            explore(bounds, STATES)


if __name__ == "__main__":
    unittest.main()
