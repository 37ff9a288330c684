"""What a dispatcher answers depending on the age of the configuration that it knows."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from unittest import mock

from heronstall.dataplane.ingress import CONFIGURATION_WAIT_S, Ingress
from heronstall.distribution.freshness import StalenessLimits
from heronstall.routing.routes import Routes
from tests.tier.test_routing import sample_routes

LIMITS = StalenessLimits(unknown_route_limit=1.2, service_limit=6.2)


class Answers(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.age = 0.0
        forwarder = mock.Mock()
        forwarder.forward = mock.AsyncMock(return_value=mock.Mock(status=200, prepared=True))
        deferred = mock.Mock()
        deferred.switch.busy = False
        self.ingress = Ingress(forwarder, mock.Mock(), deferred, random.Random(1), lambda: self.age, LIMITS)
        self.ingress.routes = sample_routes()

    async def status(self, path: str, age: float, extra_headers: dict[str, str] | None = None) -> int:
        self.age = age
        headers = {"Host": "h.example", **(extra_headers or {})}
        request = mock.Mock(raw_path=path, headers=headers, raw_headers=(), method="POST")
        request.read = mock.AsyncMock(return_value=b"")
        return (await self.ingress.handle(request)).status

    async def test_an_unknown_route_gets_503_once_the_configuration_is_stale(self) -> None:
        self.assertEqual(await self.status("/none/", 1.1), 404)
        self.assertEqual(await self.status("/none/", 1.3), 503)
        self.assertEqual(await self.status("/none/", 6.3), 503)

    async def test_known_routes_are_served_until_a_lost_core_must_have_recovered(self) -> None:
        self.assertEqual(await self.status("/a/x", 1.3), 200)
        self.assertEqual(await self.status("/a/x", 6.1), 200)
        self.assertEqual(await self.status("/a/x", 6.3), 503)
        self.assertFalse(self.ingress.may_serve)

    async def test_requests_before_the_first_configuration_get_503(self) -> None:
        self.ingress.routes = Routes()
        began = time.monotonic()
        self.assertEqual(await self.status("/a/x", 0.0), 503)
        self.assertLess(time.monotonic() - began, CONFIGURATION_WAIT_S + 0.3)
        self.assertFalse(self.ingress.may_serve)

    async def test_a_request_just_before_the_first_configuration_waits_for_it(self) -> None:
        self.ingress.routes = Routes()
        answer = asyncio.create_task(self.status("/a/x", 0.0))
        await asyncio.sleep(0.05)
        self.assertFalse(answer.done())
        self.ingress.routes = sample_routes()
        self.assertEqual(await answer, 200)

    async def test_the_wait_ends_at_half_of_a_short_deadline(self) -> None:
        self.ingress.routes = Routes()
        began = time.monotonic()
        self.assertEqual(await self.status("/a/x", 0.0, {"Heronstall-Deadline-Ms": "100"}), 503)
        self.assertLess(time.monotonic() - began, CONFIGURATION_WAIT_S / 2)


if __name__ == "__main__":
    unittest.main()
