"""Tests of what callers get while endpoints fail at once, without connections."""

import unittest

from yewloom.tests.failing_endpoints import Behaviour, Play, Script

FAULT_S = 2.0
"""When the fault begins."""

FAILURES = (Behaviour.SERVER_ERROR, Behaviour.TRUNCATED, Behaviour.UNREADABLE)


def one_fails(behaviour: Behaviour) -> Script:
    """Return a script by which the first endpoint fails every request."""

    def script(name: str, body: bytes, now_s: float) -> Behaviour:
        return behaviour if name == "e0" and now_s >= FAULT_S else Behaviour.SOUND

    return script


class TestFailingEndpoints(unittest.TestCase):
    """An endpoint that fails at once looks idle; it must not draw the work for that."""

    def test_an_endpoint_that_fails_everything_gets_a_small_share(self) -> None:
        for behaviour in FAILURES:
            with self.subTest(behaviour=behaviour):
                play = Play(one_fails(behaviour)).run()
                self.assertLess(play.share("e0", FAULT_S), 0.1)
                self.assertLess(play.failed_share(FAULT_S), 0.03)
