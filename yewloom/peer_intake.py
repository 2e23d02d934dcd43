"""What the peers of an entry host tell, taken in: their states, and changes of endpoints."""

from collections.abc import Callable, Sequence

import structlog

from yewloom.configuration import ConfigurationBook
from yewloom.entry_states import ConfigurationWord, PeerBoard
from yewloom.followed_position import FollowedPosition
from yewloom.ids import HostId
from yewloom.listed_endpoints import ChangedEndpoints, decode_changes
from yewloom.peer_reports import PeerReports
from yewloom.peer_topics import PeerTopic
from yewloom.schema.entry_pb2 import EndpointChanges, EntryMessage, EntryState

logger = structlog.get_logger(__name__)


class PeerIntake:
    """Hands on what a message tells, each part to where it is kept.

    ``read_configuration`` is called once for each version that is newer than this host's.
    """

    def __init__(
        self,
        board: PeerBoard,
        book: ConfigurationBook,
        followed_endpoints: FollowedPosition,
        take_changes: Callable[[ChangedEndpoints], None],
        reports: PeerReports,
        read_configuration: Callable[[], None],
        topics: Sequence[PeerTopic],
    ) -> None:
        self._topics = topics
        self._board = board
        self._book = book
        self._followed_endpoints = followed_endpoints
        self._take_changes = take_changes
        self._reports = reports
        self._read_configuration = read_configuration
        self._asked_for_version = 0

    def take(self, message: EntryMessage, now_s: float, came_s: float) -> None:
        """Take in a message that is read at ``now_s`` and came at ``came_s`` at the earliest.

        What it reports of groups counts from then: by now it may be long over.
        """
        match message.WhichOneof("content"):
            case "state":
                self._take_state(message.state, now_s, came_s)
            case "changes":
                self._take_told(message.changes)

    def _take_state(self, state: EntryState, now_s: float, came_s: float) -> None:
        words = self._board.take(state, now_s)
        if words.configuration is not None:
            self._take_configuration_word(words.configuration)
        if words.listing is not None:
            self._followed_endpoints.on_word(words.listing.word, words.listing.confirmed_s, now_s)
        for head in state.stalled:
            self._reports.stands_still(HostId(head), came_s)
        for head in state.unreachable:
            self._reports.is_unreachable(HostId(head), came_s)
        for group in state.moving:
            self._reports.moves(HostId(group.leader), group.age_ms / 1000, came_s)
        for topic in self._topics:
            topic.take(state, came_s, now_s)

    def _take_configuration_word(self, word: ConfigurationWord) -> None:
        current = self._book.current
        self._book.note_version(word.version)
        if current is None:
            return
        if word.version == current.version:
            self._book.confirm(word.confirmed_s)
        elif word.version > max(current.version, self._asked_for_version):
            self._asked_for_version = word.version
            logger.info("peer has a newer configuration", version=word.version)
            self._read_configuration()

    def _take_told(self, told: EndpointChanges) -> None:
        try:
            changes = decode_changes(told)
        except ValueError as error:
            logger.error("message unreadable", reason=str(error))
            return
        self._take_changes(changes)
