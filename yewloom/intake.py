"""Decodes and applies endpoints read from the store or received from peers."""

from collections.abc import Callable, Iterable

import structlog
import trio

from yewloom.directory import REWRITE_S, Endpoint, EndpointDirectory
from yewloom.followed_position import FollowedPosition
from yewloom.followers import Update
from yewloom.ids import HostId
from yewloom.listed_endpoints import ChangedEndpoints
from yewloom.platform_parts import PlatformRecords
from yewloom.returned_entries import ReturnedEntries
from yewloom.selection import Selector
from yewloom.store_contact import StoreContact
from yewloom.store_revisions import era_of, number_of
from yewloom.writes import RecordError

logger = structlog.get_logger(__name__)


class EndpointIntake:
    """Applies endpoints read from the store or received from peers to the directory.

    ``send_changes`` is called with the changes from this host's own watches, to pass them on to the
    peers; ``on_restart`` is called with the id of each endpoint that runs as a new process.
    """

    def __init__(
        self,
        records: PlatformRecords,
        directory: EndpointDirectory,
        selector: Selector,
        followed: FollowedPosition,
        contact: StoreContact,
        send_changes: Callable[[ChangedEndpoints], None],
        on_restart: Callable[[HostId], None] = lambda endpoint_id: None,
    ) -> None:
        self._on_restart = on_restart
        self._records = records
        self._directory = directory
        self._selector = selector
        self._followed = followed
        self._contact = contact
        self._send_changes = send_changes
        self._removals_changed = trio.Event()
        self._returned = ReturnedEntries()
        self._logged_revisions: dict[HostId, int] = {}  # Revisions of invalid entries.

    def apply_update(self, update: Update) -> None:
        """Apply a full listing, or the endpoints that were changed or removed.

        An entry that cannot be decoded counts as removed, even if it was valid before.
        """
        endpoints, invalid = self._decode(update)
        if update.base is None:
            self._apply_listing(update, endpoints, invalid)
            return
        removed = [self._records.endpoint_id(key) for key in update.listing.removed]
        changes = ChangedEndpoints(
            update.base, update.listing.position, endpoints, [*removed, *invalid]
        )
        self._apply(changes)
        if update.has_changes:
            self._send_changes(changes)

    def _apply_listing(self, update: Update, listed: list[Endpoint], invalid: list[HostId]) -> None:
        """Apply a full listing; one from an older copy of the store is believed in part only."""
        now_s, known = trio.current_time(), self._directory.by_id
        is_older_copy = self._is_in_later_era(update.listing.position)
        if is_older_copy:
            self._returned.hold_back(listed, known, now_s)
        endpoints = self._returned.believed(listed, known)
        missing = known.keys() - {endpoint.id for endpoint in endpoints} - set(invalid)
        missing_until_s = self._missing_until_s(missing, is_older_copy, now_s)
        is_complete = not (is_older_copy or missing_until_s)
        differences = self._differences(update, endpoints) if is_complete else None
        self._remove_invalid(invalid)
        for endpoint in endpoints:
            self._check_restart(endpoint)
        for endpoint_id in missing:
            self._returned.record_removal(endpoint_id)
        self._directory.replace_all(endpoints, missing_until_s)
        self._removals_changed.set()
        logger.info(
            "endpoints listed",
            count=len(endpoints),
            is_older_copy=is_older_copy,
            missing=len(missing),
            kept=len(missing_until_s),
        )
        if differences is not None:
            self._record_differences(differences, update.confirmed_s)

    def _is_in_later_era(self, position: int) -> bool:
        """Return whether the store went back to an older copy since this host last knew it."""
        last_position = self._followed.last_position
        return last_position is not None and era_of(position) > era_of(last_position)

    def _missing_until_s(
        self, missing: Iterable[HostId], is_older_copy: bool, now_s: float
    ) -> dict[HostId, float]:
        """Return until when to keep those endpoints that a listing lacks although they may run.

        Their entries may have expired while the store was away, or be younger than its copy.
        """
        since_s, until_s = self._followed.confirmed_s, dict[HostId, float]()
        for endpoint_id in missing:
            kept_until_s = self._directory.missing_until_s.get(endpoint_id)
            if kept_until_s is None:
                data_centre = self._directory.by_id[endpoint_id].data_centre
                returned_s = self._contact.returned_s(data_centre, since_s, now_s)
                kept_until_s = (now_s if is_older_copy else returned_s) + REWRITE_S
            if kept_until_s > now_s:
                until_s[endpoint_id] = kept_until_s
        return until_s

    def _differences(
        self, update: Update, endpoints: Iterable[Endpoint]
    ) -> ChangedEndpoints | None:
        """Return the changes between the last known position and a listing, if that is known."""
        last_position = self._followed.last_position
        if last_position is None or not self._directory.is_loaded:
            return None
        known = self._directory.by_id
        listed = {endpoint.id for endpoint in endpoints}
        changed = [e for e in endpoints if not self._directory.is_known_as(e)]
        removed = [endpoint_id for endpoint_id in known if endpoint_id not in listed]
        return ChangedEndpoints(
            self._followed.changed_at,
            update.listing.position,
            changed,
            removed,
            unchanged_until=last_position,
        )

    def _record_differences(self, changes: ChangedEndpoints, confirmed_s: float) -> None:
        """Record that a listing was compared to the last one, and send the difference to the peers.

        Even if it is empty, an endpoint may have changed and changed back, so the peers may not
        conclude from later reports that there was no change.
        """
        self._followed.record_changes(changes.position, True, confirmed_s)
        self._send_changes(changes)

    def apply_peer_changes(self, changes: ChangedEndpoints) -> None:
        """Apply changes received from a peer, unless earlier ones are missing here."""
        if self._followed.can_apply(changes.base, changes.position, changes.unchanged_until):
            self._apply(changes)
            self._followed.record_changes(changes.position, True, float("-inf"))

    def _apply(self, changes: ChangedEndpoints) -> None:
        for endpoint in changes.endpoints:
            self._put(endpoint)
        for endpoint_id in changes.removed:
            self._remove(endpoint_id)

    async def drop_lapsed(self) -> None:
        """Remove missing endpoints that are not listed again in time, until cancelled.

        Also applies entries of an older copy of the store that nobody has replaced.
        """
        while True:
            next_s = min(self._directory.next_removal_s(), self._returned.next_due_s())
            with trio.move_on_at(next_s):
                await self._removals_changed.wait()
            self._removals_changed = trio.Event()
            now_s = trio.current_time()
            for endpoint in self._returned.take_due(now_s):
                self._put(endpoint)
            for endpoint_id in self._directory.remove_missing(now_s):
                logger.info(
                    "endpoint removed", endpoint=endpoint_id, reason="not listed again in time"
                )

    def _decode(self, update: Update) -> tuple[list[Endpoint], list[HostId]]:
        """Return the endpoints of an update, and the ids of its invalid entries.

        Each revision of an invalid entry is logged once.
        """
        endpoints: list[Endpoint] = []
        invalid: dict[HostId, int] = {}
        for stored in update.listing.objects:
            endpoint_id = self._records.endpoint_id(stored.key)
            try:
                endpoints.append(self._records.decode_endpoint(stored))
            except RecordError as error:
                invalid[endpoint_id] = stored.version
                if self._logged_revisions.get(endpoint_id) != stored.version:
                    logger.error(
                        "invalid endpoint",
                        reason=str(error),
                        revision=number_of(stored.version),
                    )
        if update.is_full_listing:
            self._logged_revisions.clear()
        for endpoint in endpoints:
            self._logged_revisions.pop(endpoint.id, None)
        self._logged_revisions |= invalid
        return endpoints, list(invalid)

    def _remove_invalid(self, invalid: Iterable[HostId]) -> None:
        """Remove endpoints whose entries are invalid.

        They are removed without the grace period of missing endpoints: their entries do exist.
        """
        for endpoint_id in invalid:
            self._remove(endpoint_id)

    def _remove(self, endpoint_id: HostId) -> None:
        if endpoint_id in self._directory.by_id:
            logger.info("endpoint removed", endpoint=endpoint_id)
        self._directory.remove(endpoint_id)
        self._selector.forget(endpoint_id)
        self._returned.record_removal(endpoint_id)

    def _put(self, endpoint: Endpoint) -> None:
        self._returned.record_write(endpoint.id)
        self._log_change(endpoint)
        self._check_restart(endpoint)
        known = self._directory.by_id.get(endpoint.id)
        if known is not None and known.membership != endpoint.membership:
            self._selector.forget(endpoint.id)
        self._directory.put(endpoint)

    def _check_restart(self, endpoint: Endpoint) -> None:
        """Discard the state kept for an endpoint if it now runs as a new process."""
        known = self._directory.by_id.get(endpoint.id)
        if known is None or known.started_unix_ms == endpoint.started_unix_ms:
            return
        logger.info(
            "endpoint restarted",
            endpoint=endpoint.id,
            started_unix_ms=endpoint.started_unix_ms,
            before_unix_ms=known.started_unix_ms,
        )
        self._selector.forget(endpoint.id)
        self._on_restart(endpoint.id)

    def _log_change(self, endpoint: Endpoint) -> None:
        known = self._directory.by_id.get(endpoint.id)
        if known is not None and known.is_leaving == endpoint.is_leaving:
            return
        if known is None and not endpoint.is_leaving:
            return  # There are hundreds at a start, and the coordinator logs new endpoints.
        event = "endpoint leaving" if endpoint.is_leaving else "endpoint no longer leaving"
        logger.info(event, endpoint=endpoint.id, service=endpoint.service)
