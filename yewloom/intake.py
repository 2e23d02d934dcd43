"""What the followers bring, decoded and taken in: configurations and endpoints."""

from collections.abc import Callable, Iterable

import structlog
import trio

from yewloom.configuration import ConfigurationBook
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.followed_position import FollowedPosition
from yewloom.followers import Update
from yewloom.ids import HostId
from yewloom.listed_endpoints import ChangedEndpoints
from yewloom.platform_parts import PlatformRecords
from yewloom.platforms import StoredObject
from yewloom.selection import Selector
from yewloom.writes import RecordError

logger = structlog.get_logger(__name__)

LAPSE_CHECK_S = 0.5
"""Pause between two looks for endpoints that did not come back after an outage."""


class ConfigurationIntake:
    """Brings what the store holds of the configuration into the book."""

    def __init__(self, records: PlatformRecords, book: ConfigurationBook) -> None:
        self._records = records
        self._book = book
        self.latest: StoredObject | None = None
        """The current configuration as the store gave it; None at first."""

    def take(self, update: Update) -> None:
        """Take in configurations that were read, and that an unchanged one is still current."""
        for stored in update.listing.objects:
            self._take_stored(stored, update.proved_s, "store")
        if self._book.current is not None:
            self._book.confirm(update.proved_s)

    def take_from_peer(self, stored: StoredObject) -> None:
        """Take in a configuration that a peer had read; it proves no time of its own."""
        self._take_stored(stored, float("-inf"), "peer")

    def _take_stored(self, stored: StoredObject, proved_s: float, source: str) -> None:
        try:
            configuration = self._records.decode_configuration(stored)
        except RecordError as error:
            logger.error("object unreadable", reason=str(error), revision=stored.version)
            return
        if configuration is not None and self._book.apply(configuration, proved_s):
            self.latest = stored
            logger.info("configuration applied", version=configuration.version, source=source)


class EndpointIntake:
    """Brings the endpoints that the store lists into the directory.

    ``tell`` gets the changes that this host's own watches bring, and ``on_start`` the endpoints of
    which another process runs now than before.
    """

    def __init__(
        self,
        records: PlatformRecords,
        directory: EndpointDirectory,
        selector: Selector,
        followed: FollowedPosition,
        tell: Callable[[ChangedEndpoints], None],
        on_start: Callable[[HostId], None] = lambda endpoint_id: None,
    ) -> None:
        self._on_start = on_start
        self._records = records
        self._directory = directory
        self._selector = selector
        self._followed = followed
        self._tell = tell
        self._unreadable: dict[HostId, int] = {}  # With the revision that a line was written for.

    def take(self, update: Update) -> None:
        """Take in a whole listing, or the endpoints that changed or went.

        An entry that can't be read names no endpoint, whatever it named before.
        """
        endpoints, unreadable = self._decode(update)
        if update.base is None:
            self._drop_unreadable(unreadable)
            for endpoint in endpoints:
                self._note_start(endpoint)
            self._directory.replace_all(endpoints, trio.current_time(), update.after_outage)
            logger.info("endpoints listed", count=len(endpoints))
            return
        removed = [self._records.endpoint_id(key) for key in update.listing.removed]
        changes = ChangedEndpoints(
            update.base, update.listing.position, endpoints, [*removed, *unreadable]
        )
        self._apply(changes)
        if update.has_changes:
            self._tell(changes)

    def take_told(self, changes: ChangedEndpoints) -> None:
        """Take in changes that a peer told, unless some before them are missing here."""
        if self._followed.continues(changes.base, changes.position):
            self._apply(changes)
            self._followed.take_changes(changes.position, True, float("-inf"))

    def _apply(self, changes: ChangedEndpoints) -> None:
        for endpoint in changes.endpoints:
            self._put(endpoint)
        for endpoint_id in changes.removed:
            self._drop(endpoint_id)

    async def drop_lapsed(self) -> None:
        """Drop endpoints that do not come back after an outage, until cancelled."""
        while True:
            await trio.sleep(LAPSE_CHECK_S)
            for endpoint_id in self._directory.drop_lapsed(trio.current_time()):
                logger.info("endpoint gone", endpoint=endpoint_id, reason="not back after outage")

    def _decode(self, update: Update) -> tuple[list[Endpoint], list[HostId]]:
        """Return the endpoints of an update, and the ids of entries that can't be read."""
        endpoints: list[Endpoint] = []
        unreadable: dict[HostId, int] = {}
        for stored in update.listing.objects:
            endpoint_id = self._records.endpoint_id(stored.key)
            try:
                endpoints.append(self._records.decode_endpoint(stored))
            except RecordError as error:
                unreadable[endpoint_id] = stored.version
                if self._unreadable.get(endpoint_id) != stored.version:
                    logger.error("object unreadable", reason=str(error), revision=stored.version)
        if update.is_whole:
            self._unreadable.clear()
        for endpoint in endpoints:
            self._unreadable.pop(endpoint.id, None)
        self._unreadable |= unreadable
        return endpoints, list(unreadable)

    def _drop_unreadable(self, unreadable: Iterable[HostId]) -> None:
        """Drop what such entries named before, at once: they are there, and not missing."""
        for endpoint_id in unreadable:
            self._drop(endpoint_id)

    def _drop(self, endpoint_id: HostId) -> None:
        if endpoint_id in self._directory.by_id:
            logger.info("endpoint gone", endpoint=endpoint_id)
        self._directory.remove(endpoint_id)
        self._selector.forget(endpoint_id)

    def _put(self, endpoint: Endpoint) -> None:
        self._log_change(endpoint)
        self._note_start(endpoint)
        known = self._directory.by_id.get(endpoint.id)
        if known is not None and known.membership != endpoint.membership:
            self._selector.forget(endpoint.id)
        self._directory.put(endpoint)

    def _note_start(self, endpoint: Endpoint) -> None:
        """Forget what is known of an endpoint if another process runs under its id now."""
        known = self._directory.by_id.get(endpoint.id)
        if known is None or known.started_unix_ms == endpoint.started_unix_ms:
            return
        logger.info(
            "endpoint started again",
            endpoint=endpoint.id,
            started_unix_ms=endpoint.started_unix_ms,
            before_unix_ms=known.started_unix_ms,
        )
        self._selector.forget(endpoint.id)
        self._on_start(endpoint.id)

    def _log_change(self, endpoint: Endpoint) -> None:
        known = self._directory.by_id.get(endpoint.id)
        if known is not None and known.is_leaving == endpoint.is_leaving:
            return
        if known is None and not endpoint.is_leaving:
            return  # Several hundred come at a start; the coordinator's lines tell of new ones.
        word = "endpoint leaving" if endpoint.is_leaving else "endpoint stays"
        logger.info(word, endpoint=endpoint.id, service=endpoint.service)
