"""Tests of requests that a host without reachable endpoints relays to a peer."""

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from unittest import mock

import h11
import trio

from yewloom.attempts import AttemptRecord, AttemptState
from yewloom.ids import EntryHostId, HostId
from yewloom.planned_stop import DEREGISTRATION_DELAY_S
from yewloom.relay_messages import _encode_attempts
from yewloom.request_admission import RESPONSE_MARGIN_S
from yewloom.tests.entry_support import (
    ENGINES,
    PLAIN,
    SMALL,
    make_configuration,
    make_route,
    put_group,
)
from yewloom.tests.forwarding_support import (
    STREAM_ROUTE,
    ForwarderFixture,
    ScriptedEndpoint,
    SharedEndpoint,
    close_without_response,
    event,
    refuse_not_run,
    respond_ok,
    respond_with_error,
)
from yewloom.tests.free_ports import allocate_address

NAMES = ("p1", "p2", "p3")
LOW_LIMIT_PER_S = 0.1


class Hosts:
    """A host that is cut off, and two peers; all know the same endpoints."""

    def __init__(self) -> None:
        self.isolated = ForwarderFixture()
        self.peers = [ForwarderFixture(host_id=EntryHostId(name)) for name in ("peer-1", "peer-2")]
        self.endpoints: list[ScriptedEndpoint] = []

    async def start(self, nursery: trio.Nursery, script: object, peers: int) -> None:
        """Start all hosts; the peers reach the endpoints, which run ``script``."""
        for host in (self.isolated, *self.peers):
            await host.start(nursery)
        self.isolated.add_unreachable(*NAMES)
        for peer in self.peers[:peers]:
            self.isolated.add_peer(peer)
        for name in NAMES:
            endpoint = SharedEndpoint(script)  # type: ignore[arg-type]
            self.endpoints.append(endpoint)
            for peer in self.peers:
                await peer.add_plain(name, endpoint)

    def run_count(self) -> int:
        """Return how many requests arrived at endpoints."""
        return sum(len(endpoint.requests) for endpoint in self.endpoints)


def run(
    test: Callable[[Hosts], Awaitable[None]], script: object = respond_ok, peers: int = 2
) -> None:
    """Run a test; the isolated host knows some of the peers."""

    async def main() -> None:
        hosts = Hosts()
        async with trio.open_nursery() as nursery:
            await hosts.start(nursery, script, peers)
            with trio.fail_after(20):
                await test(hosts)
            nursery.cancel_scope.cancel()

    trio.run(main)


class TestSharedLimits(unittest.TestCase):
    """A host that has used up its shares of rate limits relays to peers that have not."""

    def _run(self, peer_has_share: bool, test: Callable[[Hosts], Awaitable[None]]) -> None:
        async def main(hosts: Hosts) -> None:
            for name in NAMES:
                hosts.isolated.directory.remove(HostId(name))
            await hosts.isolated.add_plain(NAMES[0], hosts.endpoints[0])
            limited = [hosts.isolated, *([] if peer_has_share else hosts.peers)]
            for host in limited:
                host.limits.apply_announced(HostId(NAMES[0]), LOW_LIMIT_PER_S, trio.current_time())
                for name in NAMES[1:]:
                    host.directory.remove(HostId(name))
            await test(hosts)

        run(main)

    def test_a_request_beyond_the_own_share_is_relayed_to_a_peer(self) -> None:
        """Guards against refusals at one host while the shares of the others are not used."""

        async def test(hosts: Hosts) -> None:
            for _ in range(5):
                self.assertEqual((await hosts.isolated.request("/u/1")).status, 200)
            self.assertEqual(hosts.run_count(), 5)

        self._run(True, test)

    def test_a_peer_without_a_share_is_not_asked_again_until_the_time_that_it_names(self) -> None:
        """Guards against relays that multiply the work while all hosts are limited."""

        async def test(hosts: Hosts) -> None:
            for _ in range(5):
                response = await hosts.isolated.request("/u/1")
                self.assertEqual(response.status, 503)
                self.assertGreater(float(response.headers[b"retry-after"]), 1.0)
            registry = hosts.isolated.metrics.registry
            refused = registry.get_sample_value("yewloom_relays_total", {"outcome": "refused"})
            self.assertEqual(refused, len(hosts.peers))
            self.assertEqual(hosts.run_count(), 0)

        self._run(False, test)

    def test_a_peer_with_another_configuration_does_not_refuse_for_good(self) -> None:
        """Guards against a refusal for good by a host that the caller did not ask."""

        async def test(hosts: Hosts) -> None:
            for peer in hosts.peers:
                without_routes = make_configuration(version=4)
                peer.configuration_state.apply(without_routes, trio.current_time())
            response = await hosts.isolated.request("/u/1")
            self.assertEqual(response.status, 503)
            self.assertIn(b"retry-after", response.headers)

        self._run(True, test)

    def test_a_peer_does_not_relay_for_its_limits_what_was_relayed_to_it(self) -> None:
        async def test(hosts: Hosts) -> None:
            for peer in hosts.peers:
                peer.add_peer(hosts.isolated)
            with trio.fail_after(1.0):
                self.assertEqual((await hosts.isolated.request("/u/1")).status, 503)

        self._run(False, test)


class TestRelays(unittest.TestCase):
    """A relayed request is forwarded like one that the peer received from its caller."""

    def test_an_unsafe_request_is_relayed_and_runs_once(self) -> None:
        async def test(hosts: Hosts) -> None:
            for _ in range(3):
                response = await hosts.isolated.request("/u/1?a=b", yewloom_deadline_ms="900")
                self.assertEqual((response.status, response.body), (200, b"fine"))
                self.assertEqual(response.headers[b"yewloom-server-stamp"], b"stamp")
            self.assertEqual(hosts.run_count(), 3)
            endpoint = next(e for e in hosts.endpoints if e.requests)
            headers = dict(endpoint.requests[0].headers)
            self.assertEqual(endpoint.requests[0].target, b"/u/1?a=b")
            self.assertEqual(headers[b"yewloom-tenant"], b"hotel")
            margin_ms = 1000 * RESPONSE_MARGIN_S  # Each host reserves it for its own response.
            self.assertLessEqual(int(headers[b"yewloom-deadline-ms"]), 900 - 2 * margin_ms)
            self.assertNotIn(b"authorization", headers)

        run(test)

    def test_hosts_that_are_all_cut_off_refuse_without_a_loop(self) -> None:
        """Guards against requests that two isolated hosts relay to each other."""

        async def test(hosts: Hosts) -> None:
            for peer in hosts.peers:
                for name in NAMES:
                    peer.directory.remove(HostId(name))
                peer.add_unreachable(*NAMES)
                peer.add_peer(hosts.isolated)
            for _ in range(2):
                with trio.fail_after(1.0):
                    response = await hosts.isolated.request("/u/1")
                self.assertEqual(response.status, 503)
                self.assertIn(b"retry-after", response.headers)
            self.assertEqual(hosts.run_count(), 0)

        run(test)

    def test_a_host_without_peers_that_reach_the_service_refuses_at_once(self) -> None:
        async def test(hosts: Hosts) -> None:
            hosts.isolated.add_peer(hosts.peers[0], PLAIN)
            self.assertEqual((await hosts.isolated.request("/u/1")).status, 503)

        run(test, peers=0)

    def test_a_peer_that_lost_other_endpoints_is_used(self) -> None:
        async def test(hosts: Hosts) -> None:
            hosts.isolated.add_peer(hosts.peers[0], ENGINES)
            self.assertEqual((await hosts.isolated.request("/u/1")).status, 200)

        run(test, peers=0)

    def test_an_unsafe_request_is_not_repeated_if_the_peer_is_lost(self) -> None:
        """Guards against running an unsafe request twice, and against promising that it did not."""

        async def test(hosts: Hosts) -> None:
            async def stop_peers(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
                for peer in hosts.peers:
                    peer.peer_scope.cancel()
                await trio.sleep_forever()

            for endpoint in hosts.endpoints:
                endpoint._script = stop_peers
            self.assertEqual((await hosts.isolated.request("/u/1")).status, 502)
            self.assertEqual(hosts.run_count(), 1)

        run(test)

    def test_an_unsafe_request_is_not_repeated_here_once_an_endpoint_is_reached(self) -> None:
        """Guards against running an unsafe request here after a peer that may have run it."""
        own_endpoint = ScriptedEndpoint(respond_ok)

        async def test(hosts: Hosts) -> None:
            isolated = hosts.isolated

            async def run_and_lose_answer(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
                await isolated.add_plain("reached", own_endpoint)
                reached = isolated.directory.by_id[HostId("reached")]
                isolated.reachability.on_connected(reached, trio.current_time())

            for endpoint in hosts.endpoints:
                endpoint._script = run_and_lose_answer
            for name in NAMES:
                unreachable = isolated.directory.by_id[HostId(name)]
                isolated.reachability.on_failure(unreachable, trio.current_time())
            self.assertEqual((await hosts.isolated.request("/u/1")).status, 502)
            self.assertEqual(hosts.run_count() + len(own_endpoint.requests), 1)

        run(test)

    def test_a_retryable_request_goes_to_another_peer_if_the_first_is_lost(self) -> None:
        async def test(hosts: Hosts) -> None:
            async def stop_first(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
                if hosts.run_count() == 1:
                    for peer in hosts.peers:
                        if peer.server.activity.open_requests:
                            peer.peer_scope.cancel()
                    await trio.sleep_forever()
                await respond_ok(endpoint, request)

            for endpoint in hosts.endpoints:
                endpoint._script = stop_first
            self.assertEqual((await hosts.isolated.request("/r/1")).status, 200)
            self.assertEqual(hosts.run_count(), 2)

        run(test)

    def test_a_silent_peer_is_given_up(self) -> None:
        """Guards against waiting for a peer that lost power until the deadline."""

        async def test(hosts: Hosts) -> None:
            async def silence(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
                hosts.isolated.peer_states.drop_expired(trio.current_time() + 60.0)
                await trio.sleep_forever()

            for endpoint in hosts.endpoints:
                endpoint._script = silence
            with trio.fail_after(1.5):
                response = await hosts.isolated.request("/u/1", yewloom_deadline_ms="1900")
            self.assertEqual(response.status, 502)

        run(test)

    def test_a_refusal_by_endpoints_stays_a_refusal(self) -> None:
        async def test(hosts: Hosts) -> None:
            response = await hosts.isolated.request("/u/1")
            self.assertEqual(response.status, 503)
            self.assertIn(b"retry-after", response.headers)

        run(test, script=refuse_not_run)

    def test_the_caller_that_leaves_ends_the_request_at_the_endpoint(self) -> None:
        arrived, left = trio.Event(), trio.Event()

        async def wait_for_end(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            arrived.set()
            assert endpoint.stream is not None
            await endpoint.stream.receive_some(1)
            left.set()

        async def test(hosts: Hosts) -> None:
            stream = await trio.open_tcp_stream(*hosts.isolated.address)
            await hosts.isolated.send(stream, "/u/1")
            await arrived.wait()
            await stream.aclose()
            with trio.fail_after(0.5):
                await left.wait()

        run(test, script=wait_for_end)

    def test_a_planned_stop_of_the_peer_waits_for_relayed_requests(self) -> None:
        """Guards against stops that cut off requests of other hosts' callers."""

        async def test(hosts: Hosts) -> None:
            peer = hosts.peers[0]
            started, may_end = trio.Event(), trio.Event()

            async def wait(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
                started.set()
                await may_end.wait()
                await respond_ok(endpoint, request)

            for endpoint in hosts.endpoints:
                endpoint._script = wait
            statuses: list[int] = []

            async def ask() -> None:
                statuses.append((await hosts.isolated.request("/u/1")).status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await started.wait()
                peer.stop.begin(trio.current_time())
                peer.server.activity.begin_stop()
                peer.server.stop_accepting()
                with trio.move_on_after(0.2) as scope:
                    await peer.server.activity.wait_until_idle()
                self.assertTrue(scope.cancelled_caught)
                # A request that arrives after the stop is refused, so the other peer gets it.
                self.assertEqual((await hosts.isolated.request("/u/2")).status, 503)
                may_end.set()
            self.assertEqual(statuses, [200])
            self.assertLess(DEREGISTRATION_DELAY_S, peer.stop.exit_s)

        run(test, peers=1)

    def test_a_refusal_by_peers_promises_nothing_if_an_endpoint_may_have_run_it(self) -> None:
        """Guards against a promise that holds for the peer only.

        A peer that does not know its endpoints refuses a request without a look at its attempts.
        """

        async def refuse(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            raise AssertionError("the peers refuse the request")

        async def test(hosts: Hosts) -> None:
            await hosts.isolated.add_plain("p0", ScriptedEndpoint(close_without_response), True)
            for peer in hosts.peers:
                peer.directory.is_loaded = False
            response = await hosts.isolated.request("/r/1")
            self.assertEqual(response.status, 502)
            self.assertEqual(await self._refused_status(hosts), 503)

        run(test, script=refuse)

    async def _refused_status(self, hosts: Hosts) -> int:
        """Return the status of a request that no endpoint has received."""
        hosts.isolated.directory.remove(HostId("p0"))
        return (await hosts.isolated.request("/u/1")).status


class TestLimitsOverBothHosts(unittest.TestCase):
    """The limits of retries hold for a request, whichever hosts forward it."""

    def test_a_relayed_request_is_counted_for_the_budget_of_one_host(self) -> None:
        """Guards against a budget that grows because two hosts count the same request."""

        async def test(hosts: Hosts) -> None:
            for _ in range(4):
                self.assertEqual((await hosts.isolated.request("/u/1")).status, 200)
            counts = [_counted(host) for host in (hosts.isolated, *hosts.peers)]
            self.assertEqual(sum(counts), 4)

        run(test)

    def test_a_request_reaches_no_more_endpoints_than_its_route_allows(self) -> None:
        async def cut_off(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200, content_type="text/event-stream")
            await endpoint.send(event(1))

        async def test(hosts: Hosts) -> None:
            isolated, peer = hosts.isolated, hosts.peers[0]
            first = ScriptedEndpoint(cut_off)
            await isolated.add_engine("e1", first, True)
            _add_unreachable_engines(isolated, "e2", "e3")
            others = [SharedEndpoint(cut_off) for _ in range(3)]
            for number, other in enumerate(others):
                await peer.add_engine(f"e{number + 2}", other)
            response = await isolated.request("/s/1")
            self.assertFalse(response.is_complete)
            run_count = len(first.requests) + sum(len(other.requests) for other in others)
            self.assertEqual(run_count, STREAM_ROUTE.max_endpoints)

        run(test, peers=1)


def _counted(host: ForwarderFixture) -> int:
    """Return how many requests to the plain service a host has counted for its budget."""
    return len(host.forwarder._retries._services[PLAIN].request_times_s)


def _add_unreachable_engines(host: ForwarderFixture, *names: str) -> None:
    """Add leaders of groups to which connections are refused."""
    for name in names:
        put_group(host.directory, f"group-{name}", SMALL, [name, f"{name}-2"])
        listed = host.directory.by_id[HostId(name)]
        host.directory.put(replace(listed, address=allocate_address()))


class TestRelayedStreams(unittest.TestCase):
    """Streams continue at a peer after the last event that the caller received."""

    def test_a_stream_that_lost_its_endpoint_continues_through_a_peer(self) -> None:
        """Guards against ending the open streams of a host that is cut off."""

        async def send_two_events(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200, content_type="text/event-stream")
            for number in (1, 2):
                await endpoint.send(event(number))

        async def send_the_rest(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            first = int(dict(request.headers).get(b"last-event-id", b"0")) + 1
            await endpoint.start(200, content_type="text/event-stream")
            for number in range(first, 5):
                await endpoint.send(event(number))
            await endpoint.finish()

        async def test(hosts: Hosts) -> None:
            isolated, peer = hosts.isolated, hosts.peers[0]
            await isolated.add_engine("e1", ScriptedEndpoint(send_two_events), True)
            _add_unreachable_engines(isolated, "e2", "e3")
            second = SharedEndpoint(send_the_rest)
            await peer.add_engine("e2", second)
            response = await isolated.request("/s/1")
            self.assertEqual(dict(second.requests[0].headers)[b"last-event-id"], b"2")
            self.assertTrue(response.is_complete)
            self.assertEqual(response.body, b"".join(event(number) for number in range(1, 5)))

        run(test, peers=1)

    def test_a_failure_at_the_peer_does_not_end_a_stream_that_has_begun(self) -> None:
        """Guards against a stream that is cut off although a further endpoint is allowed."""

        async def send_one_event(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200, content_type="text/event-stream")
            await endpoint.send(event(1))

        async def send_the_second(endpoint: ScriptedEndpoint, request: h11.Request) -> None:
            await endpoint.start(200, content_type="text/event-stream")
            await endpoint.send(event(2))
            await endpoint.finish()

        async def test(hosts: Hosts) -> None:
            isolated = hosts.isolated
            for host in (isolated, *hosts.peers):
                route = replace(STREAM_ROUTE, max_endpoints=3)
                newer = make_configuration(route, version=4)
                host.configuration_state.apply(newer, trio.current_time())
            await isolated.add_engine("e1", ScriptedEndpoint(send_one_event), True)
            _add_unreachable_engines(isolated, "e2", "e3")
            failing, sound = SharedEndpoint(respond_with_error), SharedEndpoint(send_the_second)
            for peer, endpoint in zip(hosts.peers, (failing, sound), strict=True):
                await peer.add_engine("e2", endpoint)
            isolated.forwarder._relays._peers._rng = mock.Mock(sample=lambda peers, n: peers[:1])
            response = await isolated.request("/s/1")
            self.assertEqual((len(failing.requests), len(sound.requests)), (1, 1))
            self.assertEqual((response.body, response.is_complete), (event(1) + event(2), True))

        run(test)


class TestRelayedAttempts(unittest.TestCase):
    """A peer learns which endpoints may have received the request."""

    def test_only_attempts_that_reached_an_endpoint_are_sent(self) -> None:
        record = AttemptRecord(make_route())
        for name, state in (
            ("unreachable", AttemptState.NOTHING_SENT),
            ("full", AttemptState.NOT_RUN),
            ("lost", AttemptState.SENT),
        ):
            record.set_state(HostId(name), state)
        record.relays = {
            EntryHostId("refusing"): AttemptState.NOT_RUN,
            EntryHostId("silent"): AttemptState.SENT,
        }
        sent = {attempt.endpoint: attempt.is_not_run for attempt in _encode_attempts(record)}
        self.assertEqual(sent, {"full": True, "lost": False, "silent": False})
