"""Notices when the endpoint of an attempt has fallen silent, and asks another one beside it."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import structlog
import trio

from yewloom.forward_request import Attempt, ForwardRequest
from yewloom.ids import HostId
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.selection import FULL_AVOIDANCE_S, Selector
from yewloom.stalls import CHECK_INTERVAL_S, STALLED_AVOIDANCE_S, StallDetector

logger = structlog.get_logger(__name__)

T = TypeVar("T")


class AttemptSilence:
    """Watches one attempt of a request for a silence of its endpoint.

    Only streams that may be resumed are asked for elsewhere.
    """

    def __init__(
        self,
        request: ForwardRequest,
        attempt: Attempt,
        stalls: StallDetector,
        selector: Selector,
        loop_delay: LoopDelayMonitor,
    ) -> None:
        self._request = request
        self._attempt = attempt
        self._stalls = stalls
        self._selector = selector
        self._loop_delay = loop_delay
        self._next_check_s = trio.current_time() + CHECK_INTERVAL_S

    async def run(self, step: Callable[[], Awaitable[T]]) -> T:
        """Run a step that may be cancelled and restarted, and ask others if its group has stalled.

        If this host's event loop was delayed, checks a second time before that: events that arrived
        during the delay may not have been read yet.
        """
        if not self._request.route.is_resumable:
            return await step()
        was_delayed, leader = False, self._attempt.endpoint.id
        while True:
            check_s = self._stalls.next_check_s(leader, trio.current_time())
            with trio.move_on_at(check_s):
                return await step()
            is_stalled = self._stalls.is_stalled(leader, trio.current_time())
            if is_stalled and not was_delayed and self._loop_delay.delay_s():
                was_delayed = True
            elif is_stalled:
                self._ask_another()

    def on_event(self, now_s: float, delay_s: float) -> None:
        """Record that the endpoint has sent an event, which ends its silence.

        ``delay_s`` is how old what is read now may be.
        """
        self._stalls.on_event(self._attempt.endpoint.id, now_s, delay_s)
        if self._attempt.is_silent:
            self._attempt.is_silent = False
            endpoint = self._attempt.endpoint.id
            self._selector.shorten_avoidance(endpoint, now_s + FULL_AVOIDANCE_S)

    def on_other_bytes(self) -> None:
        """Check for a stall after bytes without a new event, since they end each wait for one."""
        now_s = trio.current_time()
        if not self._request.route.is_resumable or now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        is_stalled = self._stalls.is_stalled(self._attempt.endpoint.id, now_s)
        if is_stalled and not self._loop_delay.delay_s():
            self._ask_another()

    def _ask_another(self) -> None:
        """Ask another endpoint beside the silent one, if there is one."""
        if (asked := self._attempt.ask_another()) is not None:
            self._record_silence(asked)

    def _record_silence(self, asked: HostId) -> None:
        """Avoid and report the endpoint beside which another one was asked."""
        now_s, endpoint = trio.current_time(), self._attempt.endpoint.id
        self._attempt.is_silent = True
        self._selector.avoid(endpoint, now_s + STALLED_AVOIDANCE_S)
        self._stalls.report_stalled(endpoint, now_s)
        logger.info(
            "endpoint silent",
            request_id=self._request.metadata.request_id,
            endpoint=endpoint,
            asked=asked,
            last_event_id=self._request.cursor.last_event_id,
        )
