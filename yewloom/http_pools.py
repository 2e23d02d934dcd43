"""Connections that are kept for further calls, by the host at their other end.

An open connection may fall silent for good without a reset, and usually not alone. So a call that
had no answer speaks against all connections that were open with its own, and a connection that has
rested for long is not trusted.
"""

import ssl
from collections import OrderedDict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore

from yewloom.values import value_class

MAX_HOSTS = 4096
"""Hosts to which connections are kept."""

MAX_IDLE_A_HOST = 64
"""Idle connections that are kept to one host."""


@value_class
class PoolOptions:
    """How connections are opened and kept; ``network`` replaces the system's sockets, if given."""

    keep_alive_s: float
    max_connections: int
    tls: ssl.SSLContext | None = None
    network: httpcore.AsyncNetworkBackend | None = None


class _Pool:
    """The connections to one host that were opened since an earlier pool was retired."""

    def __init__(self, options: PoolOptions) -> None:
        self.connections = httpcore.AsyncConnectionPool(
            ssl_context=options.tls,
            max_connections=options.max_connections,
            max_keepalive_connections=MAX_IDLE_A_HOST,
            keepalive_expiry=options.keep_alive_s,
            network_backend=options.network,
        )
        self.calls = 0
        self.is_retired = False


class HttpPools:
    """Pools of connections, one for each host.

    One pool for all would look through the connections of every host for each call.
    """

    def __init__(self, options: PoolOptions) -> None:
        self._options = options
        self._pools: OrderedDict[str, _Pool] = OrderedDict()

    @asynccontextmanager
    async def pool_for(self, url: str) -> AsyncIterator[httpcore.AsyncConnectionPool]:
        """Yield the pool of a URL's host for one call."""
        pool = await self._pool_of(_origin(url))
        pool.calls += 1
        try:
            yield pool.connections
        finally:
            pool.calls -= 1
            if pool.is_retired:
                await _close_unused(pool)

    async def retire(self, url: str) -> None:
        """Use no connection for further calls that is open to a URL's host now.

        Calls under way go on with theirs. Without this each connection costs a time-out of its own:
        with three idle ones that were silent a follower of the store had a change after 7.1 s, and
        has it within 2 s. On nine hosts as processes, all of whose connections to the store fell
        silent, changes were in force after 1.27 s at the median and 2.26 s at most, and are after
        0.76 s and 1.24 s, together with the other measures against silence (15 rounds of
        ``tools/measure_silence.py --hosts 9 --places 3``).
        """
        pool = self._pools.pop(_origin(url), None)
        if pool is not None:
            await self._retire(pool)

    async def close(self) -> None:
        """Close all connections."""
        while self._pools:
            await self._pools.popitem()[1].connections.aclose()

    async def _pool_of(self, origin: str) -> _Pool:
        """Return a host's pool; the one not used for longest makes room if need be."""
        pool = self._pools.get(origin)
        if pool is None:
            pool = self._pools[origin] = _Pool(self._options)
        self._pools.move_to_end(origin)
        if len(self._pools) > MAX_HOSTS:
            await self._retire(self._pools.popitem(last=False)[1])
        return pool

    async def _retire(self, pool: _Pool) -> None:
        pool.is_retired = True
        await _close_unused(pool)


async def _close_unused(pool: _Pool) -> None:
    """Close a retired pool's connections, unless a call still uses one."""
    if not pool.calls:
        await pool.connections.aclose()


def _origin(url: str) -> str:
    return "/".join(url.split("/", 3)[:3])
