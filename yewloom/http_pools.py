"""Connection pools for HTTP calls, one per host.

An open connection may stop delivering data permanently without a reset, usually together with
others. So when a call gets no response, all connections that were open at the same time are
considered unreliable, and connections that were idle for long are not reused.
"""

import ssl
from collections import OrderedDict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpcore

from yewloom.values import value_class

MAX_HOSTS = 4096
"""Maximum number of hosts with a pool."""

MAX_IDLE_PER_HOST = 64
"""Maximum number of idle connections per host."""


@value_class
class PoolOptions:
    """Connection options; ``network`` opens the connections."""

    keep_alive_s: float
    max_connections: int
    network: httpcore.AsyncNetworkBackend
    tls: ssl.SSLContext | None = None


class _Pool:
    """The connections to one host that were opened since the previous pool was retired."""

    def __init__(self, options: PoolOptions) -> None:
        self.connections = httpcore.AsyncConnectionPool(
            ssl_context=options.tls,
            max_connections=options.max_connections,
            max_keepalive_connections=MAX_IDLE_PER_HOST,
            keepalive_expiry=options.keep_alive_s,
            network_backend=options.network,
        )
        self.calls = 0
        self.is_retired = False


class HttpPools:
    """One connection pool per host.

    With a single pool, each call would search the connections of all hosts.
    """

    def __init__(self, options: PoolOptions) -> None:
        self._options = options
        self._pools: OrderedDict[str, _Pool] = OrderedDict()

    @asynccontextmanager
    async def pool_for(self, url: str) -> AsyncIterator[httpcore.AsyncConnectionPool]:
        """Yield the pool of a URL's host for one call."""
        pool = await self._get_pool(_origin(url))
        pool.calls += 1
        try:
            yield pool.connections
        finally:
            pool.calls -= 1
            if pool.is_retired:
                await _close_if_unused(pool)

    async def retire(self, url: str) -> None:
        """Make later calls to a URL's host use new connections.

        Calls in progress keep their connections. Without this, each silent connection would cost a
        time-out of its own.
        """
        pool = self._pools.pop(_origin(url), None)
        if pool is not None:
            await self._retire(pool)

    async def close(self) -> None:
        """Close all connections."""
        while self._pools:
            await self._pools.popitem()[1].connections.aclose()

    async def _get_pool(self, origin: str) -> _Pool:
        """Return the pool of an origin; evict the least recently used one if there are too many."""
        pool = self._pools.get(origin)
        if pool is None:
            pool = self._pools[origin] = _Pool(self._options)
        self._pools.move_to_end(origin)
        if len(self._pools) > MAX_HOSTS:
            await self._retire(self._pools.popitem(last=False)[1])
        return pool

    async def _retire(self, pool: _Pool) -> None:
        pool.is_retired = True
        await _close_if_unused(pool)


async def _close_if_unused(pool: _Pool) -> None:
    """Close the connections of a retired pool, unless a call still uses one."""
    if not pool.calls:
        await pool.connections.aclose()


def _origin(url: str) -> str:
    return "/".join(url.split("/", 3)[:3])
