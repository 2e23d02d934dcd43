"""The parts by which an entry host finds and holds requests that end endpoints, wired together."""

from collections.abc import Callable, Iterable

from yewloom.crash_checks import CrashChecks
from yewloom.crash_messages import CrashMessages
from yewloom.crash_record import CrashRecord
from yewloom.directory import EndpointDirectory
from yewloom.ids import EntryHostId
from yewloom.quarantine import Quarantine
from yewloom.quarantine_page import QuarantinePage


class CrashParts:
    """Wires them; ``on_news`` is called when peers should hear soon of what they found."""

    def __init__(
        self,
        me: EntryHostId,
        known_hosts: Callable[[], Iterable[EntryHostId]],
        directory: EndpointDirectory,
        on_news: Callable[[], None] = lambda: None,
    ) -> None:
        self.quarantine = Quarantine(me, known_hosts, on_news)
        self.record = CrashRecord(self.quarantine, on_news)
        self.checks = CrashChecks(self.record, directory)
        self.messages = CrashMessages(self.record, self.quarantine)
        self.page = QuarantinePage(self.quarantine)
