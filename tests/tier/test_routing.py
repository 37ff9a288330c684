"""Routes as the data plane parses them from the configuration."""

from __future__ import annotations

import unittest

import ujson

from heronstall.routing.reading import parse_routes
from heronstall.routing.routes import Routes, RouteType


def sample_routes(fields: dict[str, object] | None = None) -> Routes:
    """Returns routes of each kind; all of them have these fields too."""
    entries: list[dict[str, object]] = [
        {"name": "a", "hostname": "H.example", "path_prefix": "/a/", "route_type": "streaming"},
        {"name": "ab", "hostname": "h.example", "path_prefix": "/a/b/", "route_type": "idempotent"},
        {
            "name": "lots",
            "hostname": "h.example",
            "path_prefix": "/lots/",
            "route_type": "batch",
            "priority": 2,
        },
        {"name": "slow", "hostname": "h.example", "path_prefix": "/slow/", "target_latency_ms": 900},
    ]
    common: dict[str, object] = {
        "timeout_ms": 1000,
        "service": "s",
        "target_latency_ms": 200,
        **(fields or {}),
    }
    document = {"revision": 3, "routes": [{**common, **e} for e in entries], "services": [{"name": "s"}]}
    return parse_routes(ujson.dumps(document).encode())


class Routing(unittest.TestCase):
    def test_longest_matching_path_prefix_wins(self) -> None:
        found = sample_routes()
        for host, path, name in (
            ("h.example", "/a/x", "a"),
            ("h.example:80", "/a/b/x", "ab"),
            ("H.EXAMPLE", "/lots/1", "lots"),
            ("h.example", "/b/", None),
            ("other", "/a/x", None),
        ):
            with self.subTest(host=host, path=path):
                route = found.find(host, path)
                self.assertEqual(route.name if route else None, name)

    def test_repeatable_routes(self) -> None:
        by_name = {r.name: r for r in sample_routes().by_host["h.example"]}
        self.assertFalse(by_name["a"].repeatable)
        self.assertTrue(by_name["ab"].repeatable)
        self.assertIs(by_name["slow"].type, RouteType.NON_IDEMPOTENT)
        self.assertFalse(by_name["slow"].repeatable)

    def test_resumable_makes_streams_repeatable_and_nothing_else(self) -> None:
        """Guards against a non_idempotent request that runs twice on a route that also has `resumable`."""
        found = {r.name: r for r in sample_routes({"resumable": True}).by_host["h.example"]}
        self.assertEqual({n for n, r in found.items() if r.repeatable}, {"a", "ab"})
        self.assertEqual({n for n, r in found.items() if r.resumes_streams}, {"a"})

    def test_route_with_target_latency_well_above_the_shortest_is_deferrable(self) -> None:
        found = sample_routes()
        by_name = {r.name: r for r in found.by_host["h.example"]}
        self.assertFalse(found.is_deferrable(by_name["a"]))
        self.assertTrue(found.is_deferrable(by_name["slow"]))
        self.assertEqual(found.batch_hosts(), {"h.example"})


if __name__ == "__main__":
    unittest.main()
