"""Route lookup: the longest matching path prefix of the host is found."""

from __future__ import annotations

import unittest

from nose2.tools import params

from quaymill.version.request_routes import (
    RequestRoute,
    RequestRoutes,
    RouteKind,
    WeightedService,
)


def route(host: str, prefix: str) -> RequestRoute:
    services = (WeightedService("s", 1.0),)
    return RequestRoute(f"{host}{prefix}", host, prefix, RouteKind.IDEMPOTENT, services, 1, 1)


ROUTES = RequestRoutes(
    1, (route("h", "/a/"), route("h", "/a/b/"), route("h", "/a/b/c/d/"), route("g", "/"))
)


class FindTest(unittest.TestCase):
    """Lookups by host and path."""

    @params(
        ("h", "/a/x", "h/a/"),
        ("h", "/a/", "h/a/"),
        ("h", "/a", None),
        ("h", "/a/b/c/x", "h/a/b/"),
        ("h", "/a/b/c/d/x", "h/a/b/c/d/"),
        ("h", "/ab/x", None),
        ("h", "/", None),
        ("g", "/anything/x", "g/"),
        ("other", "/a/x", None),
        ("h", "", None),
    )
    def test_find(self, host, path, name):
        found = ROUTES.find(host, path)
        self.assertEqual(name, None if found is None else found.name)
