"""Tests of accepting callers' connections."""

import socket
import time
import unittest
from unittest import mock

import trio
import trio.testing

from yewloom import caller_connection
from yewloom.addresses import split_address
from yewloom.caller_messages import CallerRequest, Handlers, ResponseWriter
from yewloom.caller_server import CallerServer
from yewloom.configuration import CallerLimits
from yewloom.early_listener import listen
from yewloom.endpoint_calls import ExchangeError, ExchangeFailure, OutgoingRequest, open_exchange
from yewloom.tests.caller_support import request_bytes
from yewloom.tests.free_ports import allocate_address

HEADERS = [(b"host", b"x.example"), (b"content-length", b"0")]
IDLE_CONNECTIONS = 8
"""Number of idle connections when the server stops."""

RESPONSE_LIMIT_S = 5.0
"""Maximum time until a caller has a response."""

ARRIVAL_S = 0.05
"""Time for the operating system to deliver what was sent."""

REQUEST = OutgoingRequest(b"POST", b"/", HEADERS, b"")


async def _status_of(caller: socket.socket) -> bytes:
    """Return the status that a caller receives, or else the error or ``closed``."""
    caller.settimeout(RESPONSE_LIMIT_S)
    try:
        received = await trio.to_thread.run_sync(caller.recv, 1000)
    except OSError as error:
        return repr(error).encode()
    return received.split(b" ")[1] if received else b"closed"


class TestPlannedStop(unittest.TestCase):
    """What a stopping server still accepts."""

    def test_no_connection_is_accepted_and_open_requests_are_answered(self) -> None:
        trio.run(self._stop_with_an_open_request)

    async def _stop_with_an_open_request(self) -> None:
        handler_started, may_respond = trio.Event(), trio.Event()

        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            handler_started.set()
            await may_respond.wait()
            await response.send_complete(200, [], b"done")

        server, address = CallerServer(Handlers(handle), CallerLimits), allocate_address()
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, listen(address))
            async with open_exchange(address, 1.0) as exchange:
                await exchange.send(REQUEST)
                await handler_started.wait()
                server.stop_accepting()
                await trio.testing.wait_all_tasks_blocked(0.05)
                with self.assertRaises(ExchangeError) as refused:
                    async with open_exchange(address, 1.0):
                        pass
                self.assertIs(refused.exception.failure, ExchangeFailure.REFUSED)
                may_respond.set()
                head = await exchange.read_head()
                self.assertEqual((head.status, await exchange.read_body()), (200, b"done"))
            nursery.cancel_scope.cancel()

    def test_a_connection_opened_while_the_server_closes_is_rejected_not_reset(self) -> None:
        """Guards against resets of connections opened after the last check of the queue."""
        trio.run(self._connect_after_the_last_check)

    async def _connect_after_the_last_check(self) -> None:
        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            self.fail("a request was started")

        server, address = CallerServer(Handlers(handle), CallerLimits), allocate_address()
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, listen(address))
            await trio.testing.wait_all_tasks_blocked()
            server.stop_accepting()
            caller = socket.create_connection(split_address(address))
            caller.sendall(request_bytes("/1"))
            time.sleep(ARRIVAL_S)  # noqa: ASYNC251 - the server closes nothing meanwhile
            with trio.fail_after(2.0):
                await server.activity.wait_until_idle()
            with caller:
                self.assertEqual(await _status_of(caller), b"503")
            nursery.cancel_scope.cancel()

    def test_a_request_sent_while_idle_connections_are_closed_is_rejected(self) -> None:
        """Guards against resets of new requests while a loop pass closes many connections."""
        trio.run(self._send_while_connections_are_closed)

    async def _send_while_connections_are_closed(self) -> None:
        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            self.fail("a request was started")

        server, address = CallerServer(Handlers(handle), CallerLimits), allocate_address()
        callers: list[socket.socket] = []
        sending: list[socket.socket] = []

        def send_on_the_others(event: str, caller_port: int, **fields: object) -> None:
            if not sending:
                sending.extend(c for c in callers if c.getsockname()[1] != caller_port)
                for caller in sending:
                    caller.sendall(request_bytes("/1"))
                time.sleep(ARRIVAL_S)

        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, listen(address))
            callers += [
                socket.create_connection(split_address(address)) for _ in range(IDLE_CONNECTIONS)
            ]
            await trio.testing.wait_all_tasks_blocked(0.05)
            with mock.patch.object(caller_connection, "logger") as logger:
                logger.debug.side_effect = send_on_the_others
                server.stop_accepting()
                with trio.fail_after(2.0):
                    await server.activity.wait_until_idle()
            statuses = [await _status_of(caller) for caller in sending]
            for caller in callers:
                caller.close()
            nursery.cancel_scope.cancel()
        self.assertEqual(statuses, [b"503"] * (IDLE_CONNECTIONS - 1))

    def test_connections_accepted_before_the_server_ran_are_served(self) -> None:
        trio.run(self._serve_accepted_connections)

    async def _serve_accepted_connections(self) -> None:
        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            await response.send_complete(200, [], b"done")

        server, address = CallerServer(Handlers(handle), CallerLimits), allocate_address()
        listener = listen(address)
        async with trio.open_nursery() as nursery, open_exchange(address, 1.0) as exchange:
            accepted, _ = listener.accept()
            no_wait = trio.lowlevel.checkpoint
            await nursery.start(server.serve, listener, no_wait, [accepted])
            await exchange.send(REQUEST)
            with trio.fail_after(2.0):
                self.assertEqual((await exchange.read_head()).status, 200)
            nursery.cancel_scope.cancel()

    # Guards against resets of callers that connected during a start, if the host stops in it.
    def test_connections_accepted_before_a_server_that_is_stopped_first_are_rejected(self) -> None:
        trio.run(self._stop_before_accepted_connections_are_served)

    async def _stop_before_accepted_connections_are_served(self) -> None:
        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            self.fail("a request was started")

        server, address = CallerServer(Handlers(handle), CallerLimits), allocate_address()
        listener = listen(address)
        async with trio.open_nursery() as nursery, open_exchange(address, 1.0) as exchange:
            accepted, _ = listener.accept()
            await nursery.start(server.serve, listener, trio.sleep_forever, [accepted])
            await exchange.send(REQUEST)
            server.stop_accepting()
            with trio.fail_after(2.0):
                await server.activity.wait_until_idle()
                self.assertEqual((await exchange.read_head()).status, 503)
            nursery.cancel_scope.cancel()

    def test_connections_in_the_accept_queue_are_rejected_not_reset(self) -> None:
        """Guards against resets when a host is stopped while it starts, with requests sent."""
        trio.run(self._stop_before_anything_is_accepted)

    async def _stop_before_anything_is_accepted(self) -> None:
        async def handle(request: CallerRequest, response: ResponseWriter) -> None:
            self.fail("a request was started")

        server, address = CallerServer(Handlers(handle), CallerLimits), allocate_address()
        async with trio.open_nursery() as nursery:
            listener = listen(address)
            await nursery.start(server.serve, listener, trio.sleep_forever)
            async with open_exchange(address, 1.0) as first, open_exchange(address, 1.0) as second:
                for exchange in (first, second):
                    await exchange.send(REQUEST)
                server.stop_accepting()
                server.stop_accepting()
                with trio.fail_after(2.0):
                    await server.activity.wait_until_idle()
                for exchange in (first, second):
                    self.assertEqual((await exchange.read_head()).status, 503)
            nursery.cancel_scope.cancel()
