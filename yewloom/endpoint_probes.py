"""Probes of endpoints that can't be reached: connections that carry nothing."""

import structlog
import trio

from yewloom.directory import Endpoint
from yewloom.endpoint_calls import CONNECT_TIMEOUT_S, ExchangeError, open_exchange
from yewloom.reachability import Reachability

logger = structlog.get_logger(__name__)

LOOK_S = 0.05
"""Pause between two looks for probes that are due, while anything is lost."""


class EndpointProbes:
    """Probes endpoints until they can be reached again."""

    def __init__(self, reachability: Reachability) -> None:
        self._reachability = reachability
        self._has_losses = trio.Event()

    def wake(self) -> None:
        """Take in that an endpoint can't be reached."""
        self._has_losses.set()

    async def run(self) -> None:
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self._reachability.has_losses:
                    self._has_losses = trio.Event()
                    await self._has_losses.wait()
                for endpoint in self._reachability.take_due_probes(trio.current_time()):
                    nursery.start_soon(self._probe, endpoint)
                await trio.sleep(LOOK_S)

    async def _probe(self, endpoint: Endpoint) -> None:
        try:
            async with open_exchange(endpoint.address, CONNECT_TIMEOUT_S):
                self._reachability.on_connected(endpoint, trio.current_time())
        except ExchangeError as error:
            logger.debug("endpoint not reached", endpoint=endpoint.id, reason=str(error))
            return
        logger.info("endpoint reached again", endpoint=endpoint.id)
