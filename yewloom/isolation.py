"""Detects that this host is cut off from all endpoints while its peers reach some.

A single failed connection says more about the endpoint. If this host reaches no endpoint at all but
a peer does, the cause lies on this host's side: its failures are no evidence against the endpoints,
and other hosts are better placed to send orders to them.
"""

import structlog
import trio

from yewloom.directory import EndpointDirectory
from yewloom.entry_states import PeerStates
from yewloom.ids import ServiceName
from yewloom.reachability import Reachability
from yewloom.schema.entry_pb2 import EntryState

logger = structlog.get_logger(__name__)

CONFIRMATION_S = 0.3
"""Time without any reachable endpoint after which this host may count as isolated: a round of
probes, whose connections time out sooner, has not reached one either."""


class Isolation:
    """Compares which endpoints this host reaches with what its peers report.

    An extension of the messages to peers, which tells them the services that this host has lost.
    """

    def __init__(
        self, directory: EndpointDirectory, reachability: Reachability, peer_states: PeerStates
    ) -> None:
        self._directory = directory
        self._reachability = reachability
        self._peer_states = peer_states
        self._lost_since_s: float | None = None
        self._was_isolated = False

    @property
    def is_isolated(self) -> bool:
        """Return whether this host reaches no endpoint, and a peer reports that it reaches some."""
        if self._lost_since_s is None or not self._reachability.has_lost_all:
            return False
        if trio.current_time() - self._lost_since_s < CONFIRMATION_S:
            return False
        services = self._directory.services()
        return any(
            services - set(state.lost_services) and state.HasField("listing")
            for state in self._peer_states.states()
        )

    def add_fields(self, state: EntryState, now_s: float) -> None:
        """Add the services of which this host reaches no endpoint to a message.

        The reports on endpoints are removed from the messages of an isolated host.
        """
        self._update(now_s)
        if self._lost_since_s is None and not self._reachability.has_unreachable:
            return
        state.lost_services.extend(sorted(self._lost_services()))
        if self._was_isolated:
            del state.unreachable[:]
            del state.stalled[:]

    def process(self, state: EntryState, arrived_s: float, now_s: float) -> None:
        """Do nothing: ``PeerStates`` keeps the services that a peer reports as lost."""

    def _update(self, now_s: float) -> None:
        """Follow whether any endpoint is reachable, and log when isolation begins and ends."""
        if not self._reachability.has_lost_all:
            self._lost_since_s = None
        elif self._lost_since_s is None:
            self._lost_since_s = now_s
        is_isolated = self.is_isolated
        if is_isolated != self._was_isolated:
            logger.warning("isolation from endpoints changed", is_isolated=is_isolated)
        self._was_isolated = is_isolated

    def _lost_services(self) -> set[ServiceName]:
        reaches_any, endpoints_of = self._reachability.reaches_any, self._directory.endpoints_of
        services = self._directory.services()
        return {service for service in services if not reaches_any(endpoints_of(service))}
