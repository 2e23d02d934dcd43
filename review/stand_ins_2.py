"""Stand-ins of the second review: a store, plain workers and a client, of the standard library.

They run in the process of a case, on one asyncio loop, and speak what the users' pages say. The
entry hosts run beside them as processes of their own, with the command of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parent.parent
STORE_ANSWER_S = 0.004
"""Time that the store takes for an answer."""

PAGE_SIZE = 500
"""Objects on one page of a listing."""


FIRST_PORT, LAST_PORT = 20000, 32000
"""Ports to choose from: below those that the system gives to outgoing connections."""

_given_ports: set[int] = set()


def free_port() -> int:
    """Return a port of the loopback address that nothing uses now, and not the same one twice."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


class Record:
    """Writes what is sent, answered and run to ``record.txt``, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()
        self.lines: list[dict[str, Any]] = []

    def now_s(self) -> float:
        """Return the time since the case began."""
        return time.monotonic() - self._start_s

    def add(self, event: str, **fields: Any) -> float:
        """Write a line; return its time."""
        at_s = self.now_s()
        line = {"at_s": round(at_s, 4), "event": event, **fields}
        self.lines.append(line)
        self._file.write(json.dumps(line) + "\n")
        return at_s

    def close(self) -> None:
        """Write everything to the file."""
        self._file.close()


@dataclass
class HttpRequest:
    """A request as a stand-in has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the query."""
        return {k: v[-1] for k, v in parse_qs(self.target.partition("?")[2]).items()}


@dataclass(eq=False)
class Connection:
    """A connection that a stand-in has accepted; a silent one carries nothing any more."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_silent: bool = False
    is_answering: bool = False

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is silent."""
        if not self.is_silent:
            self.writer.write(data)

    def reset(self) -> None:
        """Reset the connection."""
        transport = self.writer.transport
        connection = transport.get_extra_info("socket")
        if connection is not None:
            with contextlib.suppress(OSError):
                linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        transport.abort()


async def read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Return the next request on a connection, or None if it has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        pairs = (line.partition(":") for line in lines if line)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return HttpRequest(method, target, headers, body)


def response_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a response with its length."""
    lines = [f"HTTP/1.1 {status} Answer", *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class HttpServer:
    """Accepts connections and answers their requests, one after the other."""

    def __init__(self, port: int | None = None) -> None:
        self.address = f"127.0.0.1:{port or free_port()}"
        self.connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.partition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.reset()

    async def answer(self, request: HttpRequest, connection: Connection) -> bytes | None:
        """Return the answer to a request; None to end the connection."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self.answer(request, connection)
                if answer is None:
                    break
                connection.write(answer)
                if request.headers.get("connection", "").lower() == "close":
                    break
            if connection.is_silent:
                await asyncio.Event().wait()  # It stays open until the case ends.
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            with contextlib.suppress(RuntimeError):  # The loop may have ended.
                writer.close()


class Store(HttpServer):
    """The platform's store: objects by kind and name, with one counter of revisions."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.revision = 0
        self.objects: defaultdict[str, dict[str, dict[str, Any]]] = defaultdict(dict)
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.oldest_revision = 0
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as an operator or a worker does; return the revision."""
        known = self.objects[kind].get(name)
        if known is not None and known["spec"] == spec:
            return self.revision
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind][name] = stored
        self._add_event(kind, stored, False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects[kind].pop(name)
        self.revision += 1
        self._add_event(kind, stored, True)

    def silence_connections(self) -> int:
        """Let all open connections go silent, without a reset; new ones work."""
        for connection in self.connections:
            connection.is_silent = True
        return len(self.connections)

    def _add_event(self, kind: str, stored: dict[str, Any], is_removed: bool) -> None:
        self.history.append((self.revision, kind, stored, is_removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request: HttpRequest, connection: Connection) -> bytes | None:
        """Answer a call."""
        await asyncio.sleep(STORE_ANSWER_S)
        parts = [unquote(part) for part in request.path.strip("/").split("/")]
        if parts[0] != "objects" or len(parts) not in (2, 3):
            return response_bytes(400, {}, b"")
        kind, name = parts[1], parts[2] if len(parts) == 3 else None
        if request.method == "GET" and name is not None:
            stored = self.objects[kind].get(name)
            return _json(404, None) if stored is None else _json(200, stored)
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request.query)
        if request.method == "GET":
            return self._list(kind, request.query.get("sinceRev", ""))
        return self._write(kind, name, json.loads(request.body))

    def _list(self, kind: str, after: str) -> bytes:
        names = [name for name in sorted(self.objects[kind]) if name > after]
        items = [self.objects[kind][name] for name in names[:PAGE_SIZE]]
        more = len(names) > PAGE_SIZE
        return _json(200, {"items": items, "morePages": more, "storeRevision": self.revision})

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        since, until_s = int(query["watch"]), time.monotonic() + int(query["waitMs"]) / 1000
        if not self.oldest_revision <= since <= self.revision:
            return _json(410, None)
        while not (events := self._events(kind, since)):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        return _json(200, {"events": events, "storeRevision": self.revision})

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": stored, "tombstone": is_removed}
            for revision, changed, stored, is_removed in self.history
            if revision > since and changed == kind
        ]

    def _write(self, kind: str, name: str | None, fields: dict[str, Any]) -> bytes:
        name = name or fields["metadata"]["name"]
        expected = fields["metadata"].get("revision")
        stored = self.objects[kind].get(name)
        if expected is None and stored is not None:
            return _json(409, stored)
        if expected is not None and stored is None:
            return _json(404, None)
        if stored is not None and stored["metadata"]["revision"] != expected:
            return _json(409, stored)
        self.put(kind, name, fields["spec"])
        return _json(200, self.objects[kind][name])


def _json(status: int, value: Any) -> bytes:
    body = b"" if value is None else json.dumps(value).encode()
    return response_bytes(status, {"Content-Type": "application/json"}, body)


class Worker(HttpServer):
    """A worker of a plain service, which works ``work_s`` on each request."""

    def __init__(self, record: Record, name: str, service: str, zone: str, work_s: float) -> None:
        super().__init__()
        self.record = record
        self.name, self.service, self.zone, self.work_s = name, service, zone, work_s
        self.running: set[str] = set()
        self.is_ended = False

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the worker's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
        }

    async def answer(self, request: HttpRequest, connection: Connection) -> bytes | None:
        """Run a request, or say that it was meant for another worker."""
        if request.path == "/healthz":
            return response_bytes(200, {"Yewloom-Instance-Id": self.name}, b"")
        request_id = request.headers.get("yewloom-request-id", "")
        headers = {"Yewloom-Request-Id": request_id, "Yewloom-Server-Stamp": self.name}
        expected = request.headers.get("yewloom-expect-instance")
        if expected is not None and expected != self.name:
            self.record.add("turned away", worker=self.name, request=request_id)
            return response_bytes(421, headers | {"Yewloom-Not-Executed": "1"}, b"")
        self.record.add("run", worker=self.name, request=request_id)
        self.running.add(request_id)
        await asyncio.sleep(self.work_s)
        self.running.discard(request_id)
        if self.is_ended:
            return None
        self.record.add("run ended", worker=self.name, request=request_id)
        return response_bytes(200, headers, f"{self.name} {request_id}".encode())

    def end(self) -> None:
        """End as a process does: the port closes, and running requests are cut."""
        self.record.add("worker ended", worker=self.name, running=sorted(self.running))
        self.is_ended = True
        self.stop()


@dataclass
class Answer:
    """What a client has got: a status, or None for a connection that ended without an answer."""

    status: int | None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def send_request(address: str, head: list[str], body: bytes, timeout_s: float) -> Answer:
    """Send one request on a new connection, and return its answer."""
    host, _, port = address.partition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = "\r\n".join([*head, f"Content-Length: {len(body)}", "", ""])
            writer.write(lines.encode() + body)
            raw = await reader.readuntil(b"\r\n\r\n")
            first, *rest = raw.decode("latin-1").split("\r\n")
            pairs = (line.partition(":") for line in rest if line)
            headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
            if "content-length" in headers:
                got = await reader.readexactly(int(headers["content-length"]))
            else:
                got = await _read_chunks(reader)
            return Answer(int(first.split(" ")[1]), headers, got)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return Answer(None)
    finally:
        if writer is not None:
            writer.close()


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    return body


class EntryHosts:
    """Entry hosts of a deployment, each a process started with the command of the deploy file."""

    def __init__(self, folder: Path, record: Record) -> None:
        self._folder = folder
        self._record = record
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self._command = deploy["roles"]["entry"]["run"].split()
        self.callers: dict[str, str] = {}
        self._readiness: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._settings: dict[str, Path] = {}

    def prepare(self, name: str, zone: str, store: str, bounds: dict[str, str]) -> None:
        """Write the settings file of a host, as the template of the deploy file gives it."""
        self.callers[name] = f"127.0.0.1:{free_port()}"
        self._readiness[name] = f"127.0.0.1:{free_port()}"
        sections = {
            "host": {
                "id": name,
                "data_centre": zone,
                "caller_address": self.callers[name],
                "readiness_address": self._readiness[name],
                "peer_address": f"127.0.0.1:{free_port()}",
                "metrics_port": "0",
                "is_first_start": "true",
                "stop_grace_s": "8",
            },
            "store": {"address": store},
            "lease": {"duration_ms": "3000", "renew_interval_ms": "1200", "margin_ms": "400"},
            "bounds": bounds,
        }
        text = "".join(
            f"[{section}]\n" + "".join(f"{key} = {value}\n" for key, value in keys.items())
            for section, keys in sections.items()
        )
        self._settings[name] = self._folder / f"{name}.ini"
        self._settings[name].write_text(text, encoding="utf-8")

    def start(self, name: str) -> None:
        """Start the process of a host."""
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["YEWLOOM_BOOT"] = str(self._settings[name])
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.add("host started", host=name)

    def log_of(self, name: str) -> str:
        """Return what a host has logged."""
        return (self._folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    async def wait_until_ready(self, timeout_s: float) -> bool:
        """Wait until all hosts say that they are ready; return whether they do in time."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            answers = [await asyncio.to_thread(_is_ready, a) for a in self._readiness.values()]
            if all(answers):
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


def _is_ready(address: str) -> bool:
    try:
        with urllib.request.urlopen(f"http://{address}/readyz", timeout=1) as response:
            return bool(response.status == 200)
    except (OSError, urllib.error.URLError):
        return False


async def _run_and_settle(case: Awaitable[int], hosts: EntryHosts) -> int:
    """Run a case, end the hosts, and let the stand-ins notice that their connections ended."""
    try:
        return await asyncio.wait_for(case, 110)
    finally:
        hosts.stop()
        await asyncio.sleep(0.2)


Case = Callable[[Record, EntryHosts, bool], Awaitable[int]]
"""Plays a case; gets whether there is trouble, and returns the exit code."""


def run_case(folder: Path, case: Case) -> int:
    """Run a case with its own temporary folder, and end all its processes."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        hosts = EntryHosts(Path(temporary), record)
        try:
            code = asyncio.run(_run_and_settle(case(record, hosts, has_trouble), hosts))
        except Exception as error:
            record.add("case could not run", reason=repr(error))
            print(f"could not run: {error!r}", file=sys.stderr)
        finally:
            hosts.stop()
            record.add("end", code=code)
            record.close()
    return code
