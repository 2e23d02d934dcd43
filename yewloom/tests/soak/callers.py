"""Callers under soak: each keeps its connections open and uses them until the process is gone."""

import itertools
import random

import httpcore
import trio

from yewloom.tests.soak.fleet import HOST, MODEL, EntryProcess, Fleet, key_of
from yewloom.tests.soak.ledger import Kind, Ledger, Sent

PAUSE_S = 0.12
"""Mean pause of a caller between two requests."""

DEADLINE_S = 4.0
"""Time that a caller waits for an answer."""

CONNECTIONS = 2
"""Connections that a caller keeps open at most."""

_KEY_LAGS = (0, 0, 0, 1, 2)
"""How many versions back the key of a request is; now and then one that may just be taken away."""

_PATHS = {Kind.STREAM: "/stream/", Kind.SAFE: "/idempotent/", Kind.UNSAFE: "/non_idempotent/"}


class Caller:
    """Sends requests to one entry host, one after the other, over kept connections."""

    def __init__(self, entry: EntryProcess, fleet: Fleet, ledger: Ledger, seed: int) -> None:
        self._entry = entry
        self._fleet = fleet
        self._ledger = ledger
        self._rng = random.Random(seed)
        self._numbers = (f"{entry.name}-{seed}-{n}" for n in itertools.count())

    async def run(self) -> None:
        """Send until cancelled."""
        async with httpcore.AsyncConnectionPool(max_connections=CONNECTIONS) as pool:
            while True:
                await trio.sleep(self._rng.expovariate(1 / PAUSE_S))
                await self.send(pool, self._rng.choice(list(Kind)))

    async def send(self, pool: httpcore.AsyncConnectionPool, kind: Kind) -> Sent:
        """Send one request, and note it and its answer."""
        request_id = next(self._numbers)
        version = max(1, self._fleet.version - self._rng.choice(_KEY_LAGS))
        sent = Sent(
            request_id=request_id,
            kind=kind,
            path=f"{_PATHS[kind]}{request_id}",
            body=b"" if kind is Kind.SAFE else f"body of {request_id}".encode(),
            key_version=version,
            host_life=self._entry.life,
            sent_s=trio.current_time(),
        )
        self._ledger.sent[request_id] = sent
        try:
            with trio.fail_after(DEADLINE_S):
                await self._exchange(pool, sent)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            pass  # No whole answer; ``is_whole`` says so.
        except trio.TooSlowError:
            pass
        sent.ended_s = trio.current_time()
        return sent

    async def _exchange(self, pool: httpcore.AsyncConnectionPool, sent: Sent) -> None:
        headers = _headers(sent)
        method = "GET" if sent.kind is Kind.SAFE else "POST"
        url = f"http://{self._entry.caller_address}{sent.path}"
        async with pool.stream(method, url, headers=headers, content=sent.body or None) as answer:
            sent.status = answer.status
            stamps = [value for name, value in answer.headers if name == b"yewloom-server-stamp"]
            sent.stamp = stamps[0].decode() if stamps else ""
            async for chunk in answer.aiter_stream():
                sent.answer += chunk
            sent.is_whole = True


def _headers(sent: Sent) -> dict[bytes | str, bytes | str]:
    headers: dict[bytes | str, bytes | str] = {
        "host": HOST,
        "yewloom-request-id": sent.request_id,
        "yewloom-deadline-ms": str(round(DEADLINE_S * 1000)),
        "authorization": f"Token {key_of(sent.key_version)}",
    }
    if sent.kind is Kind.STREAM:
        headers["yewloom-model"] = MODEL
    return headers
