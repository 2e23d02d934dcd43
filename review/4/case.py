"""Connections to the store go silent, and a worker that never says ``draining`` leaves then."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import Answer, EntryHosts, Record, Store, Worker, run_case, send_request

CONTACT_S = 3.0
"""contactMs: time after the disruption from which machines are in touch again."""

DRAIN_S = 2.0
"""drainMs: time after the acknowledgement from which no request may reach the worker."""

LINGER_S = 1.5
"""How much longer the worker serves: a little, at times many seconds (linger_ms of the site)."""

MARGIN_S = 0.1
"""Time allowed for the way of a request through a host."""

WORK_S = 0.3
REQUESTS_PER_S = 30
ZONES = ("centro-a", "centro-b", "centro-c")
SERVICE = "canal-sync"
BOUNDS = {
    "key_revocation_ms": "5000",
    "configuration_apply_ms": "2000",
    "keys_need_proof": "true",
    "retry_ratio": "0.2",
    "retry_window_s": "10",
    "retry_extra": "136",
    "stall_ms": "5000",
}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "rate-push",
            "host": "channels.example",
            "pathPrefix": "/rates/",
            "type": "non_idempotent",
            "timeoutMs": 4000,
            "sloMs": 400,
            "service": SERVICE,
            "attempts": 1,
            "priority": 2,
        }
    ],
    "services": [{"name": SERVICE, "healthPath": "/healthz", "slots": 6}],
    "tenants": [{"name": "hotel-1", "apiKeys": ["key-1"]}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


async def send_steadily(record: Record, hosts: EntryHosts, until_s: float) -> None:
    """Send requests to all hosts in turn, each with an id of its own."""
    addresses = list(hosts.callers.items())
    number = 0
    async with asyncio.TaskGroup() as tasks:
        while record.now_s() < until_s:
            host, address = addresses[number % len(addresses)]
            tasks.create_task(send_one(record, host, address, f"r{number}"))
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_S)


async def send_one(record: Record, host: str, address: str, request_id: str) -> Answer:
    """Send one request that cannot be repeated, and record its answer."""
    record.add("sent", request=request_id, host=host)
    head = [
        f"POST /rates/{request_id} HTTP/1.1",
        "Host: channels.example",
        f"Yewloom-Request-Id: {request_id}",
        "Yewloom-Deadline-Ms: 4000",
        "Authorization: Token key-1",
        "Connection: close",
    ]
    answer = await send_request(address, head, b"x" * 600, 5)
    record.add("answered", request=request_id, host=host, status=answer.status)
    return answer


async def play(record: Record, hosts: EntryHosts, has_trouble: bool) -> int:
    """Play the case; return 1 if the rule was broken."""
    store = Store(record)
    workers = [Worker(record, f"i-{zone}", SERVICE, zone, WORK_S) for zone in ZONES]
    for server in (store, *workers):
        await server.start()
    store.put("config", "main", CONFIGURATION)
    for worker in workers:
        store.put("servers", worker.name, worker.entry())
    for zone in ZONES:
        hosts.prepare(f"edge-{zone}-1", zone, store.address, BOUNDS)
        hosts.start(f"edge-{zone}-1")
    if not await hosts.wait_until_ready(20):
        return 2
    await asyncio.sleep(4)
    traffic = asyncio.create_task(send_steadily(record, hosts, record.now_s() + 14))
    await asyncio.sleep(4)
    leaving = workers[0]
    disrupted_s = record.now_s()
    if has_trouble:
        record.add("connections to the store go silent", count=store.silence_connections())
    store.remove("servers", leaving.name)
    acknowledged_s = record.add("worker leaves", worker=leaving.name)
    await asyncio.sleep(DRAIN_S + LINGER_S)
    leaving.end()
    await traffic
    return judge(record, leaving.name, disrupted_s, acknowledged_s)


def judge(record: Record, leaving: str, disrupted_s: float, acknowledged_s: float) -> int:
    """Return 1 if requests reached the worker too late while all hosts were in touch."""
    bound_s = max(acknowledged_s + DRAIN_S, disrupted_s + CONTACT_S) + MARGIN_S
    runs = [line for line in record.lines if line["event"] == "run"]
    late = [line for line in runs if line["worker"] == leaving and line["at_s"] > bound_s]
    ended = {line["request"] for line in record.lines if line["event"] == "run ended"}
    lost = [line["request"] for line in late if line["request"] not in ended]
    answered = {x["request"]: x["status"] for x in record.lines if x["event"] == "answered"}
    after_ms = [round((line["at_s"] - acknowledged_s) * 1000) for line in late]
    record.add(
        "judged",
        requests=len(answered),
        served=sum(status == 200 for status in answered.values()),
        late=[line["request"] for line in late],
        ms_after_acknowledgement=after_ms,
        cut_while_running={request: answered.get(request) for request in lost},
    )
    print(
        f"{len(answered)} requests; {len(late)} reached {leaving} after the bound, up to "
        f"{max(after_ms, default=0)} ms after the acknowledgement; {len(lost)} of them were cut"
    )
    return 1 if late else 0


if __name__ == "__main__":
    raise SystemExit(run_case(Path(__file__).resolve().parent, play))
