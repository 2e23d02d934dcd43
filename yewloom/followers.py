"""Following the platform's objects of one kind: a listing, then watches from there on.

A host that need not ask the platform itself rests, and learns of changes from its peers.
"""

from collections.abc import Callable

import structlog
import trio
from result import Err, Ok

from yewloom.followed_position import FollowedPosition
from yewloom.platforms import Listing, Platform, PlatformError, PlatformFailure
from yewloom.values import value_class

logger = structlog.get_logger(__name__)

REST_S = 0.2
"""Pause between two looks whether this host must ask the platform: a peer's interval."""


@value_class
class Update:
    """What one call to the platform brought.

    ``base`` is the position that a watch went on from; None says that the listing holds all
    objects of the kind. At ``proved_s`` nothing had changed that it does not tell;
    ``after_outage`` says that earlier calls failed.
    """

    listing: Listing
    base: int | None
    proved_s: float
    after_outage: bool

    @property
    def is_whole(self) -> bool:
        """Tell whether the listing holds all objects of the kind."""
        return self.base is None

    @property
    def has_changes(self) -> bool:
        """Tell whether anything may have changed."""
        return self.is_whole or bool(self.listing.objects or self.listing.removed)


@value_class
class FollowPace:
    """How a kind is followed.

    ``must_ask`` tells whether this host asks the platform. ``pause_s`` is the time for which
    changes are gathered, and ``retry_pause_s`` that from a call without an answer to the next one,
    after so many in a row.
    """

    must_ask: Callable[[], bool]
    pause_s: Callable[[], float]
    retry_pause_s: Callable[[int], float]


class Follower:
    """Follows one kind and hands each update on."""

    def __init__(
        self,
        platform: Platform,
        kind: str,
        take: Callable[[Update], None],
        followed: FollowedPosition,
        pace: FollowPace,
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._take = take
        self._followed = followed
        self._pace = pace
        self._failures = 0
        self._watch_scope: trio.CancelScope | None = None
        self._has_news = trio.Event()

    @property
    def is_answered(self) -> bool:
        """Tell whether the platform answered the latest call."""
        return not self._failures

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._must_list() or self._pace.must_ask():
                await self._step()
            else:
                await self._pause(REST_S)

    def list_anew(self) -> None:
        """End a watch or a pause that has missed a change, and list."""
        self._followed.forget()
        self._has_news.set()
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    async def _pause(self, for_s: float) -> bool:
        """Wait, unless a listing is asked for, or was since the last pause; tell whether it was."""
        with trio.move_on_after(for_s) as timer:
            await self._has_news.wait()
        self._has_news = trio.Event()
        return not timer.cancelled_caught

    def _must_list(self) -> bool:
        """Tell whether the next call lists: at first, and after a failed one.

        Objects that lapsed while the platform was away come back, which only a listing shows.
        """
        return self._followed.position is None or self._failures > 0

    async def _step(self) -> None:
        asked_s = trio.current_time()
        base = None if self._must_list() else self._followed.position
        if base is None:
            found = await self._platform.list(self._kind)
        else:
            with trio.CancelScope() as self._watch_scope:
                found = await self._platform.watch(self._kind, base)
            if self._watch_scope.cancelled_caught:
                return
        match found:
            case Ok(listing):
                proved_s = asked_s + listing.proved_after_s
                update = Update(listing, base, proved_s, self._failures > 0)
                self._take_in(update)
                if base is not None and update.has_changes:
                    await trio.sleep(self._pace.pause_s())
            case Err(error):
                await self._on_error(error, asked_s)

    def _take_in(self, update: Update) -> None:
        if self._failures and update.is_whole:
            logger.info("platform regained", kind=self._kind, failures=self._failures)
        if update.base is not None and self._followed.position is None:
            return  # A listing was asked for while the watch's answer was on its way.
        if not self._is_overtaken(update):
            self._take(update)
        position = update.listing.position
        if update.is_whole:
            self._followed.take_listing(position, update.proved_s)
        else:
            self._followed.take_changes(position, update.has_changes, update.proved_s)
        if update.is_whole:
            self._failures = 0

    def _is_overtaken(self, update: Update) -> bool:
        """Tell whether peers told later changes while a call was on its way."""
        known = self._followed.position
        return update.has_changes and known is not None and update.listing.position < known

    async def _on_error(self, error: PlatformError, asked_s: float) -> None:
        """Wait after an error; until the platform answers again, peers may tell of changes.

        The pause counts from the failed call. Behind one that waited for its time-out nothing is
        left of it, since its connection alone may be to blame. A host that comes to have the duty
        meanwhile waits no longer than one with it.
        """
        if error.failure is PlatformFailure.EXPIRED:
            logger.info("history gone, listing anew", kind=self._kind)
            self._followed.forget()
            return
        if not self._failures:
            logger.warning("platform lost", kind=self._kind, reason=str(error))
        self._failures += 1
        while (left_s := self._retry_left_s(asked_s)) > 0:
            if await self._pause(min(left_s, REST_S)):
                return

    def _retry_left_s(self, asked_s: float) -> float:
        return asked_s + self._pace.retry_pause_s(self._failures) - trio.current_time()
