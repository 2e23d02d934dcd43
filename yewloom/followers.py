"""Following the platform's objects of one kind: a listing, then watches from there on."""

from collections.abc import Callable
from dataclasses import dataclass

import structlog
import trio
from result import Err, Ok

from yewloom.platforms import Listing, Platform, PlatformError, PlatformFailure

logger = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Update:
    """What one call to the platform brought.

    ``is_whole`` says that the listing holds all objects of the kind; at ``proved_s`` nothing had
    changed that it does not tell; ``after_outage`` says that earlier calls failed.
    """

    listing: Listing
    is_whole: bool
    proved_s: float
    after_outage: bool


class Follower:
    """Follows one kind and hands each update on."""

    def __init__(
        self,
        platform: Platform,
        kind: str,
        take: Callable[[Update], None],
        pause_s: Callable[[], float],
        retry_pause_s: float,
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._take = take
        self._pause_s = pause_s
        self._retry_pause_s = retry_pause_s
        self._position: int | None = None
        self._failures = 0
        self._watch_scope: trio.CancelScope | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._step()

    def list_anew(self) -> None:
        """End a watch that has missed a change, and list."""
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    async def _step(self) -> None:
        asked_s = trio.current_time()
        position = self._position
        if position is None:
            found = await self._platform.list(self._kind)
        else:
            with trio.CancelScope() as self._watch_scope:
                found = await self._platform.watch(self._kind, position)
            if self._watch_scope.cancelled_caught:
                self._position = None
                return
        match found:
            case Ok(listing):
                proved_s = asked_s + listing.proved_after_s
                self._take_in(Update(listing, position is None, proved_s, self._failures > 0))
                if position is not None and (listing.objects or listing.removed):
                    await trio.sleep(self._pause_s())
            case Err(error):
                await self._on_error(error)

    def _take_in(self, update: Update) -> None:
        if self._failures and update.is_whole:
            logger.info("platform regained", kind=self._kind, failures=self._failures)
        self._position = update.listing.position
        self._take(update)
        if update.is_whole:
            self._failures = 0

    async def _on_error(self, error: PlatformError) -> None:
        """List anew after an error: a gap in the watch may have hidden changes."""
        self._position = None
        if error.failure is PlatformFailure.EXPIRED:
            logger.info("history gone, listing anew", kind=self._kind)
            return
        if not self._failures:
            logger.warning("platform lost", kind=self._kind, reason=str(error))
        self._failures += 1
        await trio.sleep(self._retry_pause_s)
