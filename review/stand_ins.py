"""Stand-ins for the users' platform around entry hosts: store, plain services, callers.

They use only the standard library. They run in the process of a case; the entry hosts are separate
processes, started by the command of the deploy file with settings from its template.
"""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
"""Root of the repository."""

BOUNDS = {
    "graceS": 8,
    "revokeMs": 5000,
    "configApplyMs": 2000,
    "strictRevoke": True,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retryExtra": 136,
    "stallMs": 5000,
}
"""Bounds of a small deployment, as the sheet of lumbre-canal gives them."""

HEARTBEAT_S = 1.2
"""Interval at which a service writes its entry, as in the example of the settings."""

Headers = list[tuple[str, str]]


class Record:
    """What was sent, run and answered, one JSON line each, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def add(self, event: str, **fields: Any) -> float:
        """Add a line and return its time."""
        now_s = self.now_s()
        line = {"t": round(now_s, 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()
        return now_s


@dataclass
class Message:
    """An HTTP/1.1 request or response; ``first`` holds the words of its first line."""

    first: list[str]
    headers: Headers
    body: bytes = b""
    is_complete: bool = True

    def get(self, name: str) -> str | None:
        """Return the value of a header, or None."""
        return next((value for key, value in self.headers if key.lower() == name), None)


class BrokenOffError(Exception):
    """The other side closed the connection in the middle of a message."""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; return None if the connection ends before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenOffError from error
        return None
    except ConnectionError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    message = Message(lines[0].split(" ", 2), [(name, value.strip()) for name, _, value in pairs])
    try:
        message.body = await _read_body(reader, message)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise BrokenOffError from error
    return message


async def _read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    if (message.get("transfer-encoding") or "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\n")
        return body
    return await reader.readexactly(int(message.get("content-length") or 0))


def encode_response(status: int, body: bytes = b"", headers: Headers | None = None) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers or []]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def encode_json(status: int, value: Any) -> bytes:
    """Return the bytes of a response with a JSON body."""
    return encode_response(
        status, json.dumps(value).encode(), [("Content-Type", "application/json")]
    )


class HttpServer:
    """Accepts connections and answers each request by ``answer``."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to accept connections."""
        host, port = split(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if not await self.answer(request, writer):
                    break
                await writer.drain()
        except (BrokenOffError, ConnectionError):
            pass  # The other side left; there is nobody to answer.
        except asyncio.CancelledError:
            pass  # The case is over; asyncio would report the cancellation as an error.
        finally:
            writer.close()


View = Callable[[str, Any], Any]
"""Maps a kind and a spec to the spec that one reader gets."""


class Store(HttpServer):
    """The platform's metadata store: objects, revisions and watches, linearizable."""

    def __init__(self, address: str, record: Record) -> None:
        super().__init__(address)
        self._record = record
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 0
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as its owner would; a write that changes nothing has no effect."""
        objects = self._objects.setdefault(kind, {})
        if name in objects and objects[name]["spec"] == spec:
            return
        self._revision += 1
        metadata = {"name": name, "revision": self._revision, "created": self._revision}
        metadata |= {"finalizers": [], "deleting": False}
        objects[name] = {"metadata": metadata, "spec": spec, "status": None}
        self._note(kind, objects[name], False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it exists."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            self._note(kind, stored, True)

    def configure(self, configuration: dict[str, Any]) -> float:
        """Write a configuration as the operator; return the time of the acknowledgement."""
        self.put("config", "main", configuration)
        return self._record.add(
            "configuration acknowledged",
            version=configuration["version"],
            tenants=configuration.get("tenants"),
        )

    def _note(self, kind: str, stored: dict[str, Any], is_removed: bool) -> None:
        self._history.append((self._revision, kind, stored, is_removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a call as PROTOCOL.md says."""
        writer.write(await self.respond(request, lambda kind, spec: spec))
        return True

    async def respond(self, request: Message, view: View) -> bytes:
        """Return the response to a call, with the specs that ``view`` gives."""
        method, target = request.first[0], request.first[1]
        path, _, query_text = target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in query_text.split("&") if pair)
        kind, _, name = path.removeprefix("/objects/").partition("/")
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query, view)
        if method == "GET":
            return self._read(kind, name, view)
        return self._write(method, kind, name.removesuffix("/status"), request.body)

    def _read(self, kind: str, name: str, view: View) -> bytes:
        objects = {
            key: {**stored, "spec": view(kind, stored["spec"])}
            for key, stored in self._objects.get(kind, {}).items()
        }
        if name:
            return encode_json(200, objects[name]) if name in objects else encode_response(404)
        items = [objects[key] for key in sorted(objects)]
        listing = {"items": items, "morePages": False, "storeRevision": self._revision}
        return encode_json(200, listing)

    async def _watch(self, kind: str, query: dict[str, str], view: View) -> bytes:
        after, deadline_s = int(query["watch"]), time.monotonic() + int(query["waitMs"]) / 1000
        while not (events := self._events(kind, after, view)):
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        return encode_json(200, {"events": events, "storeRevision": self._revision})

    def _events(self, kind: str, after: int, view: View) -> list[dict[str, Any]]:
        return [
            {"object": {**stored, "spec": view(kind, stored["spec"])}, "tombstone": is_removed}
            for revision, changed, stored, is_removed in self._history
            if revision > after and changed == kind
        ]

    def _write(self, method: str, kind: str, name: str, body: bytes) -> bytes:
        fields = json.loads(body)
        name = name or fields["metadata"]["name"]
        current = self._objects.get(kind, {}).get(name)
        if method == "POST" and current is not None:
            return encode_json(409, current)
        if method == "PUT" and current is None:
            return encode_response(404)
        expected = fields.get("metadata", {}).get("revision")
        if current is not None and expected not in (None, current["metadata"]["revision"]):
            return encode_json(409, current)
        self.put(kind, name, fields["spec"])
        return encode_json(200, self._objects[kind][name])


class StoreDoor(HttpServer):
    """The store as one entry host reaches it: with the worker addresses of that host's paths."""

    def __init__(self, address: str, store: Store, paths: dict[str, str]) -> None:
        super().__init__(address)
        self._store = store
        self._paths = paths

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Pass a call on to the store."""
        writer.write(await self._store.respond(request, self._view))
        return True

    def _view(self, kind: str, spec: Any) -> Any:
        if kind != "servers":
            return spec
        return {**spec, "address": self._paths.get(spec["address"], spec["address"])}


class NetworkPath(HttpServer):
    """One host's network path to a worker, which can be cut."""

    def __init__(self, address: str, target: str) -> None:
        super().__init__(address)
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()

    async def cut(self) -> None:
        """Break the open connections, and refuse new ones."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ends = {writer}
        try:
            onward_reader, onward = await asyncio.open_connection(*split(self._target))
            ends.add(onward)
            self._writers |= ends
            await _first_of(_pump(reader, onward), _pump(onward_reader, writer))
        except OSError:
            pass  # The worker is gone: the host sees a closed connection.
        except asyncio.CancelledError:
            pass  # The case is over; asyncio would report the cancellation as an error.
        finally:
            self._writers -= ends
            for end in ends:
                end.transport.abort()


async def _first_of(*steps: Coroutine[Any, Any, None]) -> None:
    """Run steps until the first one has ended, then cancel the others."""
    tasks = [asyncio.create_task(step) for step in steps]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy bytes until one side ends; an orderly end is passed on."""
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.write_eof()
        await asyncio.sleep(0.05)  # The last bytes leave before the connection is dropped.
    except (ConnectionError, RuntimeError):
        return


class Service(HttpServer):
    """A worker of a plain service: it runs each request that expects it, and answers 200."""

    def __init__(
        self, worker_id: str, service: str, address: str, store: Store, record: Record
    ) -> None:
        super().__init__(address)
        self.worker_id = worker_id
        self._service = service
        self._store = store
        self._record = record
        self.runs: list[Message] = []
        self.work_s = 0.03

    async def start(self) -> None:
        """Begin to accept connections, and write the entry into the store."""
        await super().start()
        entry = {"service": self._service, "address": self.address, "zone": "hall-a"}
        entry |= {"version": "1", "slots": 6, "state": "ready", "coldRemainingMs": 0}
        self._store.put("servers", self.worker_id, entry)

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request as PROTOCOL.md says."""
        request_id = request.get("yewloom-request-id")
        if request.get("yewloom-expect-instance") not in (None, self.worker_id):
            writer.write(encode_response(421, b"", [("Yewloom-Instance-Id", self.worker_id)]))
            return True
        if not request_id:
            writer.write(encode_response(400, b"", [("Yewloom-Not-Executed", "1")]))
            return True
        self.runs.append(request)
        tenant = request.get("yewloom-tenant")
        self._record.add("run", worker=self.worker_id, request=request_id, tenant=tenant)
        await asyncio.sleep(self.work_s)
        stamp = f"{self.worker_id}.{request_id}"
        headers = [("Yewloom-Request-Id", request_id), ("Yewloom-Server-Stamp", stamp)]
        writer.write(encode_response(200, f"done {request_id}".encode(), headers))
        return True


@dataclass
class Answer:
    """The answer to one request; status 0 means that the connection ended without one."""

    request_id: str
    sent_s: float
    status: int
    body: bytes = b""
    stamp: str | None = None
    ended_s: float = float("inf")


@dataclass
class Caller:
    """A client that keeps one connection to an entry host and reopens it once it is closed."""

    name: str
    address: str
    record: Record
    host: str = "ficu95.example"
    deadline_ms: int = 4000
    sent: int = 0
    _streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = field(default=None)

    async def send(
        self,
        path: str,
        key: str | None,
        method: str = "POST",
        body: bytes = b"{}",
        headers: Headers | None = None,
    ) -> Answer:
        """Send one request and wait for its answer until its deadline."""
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.host}"]
        lines += [f"Yewloom-Request-Id: {request_id}"]
        lines += [f"Yewloom-Deadline-Ms: {self.deadline_ms}"]
        lines += [f"Authorization: Token {key}"] if key is not None else []
        lines += [f"{name}: {value}" for name, value in headers or []]
        lines += [f"Content-Length: {len(body)}", "", ""]
        sent_s = self.record.add("sent", request=request_id, key=key, to=self.address)
        answer = Answer(request_id, sent_s, 0)
        try:
            async with asyncio.timeout(self.deadline_ms / 1000):
                reader, writer = await self._open()
                writer.write("\r\n".join(lines).encode() + body)
                response = await read_message(reader)
            if response is not None:
                answer.status = int(response.first[1])
                answer.body = response.body
                answer.stamp = response.get("yewloom-server-stamp")
                if (response.get("connection") or "").lower() == "close":
                    self.close()
            else:
                self.close()
        except (TimeoutError, BrokenOffError, ConnectionError):
            self.close()
        answer.ended_s = self.record.add(
            "answered", request=request_id, status=answer.status, stamp=answer.stamp
        )
        return answer

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*split(self.address))
        return self._streams

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class EntryHost:
    """One entry host: a process of the deploy file's role, on a loopback address of its own."""

    def __init__(
        self, number: int, store_address: str, folder: Path, record: Record, zone: str = "hall-a"
    ) -> None:
        self.name = f"edge-{zone}-{number}"
        self.ip = free_ip()
        ports = [free_port(self.ip) for _ in range(3)]
        self.frontend, self.readiness = f"{self.ip}:{ports[0]}", f"{self.ip}:{ports[1]}"
        self._settings = {
            "nodeName": self.name,
            "zone": zone,
            "ip": self.ip,
            "portRange": [ports[2], ports[2]],
            "bootstrap": True,
            "listen": {"frontend": self.frontend, "readiness": self.readiness},
            "platform": {"address": store_address},
            "bounds": BOUNDS,
        }
        self._folder = folder
        self._record = record
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process by the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        settings = self._folder / f"{self.name}.ini"
        settings.write_text(fill_template((ROOT / role["template"]).read_text(), self._settings))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {"YEWLOOM_BOOT": str(settings), "PYTHONPATH": str(ROOT / "target/deps")}
        log = (self._folder / f"{self.name}.log").open("ab")
        self._process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self._record.add("host started", host=self.name, address=self.frontend)

    async def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Ask the readiness address, as the platform does, until it answers 200."""
        async with asyncio.timeout(timeout_s):
            while not await self._is_ready():  # noqa: ASYNC110 - another process becomes ready
                await asyncio.sleep(0.1)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*split(self.readiness))
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: platform\r\n\r\n")
            response = await read_message(reader)
        except (BrokenOffError, ConnectionError):
            return False
        finally:
            writer.close()
        return response is not None and response.first[1] == "200"

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._record.add("signal", host=self.name, signal=number.name)
        self._process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs, and wait until it has ended."""
        if self._process is None:
            return
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        self._process = None


def fill_template(text: str, values: dict[str, Any]) -> str:
    """Fill a settings template: ``{{a.b}}``, ``{{#a}}..{{/a}}`` and ``{{^a}}..{{/a}}``."""

    def value_of(path: str) -> Any:
        value: Any = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    given, absent = r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}"
    text = re.sub(given, lambda m: m[2] if value_of(m[1]) else "", text)
    text = re.sub(absent, lambda m: "" if value_of(m[1]) else m[2], text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value_of(m[1])), text)


def split(address: str) -> tuple[str, int]:
    """Split ip:port."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def free_ip() -> str:
    """Return a loopback address of which the fixed port of the metrics is free."""
    while True:
        number = int.from_bytes(os.urandom(3), "big")
        ip = f"127.{number >> 16 | 1}.{number >> 8 & 255}.{number & 255 or 1}"
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
            except OSError:
                continue
        return ip


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a free port of a loopback address, for TCP and UDP."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


def _on_terminate(number: int, frame: Any) -> None:
    """Unwind the case, which ends the processes that it started."""
    raise SystemExit(2)


def run_case(
    play: Callable[[Record, Path, bool], Any], verdict: Callable[[Any, Record, bool], bool]
) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if it could not run.

    ``play`` returns what ``verdict`` judges; ``verdict`` returns whether the rule held.
    """
    signal.signal(signal.SIGTERM, _on_terminate)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            seen = asyncio.run(play(record, Path(folder), has_trouble))
        held = verdict(seen, record, has_trouble)
    except Exception as error:
        record.add("could not run", reason=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.add("verdict", held=held)
    sys.exit(0 if held else 1)
