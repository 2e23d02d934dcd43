"""Tests of the steps of a planned stop, on a clock that the tests move."""

import unittest
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import trio
import trio.testing

from yewloom.caller_activity import CallerActivity
from yewloom.planned_stop import EXIT_MARGIN_S, PlannedStop
from yewloom.shutdown import ENDED_AT_ONCE, Shutdown

GRACE_S = 8.0


class Requests:
    """Requests that end only when they are cut off, each after some time of a slow host."""

    def __init__(self, clock: trio.testing.MockClock, count: int, end_s: float) -> None:
        self.activity = CallerActivity()
        self.ended: list[int] = []
        self._clock = clock
        self._end_s = end_s
        self._open = list(self._begin(count))

    def _begin(self, count: int) -> Iterator[tuple[int, ExitStack]]:
        for number in range(count):
            request = ExitStack()
            request.enter_context(self.activity.request())
            yield number, request

    def end_by_itself(self) -> None:
        """Let the oldest request end with its whole answer."""
        if self._open:
            _, request = self._open.pop(0)
            request.close()

    def stop_taking(self) -> None:
        """Close the server."""
        self.activity.stop_taking()

    def end_open(self, at_most: int) -> bool:
        """Cut some off; the clock runs on meanwhile."""
        cut_off, self._open = self._open[:at_most], self._open[at_most:]
        for number, request in cut_off:
            self.ended.append(number)
            self._clock.jump(self._end_s)
            request.close()
        return bool(cut_off)


class Alarm:
    """An alarm that notes its time, and comes as late as it is told to."""

    delay_s = 0.0
    late_s = 0.0

    def start(self, left_s: Callable[[], float], on_late: Callable[[float], None]) -> None:
        """Note the time."""
        self.delay_s = left_s()
        on_late(self.late_s)


class TestShutdown(unittest.TestCase):
    """A stop ends in time on a host of any pace."""

    def setUp(self) -> None:
        self.alarm = Alarm()

    def _stop(self, count: int, end_s: float) -> tuple[Requests, int, float]:
        """Stop a host; return its requests, how many were left open and when it ended."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        requests = Requests(clock, count, end_s)

        async def stop() -> tuple[int, float]:
            began_s = trio.current_time()
            shutdown = Shutdown(PlannedStop(GRACE_S), requests, requests, self.alarm)
            await shutdown.run(began_s)
            return requests.activity.open_requests, trio.current_time() - began_s

        return requests, *trio.run(stop, clock=clock)

    def test_a_host_without_work_ends_once_the_balancer_knows(self) -> None:
        _, left, took_s = self._stop(0, 0.0)
        self.assertEqual(left, 0)
        self.assertLess(took_s, GRACE_S / 2)

    def test_an_answer_that_has_arrived_when_the_rest_is_cut_off_goes_out(self) -> None:
        """Guards against answers that are lost because the host is late when its stop ends."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        requests = Requests(clock, 1, 0.001)
        plan = PlannedStop(GRACE_S)

        async def stop() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pass_on)
                began_s = trio.current_time()
                await Shutdown(plan, requests, requests, self.alarm).run(began_s)

        async def pass_on() -> None:
            await trio.lowlevel.checkpoint()
            await trio.sleep_until(plan.cut_off_s(1))
            await trio.lowlevel.checkpoint()
            requests.end_by_itself()

        trio.run(stop, clock=clock)
        self.assertEqual(requests.ended, [])

    def test_the_alarm_is_set_for_the_time_at_which_the_process_must_end(self) -> None:
        self._stop(0, 0.0)
        self.assertAlmostEqual(self.alarm.delay_s, GRACE_S - EXIT_MARGIN_S)

    def test_a_fast_host_cuts_all_off_in_order_of_their_age(self) -> None:
        requests, left, took_s = self._stop(100, 0.001)
        self.assertEqual((left, requests.ended), (0, list(range(100))))
        self.assertLess(took_s, GRACE_S - EXIT_MARGIN_S)

    def test_a_slow_host_with_much_work_ends_within_its_grace_and_tells_what_is_left(self) -> None:
        """A hundred streams on a host with a twentieth of a core: 20 ms for the end of each."""
        requests, left, took_s = self._stop(100, 0.02)
        self.assertGreater(left, 0)
        self.assertEqual(left, 100 - len(requests.ended))
        self.assertLess(took_s, GRACE_S - EXIT_MARGIN_S + ENDED_AT_ONCE * 0.02)
        self.assertLess(took_s, GRACE_S)

    def test_a_host_that_the_system_lets_wait_ends_that_much_earlier(self) -> None:
        """Its requests are cut off before that, so that they still get their last answers."""
        self.alarm.late_s = 0.5
        requests, left, took_s = self._stop(100, 0.001)
        self.assertEqual((left, requests.ended), (0, list(range(100))))
        self.assertLess(took_s, GRACE_S - 2 * self.alarm.late_s)
