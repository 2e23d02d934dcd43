"""Case 2: every key of every tenant is taken away; requests with these keys still run."""

import asyncio
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (  # noqa: E402 - the folder of the stand-ins is added first
    BOUNDS,
    Answer,
    Caller,
    EntryHost,
    Record,
    Service,
    Store,
    free_port,
    run_case,
)

TENANTS = {"lime": "key-of-lime", "opal": "key-of-opal", "rowan": "key-of-rowan"}
"""Key of each tenant."""

NEVER_HELD_KEY = "key-of-nobody"
"""Key that no configuration holds."""

REVOKE_GAP_S = 0.4
"""Pause between two keys that are taken away: three keys, as the largest ``revoke`` of the site."""

PATH = "/lohu930/2f"


@dataclass
class Seen:
    """What callers, workers and the operator saw."""

    revoked_s: dict[str, float] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    answers: list[Answer] = field(default_factory=list)
    ran: dict[str, str | None] = field(default_factory=dict)


def configuration(version: int, tenants: dict[str, list[str]]) -> dict[str, Any]:
    """Return a configuration with one non-idempotent route, and the given keys of each tenant."""
    route = {"name": "rate-push", "host": "ficu95.example", "pathPrefix": "/lohu930/"}
    route |= {"service": "canal-sync", "type": "non_idempotent", "attempts": 1}
    route |= {"timeoutMs": 4000, "sloMs": 400, "priority": 1}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "canal-sync", "healthPath": "/healthz"}],
        "limits": limits,
        "tenants": [{"name": name, "apiKeys": keys} for name, keys in tenants.items()],
    }


async def play(record: Record, folder: Path, has_trouble: bool) -> Seen:
    """Play the case."""
    store = Store(f"127.0.0.1:{free_port()}", record)
    await store.start()
    held = {name: [key] for name, key in TENANTS.items()}
    store.configure(configuration(10, held))
    workers = [
        Service(f"i-{number:08x}", "canal-sync", f"127.0.0.1:{free_port()}", store, record)
        for number in range(3)
    ]
    for worker in workers:
        await worker.start()
    hosts = [EntryHost(number, store.address, folder, record) for number in (1, 2)]
    seen = Seen()
    try:
        for host in hosts:
            await host.start()
        for host in hosts:
            await host.wait_until_ready()
        await _send_all(record, store, hosts, held, has_trouble, seen)
    finally:
        for host in hosts:
            await host.end()
    for worker in workers:
        for request in worker.runs:
            seen.ran[request.get("yewloom-request-id") or ""] = request.get("yewloom-tenant")
    return seen


async def _send_all(
    record: Record,
    store: Store,
    hosts: list[EntryHost],
    held: dict[str, list[str]],
    has_trouble: bool,
    seen: Seen,
) -> None:
    """Send requests of all tenants over kept connections before, during and after the change."""
    callers = [
        (Caller(f"{name}-{number}", host.frontend, record), key)
        for number, host in enumerate(hosts, 1)
        for name, key in [*TENANTS.items(), ("nobody", NEVER_HELD_KEY)]
    ]
    async with asyncio.TaskGroup() as tasks:
        for caller, key in callers:
            tasks.create_task(_call(caller, key, seen))
        await asyncio.sleep(3.0)
        for version, name in enumerate(TENANTS, 11):
            if has_trouble:
                held = {**held, name: []}
            acknowledged_s = store.configure(configuration(version, held))
            if has_trouble:
                seen.revoked_s[TENANTS[name]] = acknowledged_s
            await asyncio.sleep(REVOKE_GAP_S)


async def _call(caller: Caller, key: str, seen: Seen) -> None:
    """Send a request every half a second for some 16 s."""
    for _ in range(32):
        answer = await caller.send(PATH, key)
        seen.keys[answer.request_id] = key
        seen.answers.append(answer)
        await asyncio.sleep(0.5)
    caller.close()


def verdict(seen: Seen, record: Record, has_trouble: bool) -> bool:
    """Return whether CONFIG (strict revocation) and ROUTE (keys never held) held."""
    late = [
        answer
        for answer in seen.answers
        if answer.request_id in seen.ran
        and answer.sent_s
        > seen.revoked_s.get(seen.keys[answer.request_id], float("inf")) + BOUNDS["revokeMs"] / 1000
    ]
    foreign = [r for r in seen.ran if seen.keys.get(r) == NEVER_HELD_KEY]
    wrong_tenant = [
        request_id
        for request_id, tenant in seen.ran.items()
        if TENANTS.get(tenant or "") != seen.keys.get(request_id)
    ]
    served = sum(a.status == 200 for a in seen.answers if seen.keys[a.request_id] != NEVER_HELD_KEY)
    record.add(
        "judged",
        sent=len(seen.answers),
        served_with_keys_once_held=served,
        config_late_runs=len(late),
        config_first=[answer.request_id for answer in late[:3]],
        route_runs_with_key_never_held=len(foreign),
        unasked_runs_without_the_keys_tenant=len(wrong_tenant),
    )
    if served < len(TENANTS):
        raise RuntimeError("no request was served while the keys were held")
    return not (late or foreign or wrong_tenant)


if __name__ == "__main__":
    run_case(play, verdict)
