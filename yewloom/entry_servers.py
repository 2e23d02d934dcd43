"""The servers of an entry host: for callers, the balancer's question, peers, and metrics."""

import socket
from collections.abc import Callable

import structlog
import trio
from prometheus_client import generate_latest

from yewloom.addresses import split_address
from yewloom.caller_messages import CallerRequest, Handler, Handlers, Reply
from yewloom.caller_server import CallerServer
from yewloom.configuration import CallerLimits
from yewloom.early_listener import EarlyListener, listen
from yewloom.forward_metrics import ForwardMetrics
from yewloom.quarantine_page import QuarantinePage
from yewloom.schema.entry_pb2 import EntryHost as HostSettings
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

FIRST_KNOWLEDGE_S = 0.5
"""Longest time for which a host that has started lets callers wait for its first configuration: as
long as it would tell them to stay away, which costs them a try."""

FIRST_LOOK_S = 0.01
"""Pause between two looks for it: the store answers two calls in some 10 ms."""


@value_class
class HostStanding:
    """What the servers ask of their host: whether it knows enough to serve, and is ready."""

    knows_all: Callable[[], bool]
    is_ready: Callable[[], bool]


class EntryServers:
    """Opens the servers of an entry host; ``callers`` is the one that a planned stop closes."""

    def __init__(
        self,
        settings: HostSettings,
        callers: CallerServer,
        answer_peers: Handler,
        metrics: ForwardMetrics,
        standing: HostStanding,
        quarantine_page: QuarantinePage,
    ) -> None:
        self._quarantine_page = quarantine_page
        self._settings = settings
        self._callers = callers
        self._metrics = metrics
        self._standing = standing
        self._readiness = CallerServer(Handlers(self._answer_readiness), CallerLimits)
        self._metrics_server = CallerServer(Handlers(self._answer_operator), CallerLimits)
        self._peer_server = CallerServer(Handlers(answer_peers), CallerLimits)

    async def start(self, nursery: trio.Nursery, early: EarlyListener | None) -> None:
        """Begin to serve; ``early`` is the socket for callers, if it is open already."""
        settings = self._settings
        listener, accepted = self._take_over(early)
        await nursery.start(self._callers.serve, listener, self._wait_for_knowledge, accepted)
        await nursery.start(self._readiness.serve, listen(settings.readiness_address))
        await nursery.start(self._peer_server.serve, listen(settings.peer_address))
        if settings.metrics_port:
            ip, _ = split_address(settings.caller_address)
            await nursery.start(self._metrics_server.serve, listen(f"{ip}:{settings.metrics_port}"))

    def _take_over(self, early: EarlyListener | None) -> tuple[socket.socket, list[socket.socket]]:
        """Return the socket for callers and the connections that were accepted already."""
        if early is None:
            return listen(self._settings.caller_address), []
        taken = early.take_over()
        if early.refused or early.errors:
            errors = [repr(error) for error in early.errors]
            logger.warning("callers refused while starting", count=early.refused, errors=errors)
        return taken

    async def _wait_for_knowledge(self) -> None:
        """Wait until the host knows whom to send callers to, for a short time at most."""
        with trio.move_on_after(FIRST_KNOWLEDGE_S):
            while not self._standing.knows_all():  # noqa: ASYNC110 - known by two parts
                await trio.sleep(FIRST_LOOK_S)
        logger.info("accepting callers", knows_all=self._standing.knows_all())

    async def _answer_readiness(self, request: CallerRequest, reply: Reply) -> None:
        await reply.send_whole(200 if self._standing.is_ready() else 503, [], b"")

    async def _answer_operator(self, request: CallerRequest, reply: Reply) -> None:
        if self._quarantine_page.answers(request):
            await self._quarantine_page.answer(request, reply)
            return
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await reply.send_whole(200, headers, generate_latest(self._metrics.registry))
