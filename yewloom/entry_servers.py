"""The servers of an entry host: for callers, readiness checks, peers and metrics."""

import socket
from collections.abc import Callable

import structlog
import trio
from prometheus_client import generate_latest

from yewloom.addresses import split_address
from yewloom.body_budget import BodyBudget
from yewloom.caller_messages import CallerRequest, Handler, Handlers, ResponseWriter
from yewloom.caller_server import CallerServer
from yewloom.configuration import CallerLimits
from yewloom.early_listener import EarlyListener, listen
from yewloom.forward_metrics import ForwardMetrics
from yewloom.quarantine_page import QuarantinePage
from yewloom.schema.entry_pb2 import EntryHost as HostSettings
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

FIRST_CONFIGURATION_WAIT_S = 0.5
"""How long callers wait at most for the first configuration of a host that has just started. It
equals the Retry-After time that they would get otherwise, which would also cost them an attempt."""

FIRST_CONFIGURATION_CHECK_S = 0.01
"""Interval between checks for that configuration; the store answers two calls in about 10 ms."""


@value_class
class HostReadiness:
    """Host state that the servers query: whether it knows enough to serve, and is ready."""

    has_full_state: Callable[[], bool]
    is_ready: Callable[[], bool]


class EntryServers:
    """Runs the servers of an entry host; ``callers`` is the one that a planned stop closes."""

    def __init__(
        self,
        settings: HostSettings,
        callers: CallerServer,
        peer_handler: Handler,
        peer_limits: Callable[[], CallerLimits],
        metrics: ForwardMetrics,
        host_readiness: HostReadiness,
        quarantine_page: QuarantinePage,
        bodies: BodyBudget,
    ) -> None:
        self._quarantine_page = quarantine_page
        self._settings = settings
        self._callers = callers
        self._metrics = metrics
        self._host_readiness = host_readiness
        self._readiness_server = CallerServer(Handlers(self._respond_readiness), CallerLimits)
        self._metrics_server = CallerServer(Handlers(self._respond_to_operator), CallerLimits)
        self._peer_server = CallerServer(Handlers(peer_handler), peer_limits, bodies=bodies)

    async def start(self, nursery: trio.Nursery, early_listener: EarlyListener | None) -> None:
        """Start serving; ``early_listener`` holds the callers' socket if it is already open."""
        settings = self._settings
        listener, accepted = self._open_caller_listener(early_listener)
        await nursery.start(self._callers.serve, listener, self._wait_for_configuration, accepted)
        await nursery.start(self._readiness_server.serve, listen(settings.readiness_address))
        await nursery.start(self._peer_server.serve, listen(settings.peer_address))
        if settings.metrics_port:
            ip, _ = split_address(settings.caller_address)
            await nursery.start(self._metrics_server.serve, listen(f"{ip}:{settings.metrics_port}"))

    def _open_caller_listener(
        self, early_listener: EarlyListener | None
    ) -> tuple[socket.socket, list[socket.socket]]:
        """Return the callers' listening socket and the connections that it has already accepted."""
        if early_listener is None:
            return listen(self._settings.caller_address), []
        listener_and_connections = early_listener.hand_over()
        if early_listener.rejected_count or early_listener.errors:
            errors = [repr(error) for error in early_listener.errors]
            logger.warning(
                "requests rejected during start", count=early_listener.rejected_count, errors=errors
            )
        return listener_and_connections

    async def _wait_for_configuration(self) -> None:
        """Wait briefly until the host has the configuration and endpoints that it needs."""
        with trio.move_on_after(FIRST_CONFIGURATION_WAIT_S):
            while not self._host_readiness.has_full_state():  # noqa: ASYNC110 - two parts set it
                await trio.sleep(FIRST_CONFIGURATION_CHECK_S)
        logger.info("accepting callers", knows_all=self._host_readiness.has_full_state())

    async def _respond_readiness(self, request: CallerRequest, response: ResponseWriter) -> None:
        await response.send_complete(200 if self._host_readiness.is_ready() else 503, [], b"")

    async def _respond_to_operator(self, request: CallerRequest, response: ResponseWriter) -> None:
        if self._quarantine_page.handles(request):
            await self._quarantine_page.handle(request, response)
            return
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await response.send_complete(200, headers, generate_latest(self._metrics.registry))
