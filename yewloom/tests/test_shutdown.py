"""Tests of the steps of a planned stop, with a simulated clock."""

import unittest
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from unittest import mock

import trio
import trio.testing

from yewloom.caller_activity import CallerActivity
from yewloom.planned_stop import EXIT_MARGIN_S, PlannedStop
from yewloom.shutdown import CUT_OFF_BATCH_SIZE, Shutdown

GRACE_S = 8.0


class Requests:
    """Requests that end only when cut off; each cut-off takes ``end_s`` of simulated time."""

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

    def complete_oldest(self) -> None:
        """End the oldest request with its complete response."""
        if self._open:
            _, request = self._open.pop(0)
            request.close()

    def stop_accepting(self) -> None:
        """Accept no more requests."""
        self.activity.stop_accepting()

    def end_oldest(self, max_requests: int) -> bool:
        """Cut off some requests, and advance the clock for each."""
        cut_off, self._open = self._open[:max_requests], self._open[max_requests:]
        for number, request in cut_off:
            self.ended.append(number)
            self._clock.jump(self._end_s)
            request.close()
        return bool(cut_off)


class Alarm:
    """An alarm that records the time left when it starts, and reports a configured signal delay."""

    left_s = 0.0
    late_s = 0.0

    def start(self, left_s: Callable[[], float], on_late: Callable[[float], None]) -> None:
        """Record the time left, and report the signal delay."""
        self.left_s = left_s()
        on_late(self.late_s)


class TestShutdown(unittest.TestCase):
    """A stop ends in time on hosts of any speed."""

    def setUp(self) -> None:
        self.alarm = Alarm()

    def _stop(self, count: int, end_s: float) -> tuple[Requests, int, float]:
        """Stop a host; return its requests, the number left open, and the duration."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        requests = Requests(clock, count, end_s)

        async def stop() -> tuple[int, float]:
            began_s = trio.current_time()
            shutdown = Shutdown(PlannedStop(GRACE_S), requests, requests, self.alarm)
            await shutdown.run(began_s)
            return requests.activity.open_requests, trio.current_time() - began_s

        return requests, *trio.run(stop, clock=clock)

    def test_a_host_without_work_ends_after_deregistration(self) -> None:
        _, left, took_s = self._stop(0, 0.0)
        self.assertEqual(left, 0)
        self.assertLess(took_s, GRACE_S / 2)

    def test_a_received_response_is_sent_before_requests_are_cut_off(self) -> None:
        """Guards against losing received responses because the host is late when its stop ends."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        requests = Requests(clock, 1, 0.001)
        plan = PlannedStop(GRACE_S)

        async def stop() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(forward_response)
                began_s = trio.current_time()
                await Shutdown(plan, requests, requests, self.alarm).run(began_s)

        async def forward_response() -> None:
            await trio.lowlevel.checkpoint()
            await trio.sleep_until(plan.cut_off_s(1))
            await trio.lowlevel.checkpoint()
            requests.complete_oldest()

        trio.run(stop, clock=clock)
        self.assertEqual(requests.ended, [])

    def test_the_log_says_when_a_host_stopped_accepting_requests(self) -> None:
        """Guards against logs that can't tell a host that never closed from one that did."""
        with mock.patch("yewloom.shutdown.logger") as logger:
            self._stop(1, 0.001)
        logger.info.assert_called_with("stopped accepting", open_requests=1, late_ms=0)

    def test_the_alarm_is_set_for_the_exit_time(self) -> None:
        self._stop(0, 0.0)
        self.assertAlmostEqual(self.alarm.left_s, GRACE_S - EXIT_MARGIN_S)

    def test_a_fast_host_cuts_off_all_requests_oldest_first(self) -> None:
        requests, left, took_s = self._stop(100, 0.001)
        self.assertEqual((left, requests.ended), (0, list(range(100))))
        self.assertLess(took_s, GRACE_S - EXIT_MARGIN_S)

    def test_a_slow_busy_host_ends_within_its_grace(self) -> None:
        """100 streams on a host with a twentieth of a core: 20 ms for cutting off each."""
        requests, left, took_s = self._stop(100, 0.02)
        self.assertGreater(left, 0)
        self.assertEqual(left, 100 - len(requests.ended))
        self.assertLess(took_s, GRACE_S - EXIT_MARGIN_S + CUT_OFF_BATCH_SIZE * 0.02)
        self.assertLess(took_s, GRACE_S)

    def test_a_host_that_is_scheduled_late_ends_earlier(self) -> None:
        """It cuts requests off before its earlier end, so that they get their final responses."""
        self.alarm.late_s = 0.5
        requests, left, took_s = self._stop(100, 0.001)
        self.assertEqual((left, requests.ended), (0, list(range(100))))
        self.assertLess(took_s, GRACE_S - 2 * self.alarm.late_s)
