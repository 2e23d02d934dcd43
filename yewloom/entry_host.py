"""One entry host on the users' platform: wires its parts and runs them until a planned stop."""

import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import structlog
import trio
from prometheus_client import generate_latest

from yewloom.caller_headers import HeaderCodec
from yewloom.caller_messages import CallerRequest, Reply
from yewloom.caller_server import CallerServer
from yewloom.configuration import CallerLimits, Configuration, ConfigurationBook
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.endpoint_attempts import AVOID_STALLED_S, EndpointAttempts
from yewloom.entry_exchange import EntryExchange
from yewloom.entry_states import PeerBoard
from yewloom.followers import Follower, Update
from yewloom.forward_metrics import ForwardMetrics
from yewloom.forwarding import Forwarder
from yewloom.ids import DataCentreId, EntryHostId, HostId
from yewloom.platforms import Platform, StoredObject
from yewloom.replica_coordinator import ReplicaCoordinator
from yewloom.replica_orders import EngineOrders
from yewloom.retry_window import RetryWindow
from yewloom.schema.entry_pb2 import EntrySettings
from yewloom.selection import Selector
from yewloom.stalls import StallDetector
from yewloom.writes import RecordError

logger = structlog.get_logger(__name__)

BALANCER_NOTICE_S = 2.6
"""Time for which connections are still accepted after the host stops being ready: the balancer
asks once a second and takes a host out after two answers."""

STOP_MARGIN_S = 0.4
"""Part of the time for a planned stop that is left for the process to end."""

TASK_PAUSE_S = 0.5
"""Pause before a task that failed is begun anew."""

LAPSE_CHECK_S = 0.5
"""Pause between two looks for endpoints that did not come back after an outage."""


class PlatformRecords(Protocol):
    """Decodes what the platform's own kinds of objects hold."""

    configuration_kind: str
    endpoint_kind: str

    def decode_configuration(self, stored: StoredObject) -> Configuration | None:
        """Return a configuration, or None if the object is not one; raises RecordError."""
        ...

    def decode_endpoint(self, stored: StoredObject) -> Endpoint:
        """Return an endpoint; raises RecordError."""
        ...

    def endpoint_id(self, key: str) -> HostId:
        """Return the endpoint that an object's key names."""
        ...


@dataclass(frozen=True)
class PlatformParts:
    """What an entry host needs of the platform that it runs on.

    ``configuration``, ``endpoints``, ``records_store`` and ``stale_store`` are one store with
    different bounds; answers of the last may be seconds old and cost less.
    """

    configuration: Platform
    endpoints: Platform
    records_store: Platform
    stale_store: Platform
    records: PlatformRecords
    codec: HeaderCodec
    orders: EngineOrders


class EntryHost:
    """Wires the parts of an entry host."""

    def __init__(
        self,
        settings: EntrySettings,
        parts: PlatformParts,
        metrics: ForwardMetrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._metrics = metrics
        self._book = ConfigurationBook()
        self._directory = EndpointDirectory()
        self._stalls = StallDetector()
        self._has_had_requests = False
        self._is_leaving = False
        data_centre = DataCentreId(settings.host.data_centre)
        self._board = PeerBoard(EntryHostId(settings.host.id))
        self._selector = Selector(self._directory, data_centre, self._board, rng)
        bounds = settings.bounds
        self._forwarder = Forwarder(
            self._book,
            parts.codec,
            self._selector,
            RetryWindow(
                bounds.retry_ratio,
                bounds.retry_window_s,
                lambda: bounds.retry_extra / self._board.hosts_to_share_with(),
            ),
            EndpointAttempts(parts.codec, self._selector, self._stalls, metrics),
            metrics,
            bounds.key_revocation_ms / 1000,
            lambda: self._directory.is_known,
        )
        self._callers = CallerServer(self._handle, self._caller_limits)
        self._probes = CallerServer(self._answer_readiness, CallerLimits)
        self._figures = CallerServer(self._answer_metrics, CallerLimits)
        self._coordinator = ReplicaCoordinator(
            settings,
            self._book,
            self._directory,
            self._stalls,
            self._selector,
            parts.records_store,
            parts.stale_store,
            parts.orders,
            metrics,
            self._is_before_traffic,
        )

        retry_s = settings.store.retry_pause_ms / 1000
        self._configuration_follower = Follower(
            parts.configuration,
            parts.records.configuration_kind,
            self._take_configuration,
            lambda: 0.0,
            retry_s,
        )
        self._endpoint_follower = Follower(
            parts.endpoints,
            parts.records.endpoint_kind,
            self._take_endpoints,
            self._endpoint_pause_s,
            retry_s,
        )
        self._exchange = EntryExchange(
            EntryHostId(settings.host.id),
            settings.host.peer_address,
            parts.records_store,
            parts.stale_store,
            self._board,
            self._book,
            self._selector,
            self._stalls,
            self._avoid_stalled,
            self._configuration_follower.list_anew,
        )

    async def run(self, reload: Callable[[], None]) -> None:
        """Serve until a signal asks for a planned stop; ``reload`` reads the settings anew."""
        host = self._settings.host
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._callers.serve, host.caller_address)
                await nursery.start(self._probes.serve, host.readiness_address)
                if host.metrics_port:
                    ip = host.caller_address.rpartition(":")[0]
                    await nursery.start(self._figures.serve, f"{ip}:{host.metrics_port}")
                tasks = [
                    self._configuration_follower.run,
                    self._endpoint_follower.run,
                    self._drop_lapsed,
                    self._exchange.run,
                    self._coordinator.run,
                ]
                for task in tasks:
                    nursery.start_soon(_keep_running, task)
                logger.info("started", data_centre=host.data_centre)
                async for number in signals:
                    if number != signal.SIGHUP:
                        break
                    reload()
                await self._stop()
                nursery.cancel_scope.cancel()
        logger.info("stopped")

    def _endpoint_pause_s(self) -> float:
        """Return how long changes of endpoints are gathered; a coordinator waits for them."""
        store = self._settings.store
        is_hurried = self._coordinator.is_holding or self._is_before_traffic()
        pause_ms = store.coordinator_pause_ms if is_hurried else store.endpoint_pause_ms
        return pause_ms / 1000

    def _take_configuration(self, update: Update) -> None:
        """Take in configurations that were read, and that an unchanged one is still current."""
        for stored in update.listing.objects:
            try:
                configuration = self._parts.records.decode_configuration(stored)
            except RecordError as error:
                logger.error("object unreadable", reason=str(error), revision=stored.version)
                continue
            if configuration is not None and self._book.apply(configuration, update.proved_s):
                logger.info("configuration applied", version=configuration.version)
        if self._book.current is not None:
            self._book.confirm(update.proved_s)

    def _take_endpoints(self, update: Update) -> None:
        now_s = trio.current_time()
        endpoints = []
        for stored in update.listing.objects:
            try:
                endpoints.append(self._parts.records.decode_endpoint(stored))
            except RecordError as error:
                logger.error("object unreadable", reason=str(error), revision=stored.version)
        if update.is_whole:
            self._directory.replace_all(endpoints, now_s, update.after_outage)
            logger.info("endpoints listed", count=len(endpoints))
            return
        for endpoint in endpoints:
            self._log_change(endpoint)
            known = self._directory.by_id.get(endpoint.id)
            if known is not None and known.membership != endpoint.membership:
                self._selector.forget(endpoint.id)
            self._directory.put(endpoint)
        for key in update.listing.removed:
            endpoint_id = self._parts.records.endpoint_id(key)
            logger.info("endpoint gone", endpoint=endpoint_id)
            self._directory.remove(endpoint_id)
            self._selector.forget(endpoint_id)

    def _log_change(self, endpoint: Endpoint) -> None:
        known = self._directory.by_id.get(endpoint.id)
        if known is not None and known.is_leaving == endpoint.is_leaving:
            return
        if known is None and not endpoint.is_leaving:
            return  # Several hundred come at a start; the coordinator's lines tell of new ones.
        word = "endpoint leaving" if endpoint.is_leaving else "endpoint stays"
        logger.info(word, endpoint=endpoint.id, service=endpoint.service)

    async def _drop_lapsed(self) -> None:
        while True:
            await trio.sleep(LAPSE_CHECK_S)
            for endpoint_id in self._directory.drop_lapsed(trio.current_time()):
                logger.info("endpoint gone", endpoint=endpoint_id, reason="not back after outage")

    def _avoid_stalled(self, head: HostId) -> None:
        """Take in that a peer saw a group stand still."""
        now_s = trio.current_time()
        if head not in self._stalls.suspected(now_s):
            self._selector.avoid(head, now_s + AVOID_STALLED_S)
        self._stalls.report_by_peer(head, now_s)

    def _caller_limits(self) -> CallerLimits:
        configuration = self._book.current
        return configuration.limits if configuration is not None else CallerLimits()

    def _is_before_traffic(self) -> bool:
        """Tell whether the system starts for the first time and nobody asked for anything yet."""
        has_traffic = self._has_had_requests or bool(self._board.loads())
        return self._settings.host.is_first_start and not has_traffic

    async def _handle(self, request: CallerRequest, reply: Reply) -> None:
        self._has_had_requests = True
        await self._forwarder.handle(request, reply)

    async def _answer_readiness(self, request: CallerRequest, reply: Reply) -> None:
        is_known = self._book.current is not None and self._directory.is_known
        is_ready = is_known and not self._is_leaving
        await reply.send_whole(200 if is_ready else 503, [], b"")

    async def _answer_metrics(self, request: CallerRequest, reply: Reply) -> None:
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await reply.send_whole(200, headers, generate_latest(self._metrics.registry))

    async def _stop(self) -> None:
        """Stop without cutting requests off, within the time that the platform allows."""
        began_s = trio.current_time()
        ends_s = began_s + self._settings.host.stop_grace_s - STOP_MARGIN_S
        logger.info("stopping", open_requests=self._callers.activity.open_requests)
        self._is_leaving = self._coordinator.is_leaving = self._callers.activity.is_leaving = True
        await trio.sleep(BALANCER_NOTICE_S)
        self._callers.activity.close_idle()
        with trio.move_on_at(ends_s):
            await self._callers.activity.wait_until_idle()


async def _keep_running(task: Callable[[], Awaitable[None]]) -> None:
    """Run a task until cancelled; begin it anew after an error that nobody foresaw."""
    while True:
        try:
            await task()
        except Exception:
            logger.exception("task failed", task=getattr(task, "__qualname__", ""))
        await trio.sleep(TASK_PAUSE_S)
