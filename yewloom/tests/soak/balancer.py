"""Model of the platform's load balancer, which sends new connections to ready entry hosts only."""

from collections.abc import Iterable, Sequence

import httpcore
import trio

from yewloom.tests.soak.fleet import EntryProcess
from yewloom.tests.soak.noted_streams import RecordedStream

CHECK_PERIOD_S = 1.0
"""Interval between readiness checks of a host, and time-out of each check; specified by the
platform's documentation."""

UNREADY_THRESHOLD = 2
"""Consecutive checks without status 200 after which a host gets no new connections; specified by
the platform's documentation."""


class Balancer:
    """Checks the readiness of entry hosts, and routes new connections to those that are ready."""

    def __init__(self, entries: Sequence[EntryProcess]) -> None:
        self._entries = entries
        self._failed_checks = {entry.name: 0 for entry in entries}

    async def run(self) -> None:
        """Check all hosts periodically until cancelled."""
        async with trio.open_nursery() as nursery:
            for entry in self._entries:
                nursery.start_soon(self._watch, entry)

    def routes_to(self, entry: EntryProcess) -> bool:
        """Return whether a host gets new connections; all hosts do if under half are ready."""
        ready = [
            name for name, failures in self._failed_checks.items() if failures < UNREADY_THRESHOLD
        ]
        return entry.name in ready or 2 * len(ready) < len(self._entries)

    def record_check(self, name: str, is_ready: bool) -> None:
        """Record the result of one readiness check; no answer counts as not ready."""
        self._failed_checks[name] = 0 if is_ready else self._failed_checks[name] + 1

    async def _watch(self, entry: EntryProcess) -> None:
        while True:
            check_began_s = trio.current_time()
            self.record_check(entry.name, await _is_ready(entry.readiness_address))
            await trio.sleep_until(check_began_s + CHECK_PERIOD_S)


async def _is_ready(address: str) -> bool:
    with trio.move_on_after(CHECK_PERIOD_S):
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                answer = await pool.request("GET", f"http://{address}/readyz")
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return False
            return answer.status == 200
    return False


class BalancedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections to one entry host while the balancer routes to it."""

    def __init__(self, balancer: Balancer, entry: EntryProcess) -> None:
        self._balancer = balancer
        self._entry = entry
        self._network = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection, or fail if the balancer does not route to the host."""
        if not self._balancer.routes_to(self._entry):
            raise httpcore.ConnectError(f"balancer does not route to {self._entry.name}")
        network = self._network
        stream = await network.connect_tcp(host, port, timeout, local_address, socket_options)
        return RecordedStream(stream, self._entry.process_name)

    async def sleep(self, seconds: float) -> None:
        """Wait before the next connection attempt."""
        await self._network.sleep(seconds)
