"""A small fleet of real processes on loopback, for tests and measurements."""

import hashlib
import json
import signal
import ssl
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpcore

from yewloom.tests.free_ports import allocate_port

CUSTOMER_KEY = "test-key"
MODEL = "m"
WAIT_S = 30.0
"""Maximum wait for an expected state; reaching it fails the test."""

ENTRY_SETTINGS = """
[host]
id = {name}
data_centre = {data_centre}
caller_port = {caller_port}
peer_port = {peer_port}
[platform]
url = http://127.0.0.1:{platform_port}
timeout_ms = 1000
watch_timeout_ms = 5000
poll_interval_ms = 200
[peers]
seeds = {seeds}
exchange_interval_ms = 200
dead_after_ms = 3000
[lease]
duration_ms = 3000
renew_interval_ms = 600
margin_ms = 600
[groups]
probe_interval_ms = 200
freshness_ms = 1500
give_up_ms = 2000
settle_ms = 1500
[limits]
data_centres = a b
rebalance_interval_ms = 500
loan_ms = 1500
[requests]
stall_timeout_ms = 2000
reconnect_grace_ms = 500
"""

_SCORE = {
    "prefix_weight": 1,
    "distance_weight": 1,
    "prefill_us_a_token": 200,
    "service_time_ms": 1000,
    "choices": 2,
}
_ROWS: dict[str, Any] = {
    "table/policy/p": {
        "policy": {
            "model": MODEL,
            "model_version": "1",
            "group_size": 4,
            "min_groups": 1,
            "max_groups": 10,
            "weight": 1,
            "downtime": {"spare_hosts": 1},
            "score": _SCORE,
        }
    },
    "table/customer/c": {
        "customer": {
            "key_digest": hashlib.sha256(CUSTOMER_KEY.encode()).hexdigest(),
            "weight": 1,
            "max_in_flight": 100,
            "max_queue_ms": 5000,
        }
    },
    "table/service/s": {"service": {"unsafe_paths": "/update", "timeout_ms": 8000}},
}


@dataclass
class HttpResponse:
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


TLS: list[ssl.SSLContext] = []
"""At most one TLS context, which verifies entry hosts while a test sets it."""


def call(
    method: str, url: str, body: Any = None, headers: dict[str, str] | None = None
) -> HttpResponse:
    """Make one HTTP call on its own connection."""
    content = json.dumps(body).encode() if body is not None else b""
    all_headers = [(b"connection", b"close")]
    all_headers += [(name.encode(), value.encode()) for name, value in (headers or {}).items()]
    timeouts = {"connect": 5.0, "read": WAIT_S}
    with httpcore.ConnectionPool(ssl_context=TLS[0] if TLS else None) as pool:
        response = pool.request(
            method, url, headers=all_headers, content=content, extensions={"timeout": timeouts}
        )
    names = {name.decode().lower(): value.decode() for name, value in response.headers}
    return HttpResponse(response.status, names, response.content)


def authorized(**headers: str) -> dict[str, str]:
    """Return headers with the customer's key; underscores in names become hyphens."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return {"authorization": f"Bearer {CUSTOMER_KEY}", **named}


def wait_for(condition: Callable[[], Any], what: str) -> Any:
    """Return the first truthy value of a condition; fail after ``WAIT_S``."""
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        try:
            value = condition()
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            value = None
        if value:
            return value
        time.sleep(0.1)
    raise AssertionError(f"{what}: not observed in time")


@dataclass
class _Program:
    process: subprocess.Popen[bytes]
    port: int
    log: Path


@dataclass
class Fleet:
    """Simulated services and entry hosts; e1 and e2 are in data centre ``a``, e3 in ``b``."""

    members_a: int = 5
    members_b: int = 4
    entries: dict[str, str] = field(default_factory=lambda: {"e1": "a", "e2": "a", "e3": "b"})
    capacity: int = 8
    scheme: str = "http"
    platform_options: tuple[str, ...] = ()
    settings: str = ENTRY_SETTINGS
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    programs: dict[str, _Program] = field(default_factory=dict)
    platform_ports: dict[str, int] = field(default_factory=dict)

    def start(self) -> None:
        """Start everything and wait until a group serves in each data centre."""
        data_centres = sorted({*self.entries.values(), "a", "b"})
        self.platform_ports = {data_centre: allocate_port() for data_centre in data_centres}
        self._start_engines()
        self._start_platform()
        seeds = {name: allocate_port() for name in self.entries}
        self._seeds = " ".join(f"127.0.0.1:{port}" for port in list(seeds.values())[:3])
        for name, peer_port in seeds.items():
            self.start_entry(name, self.entries[name], peer_port)
        for name in seeds:
            self._wait_until_serving(name)

    def _wait_until_serving(self, name: str) -> None:
        groups = bool(self.members_a) + bool(self.members_b)
        wait_for(lambda: len(self.open_groups(name)) >= groups, f"groups at {name}")
        wait_for(lambda: self.service(name, "GET", "x").status == 200, f"the service at {name}")

    def start_entry(self, name: str, data_centre: str, peer_port: int | None = None) -> None:
        """Start one entry host."""
        caller_port = allocate_port()
        text = self.settings.format(
            name=name,
            data_centre=data_centre,
            caller_port=caller_port,
            peer_port=peer_port or allocate_port(),
            platform_port=self.platform_ports[data_centre],
            seeds=self._seeds,
        )
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        self._run(name, caller_port, "yewloom.daemon", "--config", str(path))

    def _start_engines(self) -> None:
        hosts = []
        names = [f"a{i}" for i in range(self.members_a)]
        names += [f"b{i}" for i in range(self.members_b)]
        for name in names:
            port = allocate_port()
            address = f"127.0.0.1:{port}"
            data_centre, rack = name[0], f"rack-{name[0]}"
            hosts.append(
                f"[{name}]\naddress={address}\ndata_centre={data_centre}\nfabric_domain={rack}\n"
            )
            self._run(
                name, port, "yewloom.standins.engine", "--address", address, "--host-id", name
            )
        for data_centre in "ab":
            name, port = f"s{data_centre}", allocate_port()
            address = f"127.0.0.1:{port}"
            hosts.append(f"[{name}]\naddress={address}\ndata_centre={data_centre}\nservice=s\n")
            self._run(
                name, port, "yewloom.standins.service", "--address", address, "--host-id", name
            )
        for name, data_centre in self.entries.items():
            hosts.append(f"[{name}]\naddress=-\ndata_centre={data_centre}\nis_entry_host=true\n")
        (self.folder / "hosts.ini").write_text("".join(hosts))

    def _start_platform(self) -> None:
        (self.folder / "rows.json").write_text(json.dumps(_ROWS))
        addresses = []
        for port in self.platform_ports.values():
            addresses += ["--address", f"127.0.0.1:{port}"]
        files = ["--hosts", str(self.folder / "hosts.ini")]
        files += ["--rows", str(self.folder / "rows.json")]
        port = self.platform_ports["a"]
        self._run(
            "platform",
            port,
            "yewloom.standins.platform",
            *addresses,
            *files,
            *self.platform_options,
        )

    def _run(self, name: str, port: int, module: str, *arguments: str) -> None:
        log = self.folder / f"{name}-{len(self.programs)}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=output,
                stderr=output,
                cwd=self.folder,
            )
        self.programs[name] = _Program(process, port, log)

    def url(self, name: str) -> str:
        scheme = self.scheme if name in self.entries else "http"
        return f"{scheme}://127.0.0.1:{self.programs[name].port}"

    def signal(self, name: str, number: signal.Signals) -> None:
        self.programs[name].process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, and reap it."""
        self.signal(name, signal.SIGKILL)
        self.programs[name].process.wait()

    def control(self, name: str, **switches: Any) -> None:
        """Set switches of a simulated service."""
        response = call("POST", f"{self.url(name)}/control", switches)
        assert response.status == 200, response.body

    def status(self, entry: str) -> Any:
        return call("GET", f"{self.url(entry)}/status").json()

    def groups(self, entry: str) -> list[Any]:
        return list(self.status(entry)["groups"])

    def open_groups(self, entry: str) -> list[Any]:
        return [group for group in self.groups(entry) if group["is_open"]]

    def list_entry(self, name: str, state: str, data_centre: str = "a") -> None:
        """Change an entry host in the platform's list; ``gone`` removes it."""
        fields = {"id": name, "state": state, "data_centre": data_centre, "is_entry_host": True}
        call("POST", f"{self.url('platform')}/control/hosts", fields)

    def runs(self, *names: str) -> dict[str, int]:
        """Return how often each call ran, summed over running simulated services."""
        total: dict[str, int] = {}
        for name in names:
            for key, count in call("GET", f"{self.url(name)}/control/runs").json()["runs"].items():
                total[key] = total.get(key, 0) + count
        return total

    def service(self, entry: str, method: str, path: str, **headers: str) -> HttpResponse:
        url = f"{self.url(entry)}/services/s/{path}"
        return call(method, url, headers=authorized(**headers))

    def chat(self, entry: str, prompt: str, max_tokens: int = 8, **headers: str) -> HttpResponse:
        """Send a chat request that is not streamed."""
        body = {
            "model": MODEL,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        return call("POST", f"{self.url(entry)}/v1/chat/completions", body, authorized(**headers))

    def log_text(self, name: str) -> str:
        return self.programs[name].log.read_text(errors="replace")

    def stop(self) -> None:
        """Stop everything that is still running."""
        for program in self.programs.values():
            if program.process.poll() is None:
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
        for program in self.programs.values():
            program.process.wait()
