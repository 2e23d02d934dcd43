"""Tests of accepting callers' connections."""

import socket
import time
import unittest
from unittest import mock

import trio
import trio.testing

from yewloom import caller_connection
from yewloom.addresses import split_address
from yewloom.caller_messages import CallerRequest, Handlers, Reply
from yewloom.caller_server import CallerServer
from yewloom.configuration import CallerLimits
from yewloom.early_listener import listen
from yewloom.endpoint_calls import ExchangeError, ExchangeFailure, OutgoingRequest, open_exchange
from yewloom.tests.caller_support import request_bytes
from yewloom.tests.free_ports import free_address

HEADERS = [(b"host", b"x.example"), (b"content-length", b"0")]
IDLE = 8
"""Connections that are idle when the server stops."""

ANSWER_LIMIT_S = 5.0
"""Longest time until a caller has an answer."""

ARRIVAL_S = 0.05
"""Time in which the system hands on what was sent."""

REQUEST = OutgoingRequest(b"POST", b"/", HEADERS, b"")


async def _status_of(caller: socket.socket) -> bytes:
    """Return the status that a caller reads, or what it sees in its place."""
    caller.settimeout(ANSWER_LIMIT_S)
    try:
        answer = await trio.to_thread.run_sync(caller.recv, 1000)
    except OSError as error:
        return repr(error).encode()
    return answer.split(b" ")[1] if answer else b"closed"


class TestPlannedStop(unittest.TestCase):
    """What a server that stops still takes."""

    def test_no_connection_is_accepted_any_more_and_open_requests_are_answered(self) -> None:
        trio.run(self._stop_with_an_open_request)

    async def _stop_with_an_open_request(self) -> None:
        asked, may_answer = trio.Event(), trio.Event()

        async def handle(request: CallerRequest, reply: Reply) -> None:
            asked.set()
            await may_answer.wait()
            await reply.send_whole(200, [], b"done")

        server, address = CallerServer(Handlers(handle), CallerLimits), free_address()
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, listen(address))
            async with open_exchange(address, 1.0) as exchange:
                await exchange.send(REQUEST)
                await asked.wait()
                server.stop_taking()
                await trio.testing.wait_all_tasks_blocked(0.05)
                with self.assertRaises(ExchangeError) as refused:
                    async with open_exchange(address, 1.0):
                        pass
                self.assertIs(refused.exception.failure, ExchangeFailure.REFUSED)
                may_answer.set()
                head = await exchange.head()
                self.assertEqual((head.status, await exchange.whole_body()), (200, b"done"))
            nursery.cancel_scope.cancel()

    def test_a_connection_that_comes_while_the_server_closes_is_refused_and_not_reset(self) -> None:
        """Guards against a last look at the queue that is not the last before the close."""
        trio.run(self._connect_behind_the_last_look)

    async def _connect_behind_the_last_look(self) -> None:
        async def handle(request: CallerRequest, reply: Reply) -> None:
            self.fail("a request was begun")

        server, address = CallerServer(Handlers(handle), CallerLimits), free_address()
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, listen(address))
            await trio.testing.wait_all_tasks_blocked()
            server.stop_taking()
            caller = socket.create_connection(split_address(address))
            caller.sendall(request_bytes("/1"))
            time.sleep(ARRIVAL_S)  # noqa: ASYNC251 - the server closes nothing meanwhile
            with trio.fail_after(2.0):
                await server.activity.wait_until_idle()
            with caller:
                self.assertEqual(await _status_of(caller), b"503")
            nursery.cancel_scope.cancel()

    def test_a_request_that_comes_while_idle_connections_are_closed_is_refused(self) -> None:
        """Guards against a pass of the loop that closes many and resets who asks meanwhile."""
        trio.run(self._ask_while_connections_are_closed)

    async def _ask_while_connections_are_closed(self) -> None:
        async def handle(request: CallerRequest, reply: Reply) -> None:
            self.fail("a request was begun")

        server, address = CallerServer(Handlers(handle), CallerLimits), free_address()
        callers: list[socket.socket] = []
        asking: list[socket.socket] = []

        def ask_on_the_others(event: str, caller_port: int, **fields: object) -> None:
            if not asking:
                asking.extend(c for c in callers if c.getsockname()[1] != caller_port)
                for caller in asking:
                    caller.sendall(request_bytes("/1"))
                time.sleep(ARRIVAL_S)

        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, listen(address))
            callers += [socket.create_connection(split_address(address)) for _ in range(IDLE)]
            await trio.testing.wait_all_tasks_blocked(0.05)
            with mock.patch.object(caller_connection, "logger") as logger:
                logger.debug.side_effect = ask_on_the_others
                server.stop_taking()
                with trio.fail_after(2.0):
                    await server.activity.wait_until_idle()
            statuses = [await _status_of(caller) for caller in asking]
            for caller in callers:
                caller.close()
            nursery.cancel_scope.cancel()
        self.assertEqual(statuses, [b"503"] * (IDLE - 1))

    def test_connections_that_were_accepted_before_are_served(self) -> None:
        trio.run(self._serve_what_was_accepted)

    async def _serve_what_was_accepted(self) -> None:
        async def handle(request: CallerRequest, reply: Reply) -> None:
            await reply.send_whole(200, [], b"done")

        server, address = CallerServer(Handlers(handle), CallerLimits), free_address()
        listener = listen(address)
        async with trio.open_nursery() as nursery, open_exchange(address, 1.0) as exchange:
            accepted, _ = listener.accept()
            no_wait = trio.lowlevel.checkpoint
            await nursery.start(server.serve, listener, no_wait, [accepted])
            await exchange.send(REQUEST)
            with trio.fail_after(2.0):
                self.assertEqual((await exchange.head()).status, 200)
            nursery.cancel_scope.cancel()

    def test_connections_that_wait_when_the_server_closes_are_refused_and_not_reset(self) -> None:
        """A host is stopped while it starts: nothing has been accepted, and callers have sent."""
        trio.run(self._stop_before_anything_is_accepted)

    async def _stop_before_anything_is_accepted(self) -> None:
        async def handle(request: CallerRequest, reply: Reply) -> None:
            self.fail("a request was begun")

        server, address = CallerServer(Handlers(handle), CallerLimits), free_address()
        async with trio.open_nursery() as nursery:
            listener = listen(address)
            await nursery.start(server.serve, listener, trio.sleep_forever)
            async with open_exchange(address, 1.0) as first, open_exchange(address, 1.0) as second:
                for exchange in (first, second):
                    await exchange.send(REQUEST)
                server.stop_taking()
                server.stop_taking()
                with trio.fail_after(2.0):
                    await server.activity.wait_until_idle()
                for exchange in (first, second):
                    self.assertEqual((await exchange.head()).status, 503)
            nursery.cancel_scope.cancel()
