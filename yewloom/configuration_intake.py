"""Decodes and applies configurations read from the store or received from peers."""

from collections.abc import Callable

import structlog
import trio

from yewloom.configuration import ConfigurationState
from yewloom.followers import Update
from yewloom.platform_parts import PlatformRecords
from yewloom.platforms import StoredObject
from yewloom.store_revisions import number_of
from yewloom.values import value_class
from yewloom.writes import RecordError

logger = structlog.get_logger(__name__)


@value_class
class _InvalidConfiguration:
    """A configuration in the store that cannot be decoded, and since when this host knows it."""

    revision: int
    since_s: float


class ConfigurationIntake:
    """Applies configurations read from the store or received from peers.

    While the newest configuration in the store cannot be decoded, the current one is not confirmed,
    since the newer one may have revoked keys. ``on_invalid`` is called with the revision of the
    invalid configuration, and with 0 once a valid one has replaced it.
    """

    def __init__(
        self,
        records: PlatformRecords,
        configuration_state: ConfigurationState,
        on_invalid: Callable[[int], None] = lambda revision: None,
    ) -> None:
        self._records = records
        self._configuration_state = configuration_state
        self._on_invalid = on_invalid
        self._invalid: _InvalidConfiguration | None = None
        self.latest: StoredObject | None = None
        """The current configuration in its stored form; None at first."""

    def apply_update(self, update: Update) -> None:
        """Apply the configurations of an update, and confirm the current configuration."""
        for stored in update.listing.objects:
            self._apply(stored, "store")
        if self._configuration_state.current is not None and self._invalid is None:
            self._configuration_state.confirm_from_store(update.confirmed_s)

    def apply_from_peer(self, stored: StoredObject) -> None:
        """Apply a configuration that a peer read; this does not confirm that it is current."""
        self._apply(stored, "peer")

    def _apply(self, stored: StoredObject, source: str) -> None:
        try:
            configuration = self._records.decode_configuration(stored)
        except RecordError as error:
            self._record_invalid(stored, error)
            return
        if configuration is None:
            return
        self._record_valid(stored)
        if self._configuration_state.apply(configuration, float("-inf")):
            self.latest = stored
            logger.info("configuration applied", version=configuration.version, source=source)

    def _record_invalid(self, stored: StoredObject, error: RecordError) -> None:
        """Record an invalid configuration, unless a newer one is known; log each revision once."""
        known_revision = self.latest.version if self.latest is not None else 0
        if self._invalid is not None:
            known_revision = max(known_revision, self._invalid.revision)
        if stored.version <= known_revision:
            return
        since_s = self._invalid.since_s if self._invalid is not None else trio.current_time()
        self._invalid = _InvalidConfiguration(stored.version, since_s)
        logger.error(
            "invalid configuration",
            reason=str(error),
            revision=number_of(stored.version),
            invalid_for_ms=self._invalid_for_ms(since_s),
        )
        self._on_invalid(number_of(stored.version))

    def _record_valid(self, stored: StoredObject) -> None:
        """Record a valid configuration, which ends the invalidity of an earlier one."""
        if self._invalid is None or stored.version <= self._invalid.revision:
            return
        logger.info(
            "invalid configuration replaced",
            invalid_revision=number_of(self._invalid.revision),
            revision=number_of(stored.version),
            invalid_for_ms=self._invalid_for_ms(self._invalid.since_s),
        )
        self._invalid = None
        self._on_invalid(0)

    def _invalid_for_ms(self, since_s: float) -> int:
        return round((trio.current_time() - since_s) * 1000)
