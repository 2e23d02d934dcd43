"""Plain endpoints that one request ends, or that name a limit of the requests that they take."""

from collections import defaultdict
from dataclasses import dataclass, field

import h11
import trio

from yewloom.addresses import split_address
from yewloom.platform.standin_store import StandinStore
from yewloom.tests.free_ports import free_address

READ_BYTES = 65536
"""Longest piece of a request that is read at once."""

DOWN_S = 3.0
"""Time until an endpoint that ended is started again."""

LISTED_S = 2.0
"""Time for which the store still lists an endpoint that ended."""

WORK_S = 0.03
"""Time that an endpoint works on a request, the one that ends it included."""

CRASHING_BODY = b"ends whoever runs it"


@dataclass
class EndpointLedger:
    """When the crashing request came to endpoints, when it ended one, and all that came to each.

    ``limited_since_s`` is when an endpoint first named its limit.
    """

    arrived_s: list[float] = field(default_factory=list)
    ended_s: list[float] = field(default_factory=list)
    all_arrived_s: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    limited_since_s: dict[str, float] = field(default_factory=dict)


class FragileEndpoint:
    """One address of a plain service; each process at it has an id of its own.

    ``limit`` is the text by which it names a limit in all of its answers, if it is not empty.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: StandinStore,
        ledger: EndpointLedger,
        limit: str = "",
    ) -> None:
        self.limit = limit
        self._name = name
        self._service = service
        self._store = store
        self._ledger = ledger
        self._address = free_address()
        self._starts = 0

    @property
    def _id(self) -> str:
        return f"{self._name}-{self._starts}"

    async def run(self) -> None:
        """Serve, end and start again until cancelled."""
        while True:
            self._starts += 1
            await self._serve_until_it_ends()
            await trio.sleep(LISTED_S)
            self._store.remove("servers", self._id)
            await trio.sleep(DOWN_S - LISTED_S)

    async def _serve_until_it_ends(self) -> None:
        """Run one process: its end closes its port and all of its connections."""
        host, port = split_address(self._address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        async with trio.open_nursery() as nursery:
            process = _Process(self, self._id, self._ledger, nursery.cancel_scope)
            nursery.start_soon(trio.serve_listeners, process.serve, listeners)
            self._publish()

    def _publish(self) -> None:
        """Write the entry of the process that runs now into the store."""
        spec = {
            "service": self._service,
            "address": self._address,
            "zone": "hall-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
        }
        self._store.put("servers", self._id, spec)


class _Process:
    """One process of an endpoint."""

    def __init__(
        self,
        endpoint: FragileEndpoint,
        name: str,
        ledger: EndpointLedger,
        scope: trio.CancelScope,
    ) -> None:
        self._endpoint = endpoint
        self._name = name
        self._ledger = ledger
        self._scope = scope

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer requests on a connection until it ends."""
        connection = h11.Connection(h11.SERVER)
        async with stream:
            try:
                while await self._serve_one(stream, connection):
                    connection.start_next_cycle()
            except (trio.BrokenResourceError, h11.RemoteProtocolError):
                return  # The entry host closed: its caller left, or its time was over.

    async def _serve_one(self, stream: trio.SocketStream, connection: h11.Connection) -> bool:
        """Answer one request; tell whether another may follow."""
        request, body = None, b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                break
            else:
                return False
        answer = await self._answer(dict(request.headers), body)
        await stream.send_all(b"".join(connection.send(event) or b"" for event in answer))
        return connection.our_state is h11.DONE

    async def _answer(self, headers: dict[bytes, bytes], body: bytes) -> list[h11.Event]:
        """Return the answer to a request; one that was meant for another process has not run."""
        echoed = [(b"yewloom-request-id", headers.get(b"yewloom-request-id", b""))]
        no_body = (b"content-length", b"0")
        if headers.get(b"yewloom-expect-instance") != self._name.encode():
            return [h11.Response(status_code=421, headers=[*echoed, no_body]), h11.EndOfMessage()]
        self._ledger.all_arrived_s[self._name].append(trio.current_time())
        if body == CRASHING_BODY:
            self._ledger.arrived_s.append(trio.current_time())
        await trio.sleep(WORK_S)
        if body == CRASHING_BODY:
            self._ledger.ended_s.append(trio.current_time())
            self._scope.cancel()
            await trio.lowlevel.checkpoint()
        stamp = (b"yewloom-server-stamp", self._name.encode())
        head = [*echoed, *self._named_limit(), stamp, no_body]
        return [h11.Response(status_code=200, headers=head), h11.EndOfMessage()]

    def _named_limit(self) -> list[tuple[bytes, bytes]]:
        """Return the header that names the endpoint's limit, if it has one."""
        if not self._endpoint.limit:
            return []
        self._ledger.limited_since_s.setdefault(self._name, trio.current_time())
        return [(b"server-limit", self._endpoint.limit.encode())]
