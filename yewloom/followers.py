"""Follows the platform's objects of one kind: a full listing, then watches from its position.

A host that does not have to call the platform itself stays idle and gets changes from its peers.
"""

import math
from collections.abc import Callable

import structlog
import trio
from result import Err, Ok

from yewloom.followed_position import FollowedPosition
from yewloom.platforms import Listing, Platform, PlatformError, PlatformFailure
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

IDLE_CHECK_S = 0.2
"""Interval at which an idle host checks whether it must call the platform.

Peers send their messages at the same interval."""

URGENT_INTERVAL_S = 0.5
"""Shortest time between a call and a watch that the policy shortens. If information stays old
although the platform answers, as with an invalid object, most watches have their usual duration."""

LISTING_INTERVAL_S = 0.4
"""Shortest time between two listings that do not follow a failure. All hosts list when they hear of
a newer configuration, and operators may write many within a second."""


@value_class
class Update:
    """The result of one call to the platform.

    ``base`` is the position from which a watch started; it is None for a full listing. The update
    contains all changes made until ``confirmed_s``.
    """

    listing: Listing
    base: int | None
    confirmed_s: float

    @property
    def is_full_listing(self) -> bool:
        """Return whether the listing contains all objects of the kind."""
        return self.base is None

    @property
    def has_changes(self) -> bool:
        """Return whether anything may have changed."""
        return self.is_full_listing or bool(self.listing.objects or self.listing.removed)


@value_class
class FollowPolicy:
    """When to call the platform.

    ``must_call`` returns whether this host has to call the platform. ``batch_pause_s`` returns the
    pause after a watch with changes, in which further changes accumulate. ``retry_pause_s``
    returns the pause between a failed call and the next one, given the number of consecutive
    failures. ``max_watch_s`` returns the longest duration of the next watch.
    """

    must_call: Callable[[], bool]
    batch_pause_s: Callable[[], float]
    retry_pause_s: Callable[[int], float]
    max_watch_s: Callable[[], float] = lambda: math.inf


class Follower:
    """Follows the objects of one kind and passes each update to ``apply_update``."""

    def __init__(
        self,
        platform: Platform,
        kind: str,
        apply_update: Callable[[Update], None],
        followed: FollowedPosition,
        policy: FollowPolicy,
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._apply_update = apply_update
        self._followed = followed
        self._policy = policy
        self._failures = 0
        self._last_watch_s = -math.inf
        self._last_listing_s = -math.inf
        self._watch_scope: trio.CancelScope | None = None
        self._relist_event = trio.Event()

    @property
    def has_latest_response(self) -> bool:
        """Return whether the platform answered the latest call."""
        return not self._failures

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._must_list() or self._policy.must_call():
                await self._step()
            else:
                await self._pause(IDLE_CHECK_S)

    def relist(self) -> None:
        """Cancel the current watch or pause and list again, since a change was missed."""
        self._followed.forget()
        self._relist_event.set()
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    async def _pause(self, for_s: float) -> bool:
        """Wait until a listing is requested or the time is over; return whether it was requested.

        A request made since the last pause counts too.
        """
        with trio.move_on_after(for_s) as timer:
            await self._relist_event.wait()
        self._relist_event = trio.Event()
        return not timer.cancelled_caught

    def _must_list(self) -> bool:
        """Return whether the next call must list: at the start, and after a failed call.

        Objects that expired during an outage may be registered again, which only a listing shows.
        """
        return self._followed.position is None or self._failures > 0

    async def _step(self) -> None:
        if self._must_list():
            await self._wait_before_listing()
        called_s = trio.current_time()
        base = None if self._must_list() else self._followed.position
        if base is None:
            self._last_listing_s = called_s
            found = await self._platform.list(self._kind)
        else:
            with trio.CancelScope() as self._watch_scope:
                max_wait_s = self._max_watch_s(called_s)
                found = await self._platform.watch(self._kind, base, max_wait_s)
            if self._watch_scope.cancelled_caught:
                return
        match found:
            case Ok(listing):
                confirmed_s = called_s + listing.confirmed_after_s
                update = Update(listing, base, confirmed_s)
                self._apply(update)
                if base is not None and update.has_changes:
                    await trio.sleep(self._policy.batch_pause_s())
            case Err(error):
                await self._on_error(error, called_s)

    async def _wait_before_listing(self) -> None:
        """Wait until a listing is due again; changes in quick succession take one listing."""
        if not self._failures:  # After a failure, the pause has been waited for.
            await trio.sleep_until(self._last_listing_s + LISTING_INTERVAL_S)

    def _max_watch_s(self, now_s: float) -> float:
        """Return the longest duration of a watch that starts now."""
        last_s, self._last_watch_s = self._last_watch_s, now_s
        return self._policy.max_watch_s() if now_s - last_s >= URGENT_INTERVAL_S else math.inf

    def _apply(self, update: Update) -> None:
        if self._failures and update.is_full_listing:
            logger.info("platform reachable again", kind=self._kind, failures=self._failures)
        if update.base is not None and self._followed.position is None:
            return  # A listing was requested while the response to the watch was in transit.
        if not self._is_outdated(update):
            self._apply_update(update)
        position = update.listing.position
        if update.is_full_listing:
            self._followed.record_listing(position, update.confirmed_s)
        else:
            self._followed.record_changes(position, update.has_changes, update.confirmed_s)
        if update.is_full_listing:
            self._failures = 0

    def _is_outdated(self, update: Update) -> bool:
        """Return whether later changes arrived from peers while the call was in progress."""
        known = self._followed.position
        return update.has_changes and known is not None and update.listing.position < known

    async def _on_error(self, error: PlatformError, called_s: float) -> None:
        """Wait before the next call; changes from peers are still applied meanwhile.

        The pause counts from the start of the failed call. So a call that waited for its time-out
        is retried at once, since the fault may lie only in its connection. The pause is evaluated
        again at each step, so a host that becomes a follower meanwhile waits no longer than other
        followers do.
        """
        if error.failure is PlatformFailure.EXPIRED:
            logger.info("watch position expired, listing again", kind=self._kind)
            self._followed.forget()
            return
        if not self._failures:
            logger.warning("platform unreachable", kind=self._kind, reason=str(error))
        self._failures += 1
        while (remaining_s := self._remaining_pause_s(called_s)) > 0:
            if await self._pause(min(remaining_s, IDLE_CHECK_S)):
                return

    def _remaining_pause_s(self, called_s: float) -> float:
        return called_s + self._policy.retry_pause_s(self._failures) - trio.current_time()
