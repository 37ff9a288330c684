"""What a dispatcher answers by the age of the configuration that it knows."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from heronstall.dataplane.ingress import Ingress
from heronstall.distribution.freshness import KnowledgeLimits
from tests.tier.test_dataplane import routes

LIMITS = KnowledgeLimits(refuse=1.2, serve=6.2)


class Answers(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.age = 0.0
        forwarder = mock.Mock()
        forwarder.carry = mock.AsyncMock(return_value=mock.Mock(status=200, prepared=True))
        deferred = mock.Mock()
        deferred.switch.busy = False
        self.ingress = Ingress(forwarder, mock.Mock(), deferred, random.Random(1), lambda: self.age, LIMITS)
        self.ingress.routes = routes()

    async def status(self, path: str, age: float) -> int:
        self.age = age
        request = mock.Mock(raw_path=path, headers={"Host": "h.example"}, raw_headers=(), method="POST")
        request.read = mock.AsyncMock(return_value=b"")
        return (await self.ingress.handle(request)).status

    async def test_a_route_that_is_not_known_may_be_new_once_news_is_old(self) -> None:
        self.assertEqual(await self.status("/none/", 1.1), 404)
        self.assertEqual(await self.status("/none/", 1.3), 503)
        self.assertEqual(await self.status("/none/", 6.3), 503)

    async def test_known_routes_are_served_until_a_lost_core_must_be_back(self) -> None:
        self.assertEqual(await self.status("/a/x", 1.3), 200)
        self.assertEqual(await self.status("/a/x", 6.1), 200)
        self.assertEqual(await self.status("/a/x", 6.3), 503)
        self.assertFalse(self.ingress.may_serve)

    async def test_before_the_first_configuration_nothing_is_refused_for_good(self) -> None:
        self.ingress.routes = type(self.ingress.routes)()
        self.assertEqual(await self.status("/a/x", 0.0), 503)
        self.assertFalse(self.ingress.may_serve)


if __name__ == "__main__":
    unittest.main()
