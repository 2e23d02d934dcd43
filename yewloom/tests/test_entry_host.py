"""Tests of complete entry hosts with simulations of the users' store and engines."""

import time
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import trio

from yewloom.fingerprints import format_fingerprint
from yewloom.ids import Fingerprint
from yewloom.platform.standin_engine import DEFAULT_EVENT_COUNT
from yewloom.process_signals import ProcessSignals
from yewloom.quarantine_store import STORE_KEY
from yewloom.replica_lifecycle import UNLISTED_GRACE_S
from yewloom.tests.deployment_support import MODEL, Deployment, configuration, run


class TestEntryHost(unittest.TestCase):
    """From an empty store to responses, and through failures."""

    def test_engines_form_groups_and_serve(self) -> None:
        async def test(deployment: Deployment) -> None:
            status, body = await deployment.send_request()
            self.assertEqual((status, body.count(b"id: ")), (200, DEFAULT_EVENT_COUNT))
            self.assertEqual((await deployment.send_request(key="no"))[0], 401)
            self.assertEqual(deployment.store.names("yewloom-placements"), ["hall-a"])
            for engine in deployment.engines:
                opened = [o for o in engine.orders if o["op"] == "open"]
                self.assertTrue(not opened or engine.members[0] == engine.name)

        run(test)

    def test_a_host_that_has_not_begun_its_stop_refuses_requests_that_come_late_in_it(self) -> None:
        """Guards against late requests at a host that was blocked when it was told to stop."""

        async def test(deployment: Deployment) -> None:
            for ago_s, status in ((1.0, 200), (6.0, 503)):
                with mock.patch.object(ProcessSignals, "requested_ago_s", return_value=ago_s):
                    self.assertEqual((await deployment.send_request())[0], status)

        run(test)

    def test_a_revoked_key_is_rejected_at_every_host(self) -> None:
        async def test(deployment: Deployment) -> None:
            deployment.store.put("config", "main", configuration(4, ["k2"]))

            async def is_rejected() -> bool:
                return all([(await deployment.send_request(host))[0] == 401 for host in (0, 1)])

            await deployment.wait_for(is_rejected)
            self.assertEqual((await deployment.send_request(key="k2"))[0], 200)

        run(test)

    def test_hosts_that_do_not_follow_the_store_learn_changes_from_peers(self) -> None:
        async def test(deployment: Deployment) -> None:
            deployment.store.put("config", "main", configuration(4, ["k2"]))
            all_hosts = range(len(deployment.hosts))

            async def all_changed() -> bool:
                return all(
                    [(await deployment.send_request(host, "k2"))[0] == 200 for host in all_hosts]
                )

            await deployment.wait_for(all_changed)
            self.assertEqual(
                [(await deployment.send_request(host))[0] for host in all_hosts], [401] * 5
            )

        run(test, hosts=5)

    def test_an_older_configuration_is_never_applied(self) -> None:
        async def test(deployment: Deployment) -> None:
            deployment.store.put("config", "main", configuration(2, ["k2"]))
            await trio.sleep(0.6)
            self.assertEqual((await deployment.send_request())[0], 200)
            self.assertEqual((await deployment.send_request(key="k2"))[0], 401)

        run(test)

    def test_hosts_serve_without_the_store_until_keys_are_too_old(self) -> None:
        async def test(deployment: Deployment) -> None:
            deployment.store.faults.status = 503
            self.assertEqual((await deployment.send_request())[0], 200)

            async def is_rejected() -> bool:
                return (await deployment.send_request())[0] == 503

            await deployment.wait_for(is_rejected)
            deployment.store.faults.status = 0

            async def is_served() -> bool:
                return (await deployment.send_request())[0] == 200

            await deployment.wait_for(is_served)

        run(test)

    def test_a_key_revoked_by_an_invalid_configuration_soon_stops_working(self) -> None:
        async def test(deployment: Deployment) -> None:
            deployment.store.put("config", "main", {"version": 4, "routes": [{}]})
            self.assertEqual((await deployment.send_request())[0], 200)

            async def is_refused_everywhere() -> bool:
                statuses = [(await deployment.send_request(host))[0] for host in range(2)]
                return statuses == [503, 503]

            await deployment.wait_for(is_refused_everywhere)
            deployment.store.put("config", "main", configuration(5, ["k2"]))

            async def is_replaced() -> bool:
                return (await deployment.send_request(key="k2"))[0] == 200

            await deployment.wait_for(is_replaced)
            self.assertEqual((await deployment.send_request(key="k1"))[0], 401)

        run(test)

    def test_a_listing_after_lost_history_recovers_missed_changes(self) -> None:
        async def test(deployment: Deployment) -> None:
            deployment.store.put("config", "main", configuration(4, ["k1", "k2"]))
            deployment.store.drop_history()

            async def is_served() -> bool:
                return (await deployment.send_request(key="k2"))[0] == 200

            await deployment.wait_for(is_served)

        run(test)

    def test_a_stream_moves_away_from_a_stalled_group(self) -> None:
        async def test(deployment: Deployment) -> None:
            await deployment.wait_for(self._has_two_groups(deployment))
            deployment.group_leaders()[0].progress_enabled = trio.Event()
            for _ in range(4):
                status, body = await deployment.send_request()
                self.assertEqual((status, body.count(b"id: ")), (200, DEFAULT_EVENT_COUNT))

        run(test)

    def test_a_group_that_lost_a_member_is_replaced(self) -> None:
        async def test(deployment: Deployment) -> None:
            await deployment.wait_for(self._has_two_groups(deployment))
            spare = await deployment.add_engine("spare")
            spare.staged = [MODEL]
            spare.publish()
            leader = deployment.group_leaders()[0]
            lost = next(e for e in deployment.engines if e.name == leader.members[1])
            old_group = leader.group
            lost.is_silent = True
            deployment.store.remove("servers", lost.name)
            deployment.engines.remove(lost)

            async def is_replaced() -> bool:
                groups = [e.group for e in deployment.group_leaders()]
                return len(groups) == 2 and old_group not in groups

            await deployment.wait_for(is_replaced)
            self.assertIn(
                spare.name, [name for e in deployment.group_leaders() for name in e.members]
            )

        run(test)

    def test_a_group_keeps_serving_when_a_member_only_lost_the_store(self) -> None:
        async def test(deployment: Deployment) -> None:
            await deployment.wait_for(self._has_two_groups(deployment))
            leader = deployment.group_leaders()[0]
            hidden = next(e for e in deployment.engines if e.name == leader.members[1])
            deployment.store.remove("servers", hidden.name)
            await trio.sleep(UNLISTED_GRACE_S + 1.0)
            self.assertEqual(len(deployment.group_leaders()), 2)
            self.assertEqual((await deployment.send_request())[0], 200)

        run(test)

    def test_operators_see_and_lift_quarantines_from_before_the_start(self) -> None:
        def prepare(deployment: Deployment) -> None:
            quarantined = {
                "fingerprint": "171",
                "count": 1,
                "since_unix_ms": str(int(time.time() * 1000)),
            }
            kind, _, name = STORE_KEY.partition("/")
            deployment.store.put(kind, name, {"requests": [quarantined]})

        async def test(deployment: Deployment) -> None:
            async def is_quarantined() -> bool:
                return all([await self._quarantined(deployment, host) for host in (0, 1)])

            async def is_lifted() -> bool:
                return not any([await self._quarantined(deployment, host) for host in (0, 1)])

            await deployment.wait_for(is_quarantined)
            path = f"/quarantine/{format_fingerprint(Fingerprint(171))}/lift".encode()
            self.assertEqual(
                await deployment.send_operator_request(b"POST", path, host=1), (200, None)
            )
            await deployment.wait_for(is_lifted)

        run(test, prepare=prepare)

    async def _quarantined(self, deployment: Deployment, host: int) -> list[str]:
        """Return the fingerprints that a host reports as quarantined."""
        status, quarantined = await deployment.send_operator_request(b"GET", b"/quarantine", host)
        self.assertEqual(status, 200)
        return [request["fingerprint"] for request in quarantined]

    @staticmethod
    def _has_two_groups(deployment: Deployment) -> Callable[[], Awaitable[bool]]:
        async def check() -> bool:
            return len(deployment.group_leaders()) == 2

        return check
