"""Runs a planned stop: deregistration from the load balancer, time for requests to finish, exit."""

from collections.abc import Callable
from typing import Protocol

import structlog
import trio

from yewloom.caller_activity import CallerActivity
from yewloom.planned_stop import FINAL_RESPONSES_S, PlannedStop

logger = structlog.get_logger(__name__)

CUT_OFF_BATCH_SIZE = 8
"""Requests that are cut off between two checks of the clock: about 8 ms of processor time, which a
host with a tenth of a core gets within 0.1 s."""

FINAL_PASSES = 4
"""Passes of the event loop in which received data is still forwarded before requests are cut off:
an event takes one pass to be read and one to be sent, and so does the end of its stream."""

CHECK_INTERVAL_S = 0.2
"""Interval for checking when open requests must be cut off, because that time may move earlier."""


class Listener(Protocol):
    """The part of the callers' server that a planned stop uses."""

    activity: CallerActivity

    def stop_accepting(self) -> None:
        """Accept no more connections or requests; open requests continue."""
        ...


class OpenRequests(Protocol):
    """The requests that a planned stop may have to cut off."""

    def end_oldest(self, max_requests: int) -> bool:
        """Send final responses to the oldest requests; return whether any were open."""
        ...


class ExitAlarm(Protocol):
    """Ends the process at a set time, even if the event loop is blocked."""

    def start(self, left_s: Callable[[], float], on_late: Callable[[float], None]) -> None:
        """Start; ``left_s`` returns the seconds left, ``on_late`` gets the delay of each signal."""
        ...


class Shutdown:
    """Stops a host without cutting requests off if possible, within the time the platform allows.

    The time to cut off a request depends on the share of a core that the host gets. So the
    remaining requests are cut off a few at a time, and those still open when the time is up end
    with the process: their callers see a closed connection, as if the platform had killed the
    process. The alarm covers a loop that is in the middle of a pass at that time.
    """

    def __init__(
        self, plan: PlannedStop, server: Listener, requests: OpenRequests, alarm: ExitAlarm
    ) -> None:
        self._plan = plan
        self._server = server
        self._activity = server.activity
        self._requests = requests
        self._alarm = alarm

    async def run(self, requested_s: float, unnoticed_s: float = 0.0) -> None:
        """Perform the stop; requests may still be open when it returns."""
        logger.info(
            "stopping",
            open_requests=self._activity.open_requests,
            late_ms=round((trio.current_time() - requested_s) * 1000),
            unnoticed_ms=round(unnoticed_s * 1000),
        )
        self._plan.begin(requested_s, unnoticed_s)
        self._alarm.start(lambda: self._plan.exit_s - trio.current_time(), self._plan.add_delay)
        self._activity.begin_stop(self._plan.stops_accepting_s)
        await trio.sleep_until(self._plan.stops_accepting_s)
        self._stop_accepting()
        await self._wait_for_open_requests()
        with trio.move_on_at(self._plan.exit_s):
            await self._cut_off_open_requests()

    def _stop_accepting(self) -> None:
        """Accept no more connections or requests."""
        late_s = trio.current_time() - self._plan.stops_accepting_s
        self._server.stop_accepting()
        logger.info(
            "stopped accepting",
            open_requests=self._activity.open_requests,
            late_ms=round(late_s * 1000),
        )

    async def _wait_for_open_requests(self) -> None:
        """Wait until no request is open, or until the remaining ones must be cut off."""
        plan, activity = self._plan, self._activity
        while (now_s := trio.current_time()) < plan.cut_off_s(activity.open_requests):
            cut_off_s = plan.cut_off_s(activity.open_requests)
            with trio.move_on_at(min(cut_off_s, now_s + CHECK_INTERVAL_S)):
                await activity.wait_until_idle()
                return

    async def _cut_off_open_requests(self) -> None:
        """Send final responses to the remaining requests, after forwarding received data."""
        for _ in range(FINAL_PASSES):
            await trio.lowlevel.checkpoint()
        while self._requests.end_oldest(CUT_OFF_BATCH_SIZE):
            await trio.lowlevel.checkpoint()
        with trio.move_on_after(FINAL_RESPONSES_S):
            await self._activity.wait_until_idle()
