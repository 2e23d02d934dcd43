"""Tests of the lookup of routes."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yewloom.routes import RouteKind, RouteTable
from yewloom.tests.entry_support import make_route

PREFIXES = st.lists(st.sampled_from(["a", "b", "c"]), max_size=3).map(
    lambda parts: "/" + "".join(f"{part}/" for part in parts)
)


class TestRoutes(unittest.TestCase):
    """The longest prefix of the host's routes wins."""

    @given(st.sets(PREFIXES, min_size=1), PREFIXES)
    def test_the_longest_prefix_is_found(self, prefixes: set[str], path: str) -> None:
        table = RouteTable(make_route(prefix=prefix) for prefix in sorted(prefixes))
        matching = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = table.find("x.example", path)
        expected = max(matching, key=len, default=None)
        self.assertEqual(found.path_prefix if found else None, expected)

    def test_another_host_has_no_route(self) -> None:
        table = RouteTable([make_route()])
        self.assertIsNone(table.find("y.example", "/a/1"))
        self.assertIsNotNone(table.find("X.Example", "/a/1"))

    def test_a_prefix_covers_only_whole_segments(self) -> None:
        self.assertIsNone(RouteTable([make_route()]).find("x.example", "/ab/1"))

    def test_only_repeatable_and_resumable_routes_may_retry(self) -> None:
        self.assertTrue(make_route(RouteKind.RETRYABLE).may_retry)
        self.assertTrue(make_route(RouteKind.STREAM, is_resumable=True).may_retry)
        self.assertFalse(make_route(RouteKind.STREAM).may_retry)
        self.assertFalse(make_route(RouteKind.UNSAFE).may_retry)
