"""Probe unreachable endpoints by opening connections on which nothing is sent."""

from collections.abc import Callable

import structlog
import trio

from yewloom.directory import Endpoint
from yewloom.endpoint_calls import CONNECT_TIMEOUT_S, ExchangeError, open_exchange
from yewloom.reachability import Reachability

logger = structlog.get_logger(__name__)

POLL_INTERVAL_S = 0.05
"""Interval between checks for due probes while any endpoint is unreachable."""


class EndpointProbes:
    """Probes unreachable endpoints until they can be reached again."""

    def __init__(
        self, reachability: Reachability, loop_delay_s: Callable[[], float] = lambda: 0.0
    ) -> None:
        """Initialize; ``loop_delay_s`` is not zero if the event loop was blocked just before."""
        self._reachability = reachability
        self._loop_delay_s = loop_delay_s
        self._has_unreachable = trio.Event()

    def notify(self) -> None:
        """Wake up ``run``, because an endpoint has become unreachable."""
        self._has_unreachable.set()

    async def run(self) -> None:
        """Probe endpoints until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self._reachability.has_unreachable:
                    self._has_unreachable = trio.Event()
                    await self._has_unreachable.wait()
                for endpoint in self._reachability.take_due_probes(trio.current_time()):
                    nursery.start_soon(self._probe, endpoint)
                await trio.sleep(POLL_INTERVAL_S)

    async def _probe(self, endpoint: Endpoint) -> None:
        try:
            async with open_exchange(endpoint.address, CONNECT_TIMEOUT_S):
                self._reachability.on_connected(endpoint, trio.current_time())
        except ExchangeError as error:
            logger.debug("endpoint probe failed", endpoint=endpoint.id, reason=str(error))
            if not self._loop_delay_s():  # Otherwise the delay may be the reason.
                self._reachability.on_probe_failure(endpoint, trio.current_time())
            return
        logger.info("endpoint reachable again", endpoint=endpoint.id)
