"""Whether an endpoint's process ended when it cut an exchange off.

A cut by itself proves nothing: connections are reset, and endpoints cut answers and live on. A port
that refuses connections right behind it does, and so does an entry in the store that shows a later
start. An endpoint that said before that it leaves, or that is listed no more, has ended as planned.
Silence proves nothing.
"""

from dataclasses import dataclass, field

import trio

from yewloom.crash_record import CrashRecord, EndpointProcess
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.endpoint_calls import (
    CONNECT_TIMEOUT_S,
    ExchangeError,
    ExchangeFailure,
    open_exchange,
)
from yewloom.ids import Fingerprint, HostId

LOOK_PAUSES_S = (0.0, 0.3)
"""Pauses before the looks at an endpoint's port. A process that ends may close its port a moment
after its connections; one that is started again is not there yet by the second look."""

STORE_S = 15.0
"""Time for which an entry of the store may still show that the process had ended."""


@dataclass
class _Cut:
    """Exchanges that one process cut off, while it is looked at."""

    process: EndpointProcess
    began_s: float
    requests: set[Fingerprint] = field(default_factory=set)
    is_looked_at: trio.Event = field(default_factory=trio.Event)


class CrashChecks:
    """Looks at endpoints that cut exchanges off, and reports those whose processes ended."""

    def __init__(self, record: CrashRecord, directory: EndpointDirectory) -> None:
        self._record = record
        self._directory = directory
        self._cuts: dict[EndpointProcess, _Cut] = {}
        self._unproved: dict[HostId, _Cut] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Look at endpoints until cancelled."""
        self._cuts.clear()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    async def note_cut(self, endpoint: Endpoint, fingerprint: Fingerprint) -> None:
        """Take in that an endpoint cut the exchange of a request off.

        The request of which another process had ended waits for the first look, a round trip, so
        that it goes nowhere else if it is guilty.
        """
        if self._nursery is None or not self._ends_unplanned(endpoint):
            return
        process = EndpointProcess(endpoint.id, endpoint.started_unix_ms)
        if self._record.has_crash(process):
            self._record.note_crash(process, [fingerprint], trio.current_time())
            return
        cut = self._cuts.get(process)
        if cut is None:
            cut = self._cuts[process] = _Cut(process, trio.current_time())
            self._nursery.start_soon(self._look, endpoint, cut)
        cut.requests.add(fingerprint)
        if self._record.is_suspect(fingerprint):
            await cut.is_looked_at.wait()

    def on_started_again(self, endpoint: HostId) -> None:
        """Take in that the store shows a later start of an endpoint that had cut exchanges off."""
        cut, now_s = self._unproved.pop(endpoint, None), trio.current_time()
        if cut is not None and now_s - cut.began_s < STORE_S:
            self._record.note_crash(cut.process, cut.requests, now_s)

    def _ends_unplanned(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint that ends now does so without having said it."""
        listed = self._directory.by_id.get(endpoint.id)
        return listed is not None and not listed.is_leaving

    async def _look(self, endpoint: Endpoint, cut: _Cut) -> None:
        """Look whether a process still has its port."""
        try:
            for pause_s in LOOK_PAUSES_S:
                await trio.sleep(pause_s)
                if await _refuses(endpoint):
                    self._record.note_crash(cut.process, cut.requests, trio.current_time())
                    return
                cut.is_looked_at.set()
        finally:
            cut.is_looked_at.set()
            self._cuts.pop(cut.process, None)
        self._keep_unproved(cut)

    def _keep_unproved(self, cut: _Cut) -> None:
        """Keep a cut that the store may still explain."""
        now_s = trio.current_time()
        kept = {h: c for h, c in self._unproved.items() if now_s - c.began_s < STORE_S}
        self._unproved = kept | {cut.process.endpoint: cut}


async def _refuses(endpoint: Endpoint) -> bool:
    """Tell whether nobody listens at an endpoint's address; silence does not say so."""
    try:
        async with open_exchange(endpoint.address, CONNECT_TIMEOUT_S):
            return False
    except ExchangeError as error:
        return error.failure is ExchangeFailure.REFUSED
