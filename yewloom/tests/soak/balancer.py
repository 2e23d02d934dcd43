"""The platform's balancer, which lets callers open connections to the entry hosts that it uses."""

from collections.abc import Iterable, Sequence

import httpcore
import trio

from yewloom.tests.soak.fleet import EntryProcess
from yewloom.tests.soak.noted_streams import NotedStream

CHECK_PERIOD_S = 1.0
"""Time between two questions whether a host is ready, and the longest wait for an answer; from the
platform's pages."""

MISSES = 2
"""Questions in a row without the answer 200 that take a host out; from the platform's pages."""


class Balancer:
    """Asks the entry hosts whether they are ready, and uses those that are."""

    def __init__(self, entries: Sequence[EntryProcess]) -> None:
        self._entries = entries
        self._misses = {entry.name: 0 for entry in entries}

    async def run(self) -> None:
        """Ask until cancelled."""
        async with trio.open_nursery() as nursery:
            for entry in self._entries:
                nursery.start_soon(self._watch, entry)

    def uses(self, entry: EntryProcess) -> bool:
        """Tell whether a host gets new connections: all do once under half of them are ready."""
        ready = [name for name, misses in self._misses.items() if misses < MISSES]
        return entry.name in ready or 2 * len(ready) < len(self._entries)

    def note_answer(self, name: str, is_ready: bool) -> None:
        """Take in an answer of a host, or that there was none."""
        self._misses[name] = 0 if is_ready else self._misses[name] + 1

    async def _watch(self, entry: EntryProcess) -> None:
        while True:
            asked_s = trio.current_time()
            self.note_answer(entry.name, await _is_ready(entry.readiness_address))
            await trio.sleep_until(asked_s + CHECK_PERIOD_S)


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
    """Opens connections to one entry host while the balancer uses it."""

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
        """Open a connection."""
        if not self._balancer.uses(self._entry):
            raise httpcore.ConnectError(f"the balancer does not use {self._entry.name}")
        network = self._network
        stream = await network.connect_tcp(host, port, timeout, local_address, socket_options)
        return NotedStream(stream, self._entry.life)

    async def sleep(self, seconds: float) -> None:
        """Wait before a connection is tried again."""
        await self._network.sleep(seconds)
