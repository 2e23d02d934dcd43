"""One entry host on the users' platform: wires its parts and runs them until a planned stop."""

import math
import random
import time
from collections.abc import Callable

import structlog
import trio

from yewloom.background import run_with_restarts
from yewloom.body_budget import BodyBudget
from yewloom.caller_messages import CallerRequest, Handlers, ResponseWriter
from yewloom.caller_server import CallerServer
from yewloom.configuration import CallerLimits, ConfigurationState
from yewloom.configuration_intake import ConfigurationIntake
from yewloom.early_listener import EarlyListener
from yewloom.ended_messages import EndedMessages
from yewloom.endpoint_parts import EndpointParts
from yewloom.entry_exchange import EntryExchange
from yewloom.entry_servers import EntryServers, HostReadiness
from yewloom.entry_states import PeerStates
from yewloom.exchange_parts import ExchangeComponents, build_exchange
from yewloom.exit_timer import ExitTimer
from yewloom.follow_duty import FollowStatus
from yewloom.followed_position import FollowedPosition
from yewloom.followers import Update
from yewloom.forward_metrics import ForwardMetrics
from yewloom.forward_parts import ForwarderComponents, build_forwarder
from yewloom.forwarding import Forwarder
from yewloom.ids import DataCentreId, EntryHostId, HostId
from yewloom.intake import EndpointIntake
from yewloom.limit_messages import LimitMessages
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.own_state import EntryHostProcess
from yewloom.peer_configurations import PeerConfigurations
from yewloom.planned_stop import PlannedStop
from yewloom.platform_parts import PlatformParts
from yewloom.process_signals import ProcessSignals
from yewloom.relay_peers import RelayPeers
from yewloom.relay_server import RelayServer, peer_limits
from yewloom.relays import Relays
from yewloom.replica_coordinator import ReplicaCoordinator
from yewloom.schema.entry_pb2 import EntrySettings
from yewloom.shutdown import Shutdown
from yewloom.socket_ages import ReadAges
from yewloom.stop_notice import StopNotice
from yewloom.store_following import FollowingHost, StoreFollowing
from yewloom.store_trust import StoreTrust

logger = structlog.get_logger(__name__)


class EntryHost:
    """Wires the parts of an entry host."""

    def __init__(
        self,
        settings: EntrySettings,
        parts: PlatformParts,
        metrics: ForwardMetrics,
        rng: random.Random,
        listener: EarlyListener | None = None,
        loop_delay: LoopDelayMonitor | None = None,
    ) -> None:
        self._settings = settings
        self._listener = listener
        self._loop_delay = loop_delay or LoopDelayMonitor()
        self._parts = parts
        self._metrics = metrics
        self._has_received_requests = False
        self._started_s = math.inf
        self._stop_plan = PlannedStop(settings.host.stop_grace_s)
        self._identity = EntryHostProcess(
            EntryHostId(settings.host.id),
            DataCentreId(settings.host.data_centre),
            time.time_ns() // 1_000_000,
        )
        self._store_trust = StoreTrust(
            self._identity.started_unix_ms,
            lambda: self._exchange.known_peers(),
            self._since_start_s,
        )
        self._configuration_state = ConfigurationState(self._store_trust.trusts_store)
        host_id, data_centre = self._identity.host_id, self._identity.data_centre
        self._peer_states = PeerStates(host_id, data_centre, self._identity.started_unix_ms)
        self._following = self._build_following(rng)
        parts.departures.on_departure = self._on_departure
        self._endpoints = self._build_endpoints(rng)
        metrics.read_isolation(lambda: self._endpoints.isolation.is_isolated)
        metrics.read_ejected(self._endpoints.count_ejected)
        self._quarantine_store = self._endpoints.crash_detection.build_store(parts)
        self._followed_endpoints = FollowedPosition()
        metrics.read_endpoints_age(
            lambda: self._followed_endpoints.reported_age_ms(trio.current_time())
        )
        self._relay_peers = RelayPeers(
            data_centre, self._peer_states, lambda peer: self._exchange.address_of(peer), rng
        )
        self._forwarder = self._build_forwarder()
        self._bodies = BodyBudget(settings.host.max_buffered_mb << 20)
        self._caller_server = CallerServer(
            Handlers(self._handle, self._forwarder.reject),
            self._caller_limits,
            ReadAges(self._loop_delay.delay_s),
            self._bodies,
        )
        self._coordinator = self._build_coordinator()
        self._endpoint_intake = self._build_endpoint_intake()
        self._configuration_intake = ConfigurationIntake(
            parts.records, self._configuration_state, metrics.on_invalid_configuration
        )
        self._configuration_follower = self._following.follow_configuration(
            self._configuration_state, self._configuration_intake.apply_update
        )
        self._endpoint_follower = self._following.follow_endpoints(
            self._followed_endpoints, self._apply_endpoints
        )
        self._exchange = self._build_exchange()
        self._peer_configurations = PeerConfigurations(
            self._configuration_state,
            self._configuration_intake,
            self._exchange.addresses_with_version,
        )
        self._servers = self._build_servers()

    def _build_following(self, rng: random.Random) -> StoreFollowing:
        host = FollowingHost(
            self._follow_status,
            self._since_start_s,
            self._is_before_traffic,
            lambda: self._coordinator.holds_lease,
        )
        return StoreFollowing(
            self._settings, self._identity, self._parts, self._peer_states, host, rng
        )

    def _since_start_s(self) -> float:
        return trio.current_time() - self._started_s

    def _build_endpoints(self, rng: random.Random) -> EndpointParts:
        return EndpointParts(
            self._identity.host_id,
            self._identity.data_centre,
            self._parts.departures,
            self._configuration_state,
            self._peer_states,
            rng,
            self._loop_delay.delay_s,
            lambda: self._exchange.send_soon(),
            self._metrics.on_outlier_step,
        )

    def _build_endpoint_intake(self) -> EndpointIntake:
        return EndpointIntake(
            self._parts.records,
            self._endpoints.directory,
            self._endpoints.selector,
            self._followed_endpoints,
            self._parts.store_contact,
            lambda changes: self._exchange.send_changes(changes),
            self._endpoints.forget,
        )

    def _build_servers(self) -> EntryServers:
        return EntryServers(
            self._settings.host,
            self._caller_server,
            self._build_relay_server().handle,
            lambda: peer_limits(self._caller_limits()),
            self._metrics,
            HostReadiness(self._has_full_state, self._is_ready),
            self._endpoints.crash_detection.page,
            self._bodies,
        )

    def _build_forwarder(self) -> Forwarder:
        bounds = self._settings.bounds
        return build_forwarder(
            ForwarderComponents(
                bounds=bounds,
                header_codec=self._parts.codec,
                metrics=self._metrics,
                configuration_state=self._configuration_state,
                directory=self._endpoints.directory,
                selector=self._endpoints.selector,
                stalls=self._endpoints.stalls,
                reachability=self._endpoints.reachability,
                planned_stop=self._stop_plan,
                loop_delay=self._loop_delay,
                crash_detection=self._endpoints.crash_detection,
                availability=self._endpoints.availability,
                retry_extra=lambda: bounds.retry_extra / self._peer_states.sharing_host_count(),
                uptime_s=self._uptime_s,
                relays=self._build_relays(),
                endpoints_age_ms=self._followed_endpoints.reported_age_ms,
            )
        )

    def _uptime_s(self, now_s: float) -> float:
        """Return the time at least since an earlier process of this host ended."""
        return math.inf if self._settings.host.is_first_start else now_s - self._started_s

    def _build_relays(self) -> Relays:
        return Relays(
            self._identity.host_id,
            self._parts.codec,
            self._endpoints.selector,
            self._endpoints.reachability,
            self._relay_peers,
            self._metrics,
        )

    def _build_relay_server(self) -> RelayServer:
        return RelayServer(
            self._forwarder.handle,
            self._forwarder.reject,
            self._caller_server.activity,
            self._peer_configurations.handle_request,
        )

    def _build_coordinator(self) -> ReplicaCoordinator:
        return ReplicaCoordinator(
            self._settings,
            self._parts,
            self._configuration_state,
            self._endpoints.directory,
            self._endpoints.stalls,
            self._endpoints.selector,
            self._metrics,
            self._is_before_traffic,
            self._following.duty.has_duty,
            self._endpoints.ended,
            self._loop_delay.delay_s,
            lambda: self._endpoints.isolation.is_isolated,
            lambda: self._endpoints.reachability.has_lost_all,
        )

    def _apply_endpoints(self, update: Update) -> None:
        """Apply endpoints from the store; a coordinator plans at once if any has changed."""
        self._endpoint_intake.apply_update(update)
        if update.has_changes:
            self._coordinator.plan_soon()

    def _build_exchange(self) -> EntryExchange:
        return build_exchange(
            ExchangeComponents(
                identity=self._identity,
                own_address=self._settings.host.peer_address,
                parts=self._parts,
                peer_states=self._peer_states,
                configuration_state=self._configuration_state,
                configuration_follower=self._configuration_follower,
                endpoint_intake=self._endpoint_intake,
                followed_endpoints=self._followed_endpoints,
                selector=self._endpoints.selector,
                stalls=self._endpoints.stalls,
                duty=self._following.duty,
                loop_delay_s=self._loop_delay.delay_s,
                extensions=[
                    self._endpoints.crash_detection.messages,
                    LimitMessages(self._endpoints.limits),
                    EndedMessages(self._endpoints.ended),
                    self._endpoints.isolation,
                    self._parts.store_contact,
                    self._store_trust,
                ],
            )
        )

    async def run(
        self, signals: ProcessSignals, reload: Callable[[], None], end_process: Callable[[], None]
    ) -> None:
        """Serve until a signal requests a planned stop; ``reload`` reads the settings again.

        ``end_process`` is called once everything that the stop waits for is done. In a real process
        it does not return: unwinding the tasks of all connections takes 0.5 ms of processor time
        each, which a slow host does not have.
        """
        self._started_s = trio.current_time()
        self._loop_delay.start()
        notice = StopNotice(signals, self._stop_plan, self._loop_delay)
        self._caller_server.activity.is_notice_over = notice.is_over
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            logger.info("started", data_centre=self._settings.host.data_centre)
            requested_s = await signals.wait_for_stop(reload)
            await self._stop(requested_s, end_process)
            nursery.cancel_scope.cancel()

    async def _stop(self, requested_s: float, end_process: Callable[[], None]) -> None:
        """Perform the planned stop; a blocked event loop does not delay its end."""

        def end() -> None:
            logger.info("stopped", cut_off=self._caller_server.activity.open_requests)
            end_process()

        self._coordinator.is_stopping = True
        shutdown = Shutdown(self._stop_plan, self._caller_server, self._forwarder, ExitTimer(end))
        await shutdown.run(
            requested_s, self._loop_delay.unnoticed_s(trio.current_time() - requested_s)
        )
        end()

    async def _start(self, nursery: trio.Nursery) -> None:
        """Open the servers, then start the background tasks."""
        await self._servers.start(nursery, self._listener)
        tasks = [
            self._configuration_follower.run,
            self._endpoint_follower.run,
            self._endpoint_intake.drop_lapsed,
            self._endpoints.probes.run,
            self._endpoints.crash_detection.checks.run,
            self._quarantine_store.run,
            self._peer_configurations.run,
            self._exchange.run,
            self._coordinator.run,
        ]
        for task in tasks:
            nursery.start_soon(run_with_restarts, task)

    def _on_departure(self, endpoint_id: HostId) -> None:
        """Mark an endpoint that said that it leaves, and plan its replacement."""
        self._endpoints.directory.refresh(endpoint_id)
        self._coordinator.plan_soon()

    def _has_full_state(self) -> bool:
        """Return whether the endpoints and a configuration that was confirmed are known."""
        state = self._configuration_state
        is_loaded = state.current is not None and self._endpoints.directory.is_loaded
        return is_loaded and state.has_been_confirmed

    def _is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return self._has_full_state() and not self._stop_plan.has_begun

    def _follow_status(self) -> FollowStatus:
        followers = (self._configuration_follower, self._endpoint_follower)
        is_answered = all(follower.has_latest_response for follower in followers)
        is_stopping = self._stop_plan.has_begun
        return FollowStatus(
            is_answered and not is_stopping and not self._endpoints.isolation.is_isolated,
            self._coordinator.holds_lease,
            is_stopping,
        )

    def _caller_limits(self) -> CallerLimits:
        configuration = self._configuration_state.current
        return configuration.limits if configuration is not None else CallerLimits()

    def _is_before_traffic(self) -> bool:
        """Return whether the system is starting for the first time and has had no request yet."""
        has_traffic = self._has_received_requests or bool(self._peer_states.loads())
        return self._settings.host.is_first_start and not has_traffic

    async def _handle(self, request: CallerRequest, response: ResponseWriter) -> None:
        self._has_received_requests = True
        await self._forwarder.handle(request, response)
