"""Checks whether an endpoint's process crashed when it closed a connection during an exchange.

A closed connection alone does not show a crash: connections are reset, and endpoints abort
responses and keep running. A crash is shown by a port that refuses connections right after, or by
an entry in the store with a later start time. An endpoint that has announced that it leaves, or
that is no longer listed, has ended as planned. An endpoint that does not answer is not considered
crashed, and neither is one that refuses connections while others in its data centre cannot be
reached either: this host may be cut off from them.
"""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import structlog
import trio

from yewloom.crash_record import CrashRecord
from yewloom.crash_reports import EndpointProcess, LostRequest
from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.endpoint_calls import (
    CONNECT_TIMEOUT_S,
    ExchangeError,
    ExchangeFailure,
    open_exchange,
)
from yewloom.ids import DataCentreId, HostId, PromptPart

logger = structlog.get_logger(__name__)

PROBE_PAUSES_S = (0.0, 0.3)
"""Pauses before the two probes of an endpoint's port.

A process that ends may close its port a moment after its connections. The second probe is early
enough that a restarted process does not listen on the port yet.
"""

CONTROL_PROBES = 2
"""Number of other endpoints that are probed when one refuses connections."""

CONTROL_PAUSES_S = (0.0, 0.05)
"""Pauses before the two rounds of these probes. A request may have crashed them too, and checks of
them take some milliseconds."""

RESTART_EVIDENCE_S = 15.0
"""Time after an aborted exchange within which a restart is evidence of a crash."""


@dataclass
class _PendingCheck:
    """A check of one process, with the requests whose exchanges the process has aborted.

    ``is_probed`` is set after the first probe.
    """

    process: EndpointProcess
    started_s: float
    requests: set[LostRequest] = field(default_factory=set)
    is_probed: trio.Event = field(default_factory=trio.Event)


class CrashChecks:
    """Probes endpoints that have aborted exchanges, and records those that have crashed.

    ``last_connected_in_s`` returns when this host last connected to an endpoint of a data centre.
    """

    def __init__(
        self,
        record: CrashRecord,
        directory: EndpointDirectory,
        last_connected_in_s: Callable[[DataCentreId], float] = lambda _: -math.inf,
    ) -> None:
        self._last_connected_in_s = last_connected_in_s
        self._record = record
        self._directory = directory
        self._pending_checks: dict[EndpointProcess, _PendingCheck] = {}
        self._inconclusive_checks: dict[HostId, _PendingCheck] = {}
        self._nursery: trio.Nursery | None = None
        self._rng = random.Random()

    async def run(self) -> None:
        """Run checks until cancelled."""
        self._pending_checks.clear()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    async def on_exchange_aborted(
        self, endpoint: Endpoint, request: LostRequest, parts: Sequence[PromptPart] = ()
    ) -> None:
        """Start a check of an endpoint that has aborted the exchange of a request.

        If the request is already a suspect, wait for the first probe, which takes a round trip, so
        that the request is not sent to another endpoint if the probe shows that it is the cause.
        ``parts`` are the shared parts of its prompt.
        """
        if self._nursery is None or not self._is_expected_to_run(endpoint):
            return
        process = EndpointProcess(endpoint.id, endpoint.started_unix_ms)
        if self._record.has_crash(process):
            now_s = trio.current_time()
            self._record.record_crash(process, [request], now_s, now_s)
            return
        check = self._pending_checks.get(process)
        if check is None:
            check = self._pending_checks[process] = _PendingCheck(process, trio.current_time())
            self._nursery.start_soon(self._probe, endpoint, check)
        check.requests.add(request)
        if self._record.is_suspect(request.fingerprint, parts):
            await check.is_probed.wait()

    def on_restarted(self, endpoint: HostId) -> None:
        """Record a crash if a restarted endpoint had aborted exchanges shortly before.

        The restart is known from the store.
        """
        check, now_s = self._inconclusive_checks.pop(endpoint, None), trio.current_time()
        if check is not None and now_s - check.started_s < RESTART_EVIDENCE_S:
            self._record.record_crash(check.process, check.requests, check.started_s, now_s)

    def _is_expected_to_run(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is listed and has not announced that it leaves."""
        listed = self._directory.by_id.get(endpoint.id)
        return listed is not None and not listed.is_leaving

    async def _probe(self, endpoint: Endpoint, check: _PendingCheck) -> None:
        """Probe whether a process still listens on its port."""
        try:
            for pause_s in PROBE_PAUSES_S:
                await trio.sleep(pause_s)
                if await _refuses_connections(endpoint) and await self._reaches_others(
                    endpoint, check.started_s
                ):
                    self._record.record_crash(
                        check.process, check.requests, check.started_s, trio.current_time()
                    )
                    return
                check.is_probed.set()
        finally:
            check.is_probed.set()
            self._pending_checks.pop(check.process, None)
        self._keep_inconclusive_check(check)

    async def _reaches_others(self, endpoint: Endpoint, since_s: float) -> bool:
        """Return whether this host has reached another endpoint since a given time.

        It also returns True if there is none to compare with.
        """
        for pause_s in CONTROL_PAUSES_S:
            await trio.sleep(pause_s)
            controls = self._choose_controls(endpoint)
            if not controls or self._last_connected_in_s(endpoint.data_centre) > since_s:
                return True
            for control in controls:
                if await _connects(control):
                    return True
        logger.info("crash not recorded", endpoint=endpoint.id, reason="no other one is reached")
        return False

    def _choose_controls(self, endpoint: Endpoint) -> list[Endpoint]:
        """Return other endpoints that are not known to have crashed.

        They are of the same data centre, or any if there is no other one in it.
        """
        others = [
            other
            for other in self._directory.by_id.values()
            if other.id != endpoint.id and not self._has_crashed(other)
        ]
        near = [other for other in others if other.data_centre == endpoint.data_centre]
        pool = near or others
        return self._rng.sample(pool, min(CONTROL_PROBES, len(pool)))

    def _has_crashed(self, endpoint: Endpoint) -> bool:
        """Return whether the process of an endpoint is known to have crashed."""
        return self._record.has_crash(EndpointProcess(endpoint.id, endpoint.started_unix_ms))

    def _keep_inconclusive_check(self, check: _PendingCheck) -> None:
        """Keep a check that showed no crash, as the store may still show a restart."""
        now_s = trio.current_time()
        kept = {
            h: c
            for h, c in self._inconclusive_checks.items()
            if now_s - c.started_s < RESTART_EVIDENCE_S
        }
        self._inconclusive_checks = kept | {check.process.endpoint: check}


async def _connects(endpoint: Endpoint) -> bool:
    """Return whether an endpoint's address accepts a connection."""
    try:
        async with open_exchange(endpoint.address, CONNECT_TIMEOUT_S):
            return True
    except ExchangeError:
        return False  # The caller logs that no endpoint is reached.


async def _refuses_connections(endpoint: Endpoint) -> bool:
    """Return whether an endpoint's address refuses connections; a timeout does not count."""
    try:
        async with open_exchange(endpoint.address, CONNECT_TIMEOUT_S):
            return False
    except ExchangeError as error:
        return error.failure is ExchangeFailure.REFUSED
