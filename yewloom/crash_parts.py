"""Creates the objects with which an entry host detects and quarantines crashing requests."""

import math
from collections.abc import Callable, Iterable

from yewloom.crash_checks import CrashChecks
from yewloom.crash_messages import CrashMessages
from yewloom.crash_record import CrashRecord
from yewloom.directory import EndpointDirectory
from yewloom.ids import DataCentreId, EntryHostId
from yewloom.platform_parts import PlatformParts
from yewloom.quarantine_page import QuarantinePage
from yewloom.quarantine_store import QuarantineStore
from yewloom.quarantines import Quarantines


class CrashDetection:
    """The connected objects; ``on_change`` is called when peers should soon be sent a change."""

    def __init__(
        self,
        own_id: EntryHostId,
        known_hosts: Callable[[], Iterable[EntryHostId]],
        directory: EndpointDirectory,
        on_change: Callable[[], None] = lambda: None,
        last_connected_in_s: Callable[[DataCentreId], float] = lambda _: -math.inf,
    ) -> None:
        self._own_id = own_id
        self._known_hosts = known_hosts
        self.quarantines = Quarantines(own_id, known_hosts, on_change)
        self.record = CrashRecord(self.quarantines, on_change)
        self.checks = CrashChecks(self.record, directory, last_connected_in_s)
        self.messages = CrashMessages(self.record, self.quarantines)
        self.page = QuarantinePage(self.quarantines)

    def build_store(self, parts: PlatformParts) -> QuarantineStore:
        """Return what keeps the quarantines in the platform's store."""
        return QuarantineStore(
            self._own_id,
            self._known_hosts,
            self.quarantines,
            parts.records_store,
            parts.stale_store,
            store_era=parts.store_era,
        )
