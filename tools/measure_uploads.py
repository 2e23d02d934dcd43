"""Measure the peak memory of an entry host while callers upload large bodies at the same time."""

import random
import re
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated

import httpcore
import trio
import typer

from yewloom.tests.soak.endpoints import WORK_HEADER
from yewloom.tests.soak.fleet import ROUTE_HOST, EntryProcess, Fleet, api_key
from yewloom.tests.soak.ledger import Ledger

BODY_BYTES = 4 << 20
UPLOAD_TIMEOUT_S = 20.0
START_TIMEOUT_S = 30.0
POLL_S = 0.1

WORK_S = 1.0
"""Time that the endpoint takes for a request, in which all uploads are open at once."""


def _peak_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) / 1024


async def _upload(entry: EntryProcess, number: int, body: bytes, ends: Counter[str]) -> None:
    headers: dict[bytes | str, bytes | str] = {
        "host": ROUTE_HOST,
        "yewloom-request-id": f"{number:x}",
        "yewloom-deadline-ms": str(round(UPLOAD_TIMEOUT_S * 1000)),
        "authorization": f"Token {api_key(1)}",
        WORK_HEADER: str(WORK_S),
    }
    end = "no answer in time"
    with trio.move_on_after(UPLOAD_TIMEOUT_S):
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{entry.caller_address}/idempotent/{number}"
                answer = await pool.request("POST", url, headers=headers, content=body)
                end = str(answer.status)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            end = type(error).__name__
    ends[end] += 1


async def _measure(folder: Path, uploads: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(folder, Ledger(), random.Random(1), nursery)
        try:
            await fleet.start(1, 0, 2)
            [entry] = fleet.entries
            served: Counter[str] = Counter()
            with trio.fail_after(START_TIMEOUT_S):
                while not served["200"]:
                    await _upload(entry, 0, b"", served)
                    await trio.sleep(POLL_S)
            assert entry.pid is not None
            before_mb, ends = _peak_mb(entry.pid), Counter[str]()
            async with trio.open_nursery() as callers:
                for number in range(1, uploads + 1):
                    callers.start_soon(_upload, entry, number, bytes(BODY_BYTES), ends)
            print(
                f"{uploads} uploads: peak {_peak_mb(entry.pid):.0f} MB, {before_mb:.0f} MB before"
            )
            print(f"  {dict(ends)}", flush=True)
        finally:
            fleet.stop()
        nursery.cancel_scope.cancel()


def main(
    uploads: Annotated[list[int], typer.Argument(help="Numbers of uploads at the same time.")],
) -> None:
    """Print the peak memory for each number of uploads."""
    for count in uploads:
        with tempfile.TemporaryDirectory() as folder:
            trio.run(_measure, Path(folder), count)


if __name__ == "__main__":
    typer.run(main)
