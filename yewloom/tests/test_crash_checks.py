"""Tests of what proves that an endpoint's process ended."""

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from unittest import mock

import h11
import trio
import trio.testing

from yewloom.crash_checks import LOOK_PAUSES_S, STORE_S, CrashChecks
from yewloom.crash_record import CRASHES, CrashRecord
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.ids import EntryHostId, Fingerprint
from yewloom.quarantine import Quarantine
from yewloom.tests.entry_support import make_plain
from yewloom.tests.forwarding_support import Endpoint as ScriptedEndpoint
from yewloom.tests.forwarding_support import Fixture, answer_ok, close_without_answer, event, run
from yewloom.tests.free_ports import free_address

F = Fingerprint(7)
ME = EntryHostId("me")
LOOKED_S = sum(LOOK_PAUSES_S) + 0.5
"""Time after which all looks are over."""


class World:
    """Checks that run, before endpoints whose ports are open or closed."""

    def __init__(self) -> None:
        self.directory = EndpointDirectory()
        self.record = CrashRecord(Quarantine(ME, lambda: [ME]))
        self.checks = CrashChecks(self.record, self.directory)

    def list_endpoint(self, address: str, is_leaving: bool = False) -> Endpoint:
        """List an endpoint and return it."""
        endpoint = replace(make_plain("p", address), is_leaving=is_leaving)
        self.directory.put(endpoint)
        return endpoint


def play(test: Callable[[World], Awaitable[None]], autojump: bool = False) -> None:
    """Run a test while checks run."""

    async def main() -> None:
        world = World()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.checks.run)
            await trio.testing.wait_all_tasks_blocked()
            with trio.fail_after(20):
                await test(world)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0) if autojump else None)


class TestCrashChecks(unittest.TestCase):
    """Ended or not."""

    def test_a_port_that_refuses_shows_that_the_process_ended(self) -> None:
        async def test(world: World) -> None:
            await world.checks.note_cut(world.list_endpoint(free_address()), F)
            await trio.sleep(LOOKED_S)
            self.assertTrue(world.record.is_suspect(F))

        play(test)

    def test_an_endpoint_that_cuts_and_lives_on_has_not_ended(self) -> None:
        """Guards against guilt by resets, cuts and endpoints that break answers off."""

        async def test(world: World) -> None:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, _hold, listeners)
                port = listeners[0].socket.getsockname()[1]
                await world.checks.note_cut(world.list_endpoint(f"127.0.0.1:{port}"), F)
                await trio.sleep(LOOKED_S)
                nursery.cancel_scope.cancel()
            self.assertFalse(world.record.is_suspect(F))

        play(test)

    def test_silence_shows_nothing(self) -> None:
        async def silent(*where: object, **options: object) -> None:
            await trio.sleep_forever()

        async def test(world: World) -> None:
            with mock.patch("yewloom.endpoint_calls.trio.open_tcp_stream", silent):
                await world.checks.note_cut(world.list_endpoint(free_address()), F)
                await trio.sleep(2 * LOOKED_S)
            self.assertFalse(world.record.is_suspect(F))

        play(test, autojump=True)

    def test_a_later_start_in_the_store_shows_it_too(self) -> None:
        """Guards against a process that is there again before anybody looks."""

        async def test(world: World) -> None:
            endpoint = world.list_endpoint(free_address())
            with mock.patch("yewloom.crash_checks._refuses", _lives):
                await world.checks.note_cut(endpoint, F)
                await trio.sleep(LOOKED_S)
            self.assertFalse(world.record.is_suspect(F))
            world.checks.on_started_again(endpoint.id)
            self.assertTrue(world.record.is_suspect(F))

        play(test, autojump=True)

    def test_a_start_long_after_a_cut_shows_nothing(self) -> None:
        async def test(world: World) -> None:
            endpoint = world.list_endpoint(free_address())
            with mock.patch("yewloom.crash_checks._refuses", _lives):
                await world.checks.note_cut(endpoint, F)
                await trio.sleep(STORE_S + LOOKED_S)
            world.checks.on_started_again(endpoint.id)
            self.assertFalse(world.record.is_suspect(F))

        play(test, autojump=True)

    def test_an_end_that_was_announced_is_no_crash(self) -> None:
        async def test(world: World) -> None:
            await world.checks.note_cut(world.list_endpoint(free_address(), is_leaving=True), F)
            unlisted = make_plain("other", free_address())
            await world.checks.note_cut(unlisted, F)
            await trio.sleep(LOOKED_S)
            self.assertFalse(world.record.is_suspect(F))

        play(test)


class TestForwardingOfSuspects(unittest.TestCase):
    """What callers get, and endpoints don't."""

    def test_a_request_that_ends_endpoints_reaches_three_and_is_then_refused_at_once(self) -> None:
        async def test(fixture: Fixture) -> None:
            endpoints = [await _crashing(fixture, f"p{number}") for number in range(CRASHES + 3)]
            statuses = [(await fixture.ask("/r/1")).status for _ in range(4)]
            self.assertEqual(sum(len(endpoint.requests) for endpoint in endpoints), CRASHES)
            self.assertEqual(statuses, [502, 502, 503, 503])
            refused = await fixture.ask("/r/1")
            self.assertGreater(int(refused.headers[b"retry-after"]), 60)

        run(test)

    def test_a_stream_that_ends_leaders_reaches_three_and_is_then_refused_at_once(self) -> None:
        """Guards against a stream that takes one group after the other with it."""

        async def test(fixture: Fixture) -> None:
            leaders = [ScriptedEndpoint(_cut_stream) for _ in range(CRASHES + 3)]
            for number, leader in enumerate(leaders):
                await fixture.add_engine(f"e{number}", leader, ends_with_a_request=True)
            answers = [await fixture.ask("/s/1") for _ in range(3)]
            self.assertEqual(sum(len(leader.requests) for leader in leaders), CRASHES)
            self.assertEqual([answer.status for answer in answers], [200, 200, 503])
            self.assertEqual([answer.is_whole for answer in answers], [False, False, True])

        run(test)

    def test_other_requests_of_the_same_caller_are_served_meanwhile(self) -> None:
        async def test(fixture: Fixture) -> None:
            for number in range(CRASHES):
                await _crashing(fixture, f"p{number}")
            for _ in range(2):
                await fixture.ask("/r/1")
            await fixture.add_plain("well", ScriptedEndpoint(answer_ok))
            self.assertEqual((await fixture.ask("/r/1")).status, 503)
            self.assertEqual((await fixture.ask("/r/2")).status, 200)

        run(test)

    def test_a_request_whose_connections_are_cut_by_endpoints_that_live_is_never_held(self) -> None:
        async def test(fixture: Fixture) -> None:
            for number in range(4):
                await fixture.add_plain(f"p{number}", ScriptedEndpoint(close_without_answer))
            for _ in range(4):
                self.assertEqual((await fixture.ask("/r/1")).status, 502)
            self.assertFalse(fixture.crashes.record.has_any)

        run(test)


async def _crashing(fixture: Fixture, name: str) -> ScriptedEndpoint:
    """List an endpoint whose process ends when it gets a request."""
    endpoint = ScriptedEndpoint(close_without_answer)
    await fixture.add_plain(name, endpoint, ends_with_a_request=True)
    return endpoint


async def _cut_stream(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
    """Send the first event of a stream and end."""
    await endpoint.start(200)
    await endpoint.send(event(1))


async def _hold(stream: trio.SocketStream) -> None:
    await trio.sleep_forever()


async def _lives(endpoint: Endpoint) -> bool:
    await trio.lowlevel.checkpoint()
    return False
