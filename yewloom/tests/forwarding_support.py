"""A forwarder with scripted endpoints, and callers that send it requests, on localhost."""

import math
import random
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

import h11
import trio

from yewloom.caller_messages import Handlers, respond_unavailable
from yewloom.caller_server import CallerServer
from yewloom.configuration import CallerLimits, Configuration, ConfigurationState
from yewloom.crash_parts import CrashDetection
from yewloom.departures import Departures
from yewloom.directory import EndpointDirectory
from yewloom.endpoint_availability import EndpointAvailability
from yewloom.endpoint_limits import EndpointLimits
from yewloom.endpoint_pauses import EndpointPauses
from yewloom.entry_addresses import PeerAddress
from yewloom.entry_states import PeerStates
from yewloom.forward_metrics import ForwardMetrics
from yewloom.forward_parts import ForwarderComponents, build_forwarder
from yewloom.ids import EntryHostId, ServiceName
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.planned_stop import PlannedStop
from yewloom.platform.headers import HttpHeaderCodec
from yewloom.reachability import Reachability
from yewloom.relay_peers import RelayPeers
from yewloom.relay_server import RelayServer, peer_limits
from yewloom.relays import Relays
from yewloom.routes import Route, RouteKind
from yewloom.schema.entry_pb2 import EntryState, ListingWord, ServingBounds
from yewloom.stalls import StallDetector
from yewloom.tests.entry_support import (
    DATA_CENTRE,
    ENGINES,
    OWN_HOST,
    SMALL,
    make_configuration,
    make_engine,
    make_plain,
    make_route,
    make_selector,
    put_group,
)
from yewloom.tests.free_ports import allocate_address

GRACE_S = 8.0

CONFIRM_INTERVAL_S = 1.0
"""Interval at which the configuration is confirmed as current. The watches of a real host, which
confirm it when they end, end as often."""

SHORT_BODY = b"abc"

LONG_BODY = b"x" * (15 << 20)
"""More bytes than the socket buffers of a caller that does not read can hold."""

BOUNDS = ServingBounds(
    key_revocation_ms=5000,
    retry_ratio=0.2,
    retry_window_s=10.0,
    keys_need_proof=True,
    configuration_apply_ms=2000,
)
LIMITS = CallerLimits(max_header_bytes=2000, max_body_bytes=5000, header_timeout_ms=300)
STREAM_ROUTE = make_route(RouteKind.STREAM, "/s/", ENGINES, is_resumable=True)
NON_RESUMABLE_ROUTE = make_route(RouteKind.STREAM, "/once/", ENGINES)
UNSAFE_ROUTE = make_route(RouteKind.UNSAFE, "/u/")
REPEATABLE_ROUTE = make_route(RouteKind.RETRYABLE, "/r/")
OPEN_ROUTE = make_route(RouteKind.RETRYABLE, "/open/", is_open=True)
ROUTES = (STREAM_ROUTE, NON_RESUMABLE_ROUTE, UNSAFE_ROUTE, REPEATABLE_ROUTE, OPEN_ROUTE)
LASTING_ROUTES = tuple(replace(route, timeout_ms=60_000) for route in ROUTES)
"""The same routes, with a time limit that no test reaches, however slow the machine is."""


class ScriptedEndpoint:
    """An endpoint that runs a script: a function that gets the request and writes the response."""

    def __init__(
        self, script: Callable[["ScriptedEndpoint", h11.Request], Awaitable[None]]
    ) -> None:
        self._script = script
        self.before_script: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
        self.requests: list[h11.Request] = []
        self.bodies: list[bytes] = []
        self.stream: trio.SocketStream | None = None
        self.connection = h11.Connection(h11.SERVER)
        self.has_lost_caller = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Read one request and run the script."""
        connection = h11.Connection(h11.SERVER)
        body = b""
        request = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                break
        if request is None:
            return  # A probe.
        self.bodies.append(body)
        await self.run_script(stream, connection, request)

    async def run_script(
        self, stream: trio.SocketStream, connection: h11.Connection, request: h11.Request
    ) -> None:
        """Run the script for a request on a connection, and close the connection."""
        self.stream, self.connection = stream, connection
        self.requests.append(request)
        try:
            await self.before_script()
            await self._script(self, request)
        except trio.BrokenResourceError:
            self.has_lost_caller.set()
        await trio.aclose_forcefully(stream)

    async def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Send a complete response that echoes the request id."""
        await self.start(status, body_length=len(body), **headers)
        if body:
            await self.send(body)

    async def start(self, status: int, body_length: int | None = None, **headers: str) -> None:
        """Send the head of a response; the body is chunked if no length is given."""
        request_id = dict(self.requests[-1].headers)[b"yewloom-request-id"]
        sent = [(b"yewloom-request-id", request_id), (b"yewloom-server-stamp", b"stamp")]
        sent += [(k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()]
        if body_length is not None:
            sent.append((b"content-length", str(body_length).encode()))
        await self.send_raw(self.connection.send(h11.Response(status_code=status, headers=sent)))

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self.send_raw(self.connection.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """End the body."""
        await self.send_raw(self.connection.send(h11.EndOfMessage()))

    async def send_raw(self, data: bytes | None) -> None:
        """Send bytes as they are."""
        assert self.stream is not None
        await self.stream.send_all(data or b"")


class SharedEndpoint(ScriptedEndpoint):
    """An endpoint that serves several requests at once, each by its own ``ScriptedEndpoint``."""

    async def serve(self, stream: trio.SocketStream) -> None:
        """Read one request and run the script."""
        endpoint = ScriptedEndpoint(self._script)
        endpoint.requests = self.requests
        await endpoint.serve(stream)


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: %d\n\n" % (number, number)


class CallerResponse:
    """What a caller received; ``is_complete`` is whether it is complete by its framing."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_complete = False


class ForwarderFixture:
    """The forwarding of an entry host, with scripted endpoints, on localhost."""

    def __init__(
        self,
        configuration: Configuration | None = None,
        host_id: EntryHostId = OWN_HOST,
        limits: CallerLimits = LIMITS,
    ) -> None:
        self.host_id = host_id
        self.configuration_state = ConfigurationState()
        self.departures = Departures()
        self.directory = EndpointDirectory(self.departures.mark)
        self.departures.on_departure = self.directory.refresh
        self.directory.is_loaded = True
        self.reachability = reachability = Reachability(self.directory)
        self.peer_states = peer_states = PeerStates(host_id, DATA_CENTRE)
        self.peer_addresses: dict[EntryHostId, PeerAddress] = {}
        self.limits = EndpointLimits(OWN_HOST, self.directory, peer_states.sharing_hosts)
        self.pauses = EndpointPauses(random.Random(1))
        self.selector = make_selector(
            self.directory,
            peer_states,
            reachability,
            self.limits,
            self.pauses,
            self.departures,
        )
        self.stop, self.metrics = PlannedStop(GRACE_S), ForwardMetrics()
        self.retries_left = 10.0
        self.stalls, self.loop_delay = StallDetector(), LoopDelayMonitor()
        self.crashes = CrashDetection(
            OWN_HOST,
            peer_states.known_hosts,
            self.directory,
            last_connected_in_s=reachability.last_connected_in_s,
        )
        self.forwarder = build_forwarder(
            ForwarderComponents(
                bounds=BOUNDS,
                header_codec=HttpHeaderCodec(),
                metrics=self.metrics,
                configuration_state=self.configuration_state,
                directory=self.directory,
                selector=self.selector,
                stalls=self.stalls,
                reachability=reachability,
                planned_stop=self.stop,
                loop_delay=self.loop_delay,
                crash_detection=self.crashes,
                availability=EndpointAvailability(self.limits, self.pauses, self.departures),
                retry_extra=lambda: self.retries_left,
                relays=Relays(
                    host_id,
                    HttpHeaderCodec(),
                    self.selector,
                    reachability,
                    RelayPeers(DATA_CENTRE, peer_states, self.peer_addresses.get, random.Random(1)),
                    self.metrics,
                ),
                uptime_s=lambda now_s: math.inf,
                endpoints_age_ms=lambda now_s: 0,
            )
        )
        self.chooser = self.forwarder._chooser
        handlers = Handlers(self.forwarder.handle, self.forwarder.reject)
        self.server = CallerServer(handlers, lambda: limits)
        relay_server = RelayServer(
            self.forwarder.handle,
            self.forwarder.reject,
            self.server.activity,
            respond_unavailable,
        )
        self.peer_server = CallerServer(Handlers(relay_server.handle), lambda: peer_limits(limits))
        self.configuration = configuration or make_configuration(*ROUTES)
        self._nursery: trio.Nursery | None = None
        self.address = ("127.0.0.1", 0)
        self.peer_address = ""
        self.peer_scope = trio.CancelScope()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to serve callers."""
        self._nursery = nursery
        self.loop_delay.start()
        self.configuration_state.apply(self.configuration, trio.current_time())
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = listeners[0].socket.getsockname()
        nursery.start_soon(trio.serve_listeners, self.server._serve_connection, listeners)
        await nursery.start(self._serve_peers)
        nursery.start_soon(self._keep_configuration_confirmed)
        nursery.start_soon(self.crashes.checks.run)

    async def _serve_peers(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve relayed requests until ``peer_scope`` is cancelled, which resets connections."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.peer_address = "{}:{}".format(*listeners[0].socket.getsockname())
        task_status.started()
        with self.peer_scope:
            await trio.serve_listeners(self.peer_server._serve_connection, listeners)

    def add_peer(self, peer: "ForwarderFixture", *lost_services: ServiceName) -> None:
        """Let this host know a peer, as if it had received the peer's message."""
        self.peer_addresses[peer.host_id] = PeerAddress(peer.peer_address, DATA_CENTRE)
        state = EntryState(
            host_id=peer.host_id,
            data_centre=DATA_CENTRE,
            sequence=1,
            configuration_version=3,
            listing=ListingWord(),
            lost_services=lost_services,
        )
        self.peer_states.update(state, trio.current_time())

    def add_unreachable(self, *names: str) -> None:
        """Add endpoints of the plain service to which connections are refused."""
        for name in names:
            self.directory.put(make_plain(name, allocate_address()))

    async def _keep_configuration_confirmed(self) -> None:
        """Confirm the configuration as current periodically, as the watches of a host do.

        Otherwise requests with a key are refused once a test has run for a few seconds.
        """
        while True:
            await trio.sleep(CONFIRM_INTERVAL_S)
            self.configuration_state.confirm(trio.current_time())

    async def add_plain(
        self, name: str, endpoint: ScriptedEndpoint, closes_port_on_request: bool = False
    ) -> None:
        """Add an endpoint of a plain service to the directory.

        With ``closes_port_on_request``, it closes its port when it gets a request, like a process
        that crashes.
        """
        address = await self._listen(endpoint, closes_port_on_request)
        self.directory.put(make_plain(name, address))

    async def add_engine(
        self, name: str, endpoint: ScriptedEndpoint, closes_port_on_request: bool = False
    ) -> None:
        """Add the leader of a group with the small model to the directory."""
        key = put_group(self.directory, f"group-{name}", SMALL, [name, f"{name}-2"])
        member = self.directory.members_of(key)[0].membership
        address = await self._listen(endpoint, closes_port_on_request)
        engine = make_engine(name, membership=member, model=SMALL)
        self.directory.put(replace(engine, address=address))
        second = self.directory.members_of(key)[1]
        second_address = await self._listen(ScriptedEndpoint(respond_ok))
        self.directory.put(replace(second, address=second_address))

    async def request(self, path: str, body: bytes = SHORT_BODY, **headers: str) -> CallerResponse:
        """Send a request as a caller, and read the response."""
        stream = await trio.open_tcp_stream(*self.address)
        connection, data = self._build_request(path, headers, body)
        await stream.send_all(data)
        return await self.read(stream, connection)

    async def open_slow_reader(self) -> trio.SocketStream:
        """Open a connection of a caller with a small receive buffer."""
        connection = trio.socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await connection.connect(self.address)
        return trio.SocketStream(connection)

    async def send(self, stream: trio.SocketStream, path: str, **headers: str) -> h11.Connection:
        """Send a request on a connection."""
        connection, data = self._build_request(path, headers)
        await stream.send_all(data)
        return connection

    async def request_while_blocked(
        self, path: str, blocked_s: float, **headers: str
    ) -> CallerResponse:
        """Send a request, block the event loop before the host reads it, and read the response."""
        connection, data = self._build_request(path, headers)
        caller = socket.create_connection(self.address)
        caller.sendall(data)
        time.sleep(blocked_s)  # noqa: ASYNC251 - blocks the event loop on purpose
        caller.setblocking(False)
        return await self.read(
            trio.SocketStream(trio.socket.from_stdlib_socket(caller)), connection
        )

    def _build_request(
        self, path: str, headers: dict[str, str], body: bytes = SHORT_BODY
    ) -> tuple[h11.Connection, bytes]:
        """Return the bytes of a request, and the h11 connection that parses the response."""
        connection = h11.Connection(h11.CLIENT)
        sent = {
            "host": "x.example",
            "yewloom-request-id": "r1",
            "authorization": "Token k1",
            "yewloom-model": SMALL,
            "content-length": str(len(body)),
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        request = h11.Request(method="POST", target=path, headers=list(sent.items()))
        data = connection.send(request) or b""
        data += connection.send(h11.Data(data=body)) or b""
        return connection, data + (connection.send(h11.EndOfMessage()) or b"")

    async def read(self, stream: trio.SocketStream, connection: h11.Connection) -> CallerResponse:
        """Read a response until it is complete or the connection ends."""
        response = CallerResponse()
        while True:
            try:
                h11_event = connection.next_event()
                if h11_event is h11.NEED_DATA:
                    connection.receive_data(await stream.receive_some(65536))
            except (h11.RemoteProtocolError, trio.BrokenResourceError):
                return response
            if isinstance(h11_event, h11.Response):
                response.status, response.headers = h11_event.status_code, dict(h11_event.headers)
            elif isinstance(h11_event, h11.Data):
                response.body += h11_event.data
            elif isinstance(h11_event, h11.EndOfMessage):
                response.is_complete = True
                return response
            elif isinstance(h11_event, h11.ConnectionClosed):
                return response

    async def _listen(
        self, endpoint: ScriptedEndpoint, closes_port_on_request: bool = False
    ) -> str:
        assert self._nursery is not None
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        [listener] = listeners

        if closes_port_on_request:
            endpoint.before_script = listener.aclose
        self._nursery.start_soon(self._serve, endpoint.serve, listener)
        host, port = listener.socket.getsockname()
        return f"{host}:{port}"

    async def _serve(
        self, serve: Callable[[trio.SocketStream], Awaitable[None]], listener: trio.SocketListener
    ) -> None:
        """Serve until the listener is closed; accepted connections are served to their end."""
        async with trio.open_nursery() as nursery:
            try:
                await trio.serve_listeners(serve, [listener], handler_nursery=nursery)
            except* trio.ClosedResourceError:
                pass  # The endpoint has closed its port.


async def respond_ok(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Answer with status 200."""
    await endpoint.answer(200, b"fine")


async def answer_with_long_body(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Answer with more bytes than a caller's socket buffers can hold."""
    await endpoint.answer(200, LONG_BODY)


async def refuse_not_run(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Refuse, and promise that the request has not run."""
    await endpoint.answer(503, b"", yewloom_not_executed="1")


async def close_without_response(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Close the connection after reading the request."""


async def respond_with_error(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Answer with status 500."""
    await endpoint.answer(500, b"oops")


def run(
    test: Callable[[ForwarderFixture], Awaitable[None]],
    routes: tuple[Route, ...] = ROUTES,
    limits: CallerLimits = LIMITS,
) -> None:
    """Run a test with a fixture that serves callers."""

    async def main() -> None:
        fixture = ForwarderFixture(make_configuration(*routes), limits=limits)
        async with trio.open_nursery() as nursery:
            await fixture.start(nursery)
            with trio.fail_after(20):
                await test(fixture)
            nursery.cancel_scope.cancel()

    trio.run(main)
