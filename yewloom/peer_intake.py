"""Processes the messages that an entry host receives from peers: states and endpoint changes."""

from collections.abc import Callable, Sequence

import structlog

from yewloom.configuration import ConfigurationState
from yewloom.entry_states import ConfirmedConfiguration, PeerStates
from yewloom.followed_position import FollowedPosition
from yewloom.ids import HostId
from yewloom.listed_endpoints import ChangedEndpoints, decode_changes
from yewloom.peer_reports import PeerReportHandler
from yewloom.peer_topics import PeerMessageExtension
from yewloom.schema.entry_pb2 import EndpointChanges, EntryMessage, EntryState

logger = structlog.get_logger(__name__)


class PeerIntake:
    """Passes each part of a peer's message to the component that handles it.

    ``read_configuration`` is called once for each reported version newer than this host's.
    """

    def __init__(
        self,
        peer_states: PeerStates,
        configuration_state: ConfigurationState,
        followed_endpoints: FollowedPosition,
        apply_changes: Callable[[ChangedEndpoints], None],
        reports: PeerReportHandler,
        read_configuration: Callable[[], None],
        extensions: Sequence[PeerMessageExtension],
    ) -> None:
        self._extensions = extensions
        self._peer_states = peer_states
        self._configuration_state = configuration_state
        self._followed_endpoints = followed_endpoints
        self._apply_changes = apply_changes
        self._reports = reports
        self._read_configuration = read_configuration
        self._requested_version = 0

    def process(self, message: EntryMessage, now_s: float, arrived_s: float) -> None:
        """Process a message read at ``now_s`` that arrived at ``arrived_s`` at the earliest.

        Its reports on groups are dated to ``arrived_s``, since they may be outdated by now.
        """
        match message.WhichOneof("content"):
            case "state":
                self._process_state(message.state, now_s, arrived_s)
            case "changes":
                self._process_endpoint_changes(message.changes)
            case "differences":
                self._process_endpoint_changes(message.differences)

    def _process_state(self, state: EntryState, now_s: float, arrived_s: float) -> None:
        confirmed = self._peer_states.update(state, now_s)
        if confirmed.configuration is not None:
            self._process_configuration(confirmed.configuration)
        if confirmed.listing is not None:
            self._followed_endpoints.on_peer_report(
                confirmed.listing.report, confirmed.listing.confirmed_s, now_s
            )
        for leader in state.stalled:
            self._reports.on_stalled(HostId(leader), arrived_s)
        for leader in state.unreachable:
            self._reports.on_unreachable(HostId(leader), arrived_s)
        for group in state.moving:
            self._reports.on_progress(HostId(group.leader), group.age_ms / 1000, arrived_s)
        for extension in self._extensions:
            extension.process(state, arrived_s, now_s)

    def _process_configuration(self, confirmed: ConfirmedConfiguration) -> None:
        current = self._configuration_state.current
        self._configuration_state.record_version(confirmed.version)
        if current is None:
            return
        if confirmed.version == current.version:
            self._configuration_state.confirm(confirmed.confirmed_s)
        elif confirmed.version > max(current.version, self._requested_version):
            self._requested_version = confirmed.version
            logger.info("peer has a newer configuration", version=confirmed.version)
            self._read_configuration()

    def _process_endpoint_changes(self, message: EndpointChanges) -> None:
        try:
            changes = decode_changes(message)
        except ValueError as error:
            logger.error("invalid endpoint changes from peer", reason=str(error))
            return
        self._apply_changes(changes)
