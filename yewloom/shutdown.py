"""The steps of a planned stop: notice to the balancer, time for requests to end, and the end."""

from collections.abc import Callable
from typing import Protocol

import structlog
import trio

from yewloom.caller_activity import CallerActivity
from yewloom.planned_stop import LAST_ANSWERS_S, PlannedStop

logger = structlog.get_logger(__name__)

ENDED_AT_ONCE = 8
"""Requests that are cut off before the clock is looked at again: some 8 ms of processor time, which
a host with a tenth of a core gets within 0.1 s."""

LAST_PASSES = 4
"""Passes of the loop in which what has arrived goes out before requests are cut off: an event takes
one to be read and one to be sent, and so does the end of its stream."""

LOOK_S = 0.2
"""Pause between two looks when open requests must be cut off, which may come to be earlier."""


class Listener(Protocol):
    """The server of callers, as far as a stop needs it."""

    activity: CallerActivity

    def stop_taking(self) -> None:
        """Accept no connection and take no request any more; open requests go on."""
        ...


class OpenRequests(Protocol):
    """The requests that a stop may have to cut off."""

    def end_open(self, at_most: int) -> bool:
        """Give so many their final answers, the oldest first; tell whether there were any."""
        ...


class ExitAlarm(Protocol):
    """What ends the process at a time, whatever its loop does."""

    def start(self, left_s: Callable[[], float], on_late: Callable[[float], None]) -> None:
        """Begin; ``left_s`` returns the seconds left, ``on_late`` is told how late it was."""
        ...


class Shutdown:
    """Stops a host without cutting requests off, within the time that the platform allows.

    How long it takes to end a request depends on the share of a core that the host gets. So the
    last ones are ended a few at a time, and what is left when the time is up ends with the process:
    its callers see a closed connection, as they would if the platform killed the process. The alarm
    is for a loop that is in the middle of a pass by then.
    """

    def __init__(
        self, plan: PlannedStop, callers: Listener, requests: OpenRequests, alarm: ExitAlarm
    ) -> None:
        self._plan = plan
        self._callers = callers
        self._activity = callers.activity
        self._requests = requests
        self._alarm = alarm

    async def run(self, asked_s: float, unnoticed_s: float = 0.0) -> None:
        """Stop, as asked for at some time or a little before; requests may be open at the end."""
        logger.info(
            "stopping",
            open_requests=self._activity.open_requests,
            late_ms=round((trio.current_time() - asked_s) * 1000),
            unnoticed_ms=round(unnoticed_s * 1000),
        )
        self._plan.begin(asked_s, unnoticed_s)
        self._alarm.start(lambda: self._plan.exits_s - trio.current_time(), self._plan.note_late)
        self._activity.start_leaving()
        await trio.sleep_until(self._plan.closes_s)
        self._callers.stop_taking()
        await self._wait_for_open_requests()
        with trio.move_on_at(self._plan.exits_s):
            await self._end_open_requests()

    async def _wait_for_open_requests(self) -> None:
        """Wait until no request is open, or until the rest must be cut off."""
        plan, activity = self._plan, self._activity
        while (now_s := trio.current_time()) < plan.cut_off_s(activity.open_requests):
            cut_off_s = plan.cut_off_s(activity.open_requests)
            with trio.move_on_at(min(cut_off_s, now_s + LOOK_S)):
                await activity.wait_until_idle()
                return

    async def _end_open_requests(self) -> None:
        """Give the requests that are left their last answers, behind what has arrived for them."""
        for _ in range(LAST_PASSES):
            await trio.lowlevel.checkpoint()
        while self._requests.end_open(ENDED_AT_ONCE):
            await trio.lowlevel.checkpoint()
        with trio.move_on_after(LAST_ANSWERS_S):
            await self._activity.wait_until_idle()
