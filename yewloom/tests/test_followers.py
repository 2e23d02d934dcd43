"""Tests of following the platform's objects through outages and lost history."""

import unittest
from collections.abc import Sequence
from dataclasses import replace

import trio
from result import Err, Ok, Result

from yewloom.followed_position import FollowedPosition
from yewloom.followers import IDLE_CHECK_S, Follower, FollowPace, Update
from yewloom.ids import DataCentreId
from yewloom.platforms import Listing, PlatformError, PlatformFailure, StoredObject
from yewloom.schema.records_pb2 import Host
from yewloom.tests.support import run_on_mock_clock

LOST = PlatformError(PlatformFailure.NOT_APPLIED, "down")
EXPIRED = PlatformError(PlatformFailure.EXPIRED, "history gone")
RETRY_PAUSE_S = 0.2
PACE = FollowPace(lambda: True, lambda: 0.1, lambda failures: RETRY_PAUSE_S)
STORED = StoredObject("k/a", 3, "{}")


class _ScriptedPlatform:
    """Answers calls from a list, each after a pause; then watches wait for ever."""

    is_down = False

    def __init__(self, *answers: Listing | PlatformError, pause_s: float = 0.5) -> None:
        self.answers = list(answers)
        self.pause_s = pause_s
        self.calls: list[str] = []

    async def list(self, prefix: str) -> Result[Listing, PlatformError]:
        return await self._answer("list")

    async def watch(self, prefix: str, position: int) -> Result[Listing, PlatformError]:
        return await self._answer(f"watch {position}")

    async def get(self, key: str) -> Result[StoredObject | None, PlatformError]:
        return Ok(None)

    async def update(
        self, key: str, value: str, expected_version: int
    ) -> Result[int, PlatformError]:
        return Ok(1)

    async def hosts(self, data_centre: DataCentreId) -> Result[Sequence[Host], PlatformError]:
        return Ok([])

    async def _answer(self, call: str) -> Result[Listing, PlatformError]:
        self.calls.append(call)
        if not self.answers:
            await trio.sleep_forever()
        await trio.sleep(self.pause_s)
        answer = self.answers.pop(0)
        return Err(answer) if isinstance(answer, PlatformError) else Ok(answer)


def _follow(
    platform: _ScriptedPlatform, for_s: float = 60.0, pace: FollowPace = PACE
) -> list[Update]:
    """Follow for a while and return the updates."""
    updates: list[Update] = []

    async def main() -> None:
        follower = Follower(platform, "k", updates.append, FollowedPosition(), pace)
        with trio.move_on_after(for_s):
            await follower.run()

    run_on_mock_clock(main)
    return updates


class TestFollower(unittest.TestCase):
    """What is listed anew, and what an update proves."""

    def test_a_watch_goes_on_from_the_listing(self) -> None:
        platform = _ScriptedPlatform(Listing([STORED], 5), Listing([], 7), Listing([STORED], 9))
        updates = _follow(platform)
        self.assertEqual(platform.calls, ["list", "watch 5", "watch 7", "watch 9"])
        self.assertEqual([update.is_full_listing for update in updates], [True, False, False])

    def test_an_update_counts_from_before_its_call_or_from_a_proof(self) -> None:
        proved = Listing([], 7, proved_after_s=0.4)
        updates = _follow(_ScriptedPlatform(Listing([], 5), proved))
        self.assertAlmostEqual(updates[1].proved_s - updates[0].proved_s, 0.5 + 0.4)

    def test_lost_history_is_listed_anew_at_once_and_is_no_outage(self) -> None:
        platform = _ScriptedPlatform(Listing([], 5), EXPIRED, Listing([], 9))
        updates = _follow(platform)
        self.assertEqual(platform.calls[2], "list")
        self.assertFalse(updates[-1].after_outage)

    def test_after_an_outage_the_first_listing_says_so(self) -> None:
        platform = _ScriptedPlatform(
            Listing([], 5), LOST, LOST, Listing([], 9), Listing([], 11), EXPIRED, Listing([], 12)
        )
        updates = _follow(platform)
        self.assertEqual(platform.calls[2:4], ["list", "list"])
        self.assertEqual([u.after_outage for u in updates], [False, True, False, False])

    def test_a_host_without_the_duty_lists_once_and_then_rests(self) -> None:
        platform = _ScriptedPlatform(Listing([STORED], 5), Listing([], 7))
        resting = replace(PACE, must_ask=lambda: False)
        self.assertEqual(len(_follow(platform, pace=resting)), 1)
        self.assertEqual(platform.calls, ["list"])

    def test_the_pause_of_so_many_failures_is_kept_while_the_platform_is_away(self) -> None:
        resting = replace(PACE, must_ask=lambda: False, retry_pause_s=lambda failures: 2 * failures)
        waited_s = 2.0 + 4.0
        platform = _ScriptedPlatform(LOST, LOST, Listing([], 9), pause_s=0.0)
        self.assertEqual(len(_follow(platform, for_s=waited_s - 0.1, pace=resting)), 0)
        platform = _ScriptedPlatform(LOST, LOST, Listing([], 9), pause_s=0.0)
        self.assertEqual(len(_follow(platform, for_s=waited_s + 0.1, pace=resting)), 1)

    def test_a_host_that_comes_to_have_the_duty_waits_no_longer_than_one_with_it(self) -> None:
        platform = _ScriptedPlatform(LOST, Listing([], 9), pause_s=0.0)
        pause_s = [60.0]

        async def main() -> None:
            pace = replace(PACE, retry_pause_s=lambda failures: pause_s[0])
            follower = Follower(platform, "k", lambda update: None, FollowedPosition(), pace)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                await trio.sleep(3.0)
                self.assertEqual(platform.calls, ["list"])
                pause_s[0] = RETRY_PAUSE_S
                await trio.sleep(IDLE_CHECK_S + 0.1)
                self.assertEqual(platform.calls[:2], ["list", "list"])
                nursery.cancel_scope.cancel()

        run_on_mock_clock(main)

    def test_a_host_that_the_platform_turns_away_goes_on_with_what_peers_tell(self) -> None:
        platform = _ScriptedPlatform(Listing([], 5), *[LOST] * 20, Listing([STORED], 8))
        followed, updates = FollowedPosition(), list[Update]()

        async def main() -> None:
            follower = Follower(platform, "k", updates.append, followed, PACE)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                await trio.sleep(5)
                self.assertTrue(followed.can_apply(5, 9))
                followed.take_changes(9, True, float("-inf"))
                self.assertFalse(follower.is_answered)
                await trio.sleep(20)
                self.assertTrue(follower.is_answered)
                nursery.cancel_scope.cancel()

        run_on_mock_clock(main)
        # The first listing after the outage is older than what the peers told.
        self.assertEqual(len(updates), 1)
        self.assertEqual(platform.calls[-1], "watch 9")

    def test_a_listing_asked_for_as_a_watch_is_answered_is_not_forgotten(self) -> None:
        platform = _ScriptedPlatform(Listing([], 5), Listing([], 7), Listing([], 9))
        followed = FollowedPosition()

        async def main() -> None:
            follower = Follower(platform, "k", lambda update: None, followed, PACE)
            answer = platform.watch

            async def watch(prefix: str, position: int) -> Result[Listing, PlatformError]:
                found = await answer(prefix, position)
                followed.forget()  # Too late to end this watch.
                return found

            platform.watch = watch  # type: ignore[method-assign]
            with trio.move_on_after(1.2):
                await follower.run()

        run_on_mock_clock(main)
        self.assertEqual(platform.calls, ["list", "watch 5", "list"])

    def test_a_watch_that_peers_overtook_changes_nothing(self) -> None:
        platform = _ScriptedPlatform(Listing([], 5), Listing([STORED], 8))
        followed, updates = FollowedPosition(), list[Update]()

        def take(update: Update) -> None:
            updates.append(update)

        async def main() -> None:
            follower = Follower(platform, "k", take, followed, PACE)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                await trio.sleep(0.7)  # The watch from 5 is on its way.
                followed.take_changes(9, True, 0.0)
                await trio.sleep(5)
                nursery.cancel_scope.cancel()

        run_on_mock_clock(main)
        self.assertEqual(len(updates), 1)
        self.assertEqual(platform.calls[-1], "watch 9")

    def test_a_watch_that_missed_a_change_can_be_ended(self) -> None:
        platform = _ScriptedPlatform(Listing([], 5), pause_s=0.1)

        async def main() -> None:
            follower = Follower(platform, "k", lambda update: None, FollowedPosition(), PACE)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                await trio.sleep(1.0)
                follower.list_anew()
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()

        run_on_mock_clock(main)
        self.assertEqual(platform.calls, ["list", "watch 5", "list"])

    def test_a_host_that_waits_after_a_failed_call_lists_when_a_peer_has_news(self) -> None:
        platform = _ScriptedPlatform(Listing([], 5), LOST, Listing([], 9), pause_s=0.0)
        resting = replace(PACE, retry_pause_s=lambda failures: 5 * RETRY_PAUSE_S)

        async def main() -> None:
            follower = Follower(platform, "k", lambda update: None, FollowedPosition(), resting)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                await trio.sleep(0.5)
                self.assertEqual(platform.calls, ["list", "watch 5"])
                follower.list_anew()
                await trio.sleep(0.1)
                self.assertEqual(platform.calls[2], "list")
                nursery.cancel_scope.cancel()

        run_on_mock_clock(main)

    def test_news_that_comes_while_a_listing_is_under_way_does_not_keep_the_host_busy(self) -> None:
        platform = _ScriptedPlatform(Listing([], 5), Listing([], 7))
        looks = 0

        def must_ask() -> bool:
            nonlocal looks
            looks += 1
            self.assertLess(looks, 100)
            return False

        async def main() -> None:
            resting = replace(PACE, must_ask=must_ask)
            follower = Follower(platform, "k", lambda update: None, FollowedPosition(), resting)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                await trio.sleep(0.2)
                follower.list_anew()  # The first listing is on its way.
                await trio.sleep(5.0)
                nursery.cancel_scope.cancel()

        run_on_mock_clock(main)
        self.assertLess(looks, 5.0 / IDLE_CHECK_S + 5)

    def test_nothing_is_left_of_a_pause_behind_a_call_that_waited_for_its_timeout(self) -> None:
        silent = PlatformError(PlatformFailure.AMBIGUOUS, "timed out")
        platform = _ScriptedPlatform(Listing([], 5), silent, Listing([], 9), pause_s=1.5)
        self.assertEqual(len(_follow(platform, for_s=4.6)), 2)
