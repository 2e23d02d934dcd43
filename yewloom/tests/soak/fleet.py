"""The fleet under soak: store, endpoints and links in this process, entry hosts beside it."""

import os
import random
import signal
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import hypercorn.trio
import trio
from hypercorn.config import Config
from starlette.applications import Starlette

from yewloom.addresses import split_address
from yewloom.entry_addresses import ADDRESS_KIND
from yewloom.platform.standin_engine import StandinEngine
from yewloom.platform.standin_store import StandinStore
from yewloom.tests.engine_rules import STALL_S
from yewloom.tests.free_ports import free_address, free_port
from yewloom.tests.soak.endpoints import EngineWatch, PlainEndpoint, events_wanted
from yewloom.tests.soak.ledger import Ledger
from yewloom.tests.soak.proxy import FirstBytes, Link, PeerLink

ENGINES, PLAIN, OTHER, MODEL = "engines", "plain", "other", "plates"
HOST = "soak.example"

EVENT_S = 0.1
"""Time between two events of a stream: about an iteration, and far from a stall."""

PROCESS_CHECK_S = 0.05
"""Pause between two looks whether a process has ended."""

SIGNAL_CHECK_S = 0.001
"""Pause between two looks whether a process takes a signal."""

SIGNAL_SETS = ("SigIgn:", "SigCgt:")
"""Lines of a process's status that hold the signals which it passes over and catches."""

ADDRESS_CHECK_S = 0.05
"""Pause between two looks whether an entry host has written its own address."""

SERVER_CHECK_S = 0.02
"""Pause before a server that does not listen yet is connected to again."""

ENTRY_SETTINGS = """
[host]
id = {name}
data_centre = {data_centre}
caller_address = 127.0.0.1:{caller_port}
readiness_address = 127.0.0.1:{readiness_port}
peer_address = 127.0.0.1:{peer_port}
metrics_port = 0
log_level = debug
is_first_start = true
[store]
address = {store}
[bounds]
retry_extra = 100
"""


def key_of(version: int) -> str:
    """Return the API key that a version of the configuration brings."""
    return f"key-{version}"


def configuration(version: int, extra_routes: Sequence[dict[str, Any]] = ()) -> dict[str, Any]:
    """Return a version; it keeps the key of the one before, and drops older ones."""
    kinds = {"stream": ENGINES, "idempotent": PLAIN, "non_idempotent": PLAIN}
    routes = [
        {
            "name": kind,
            "host": HOST,
            "pathPrefix": f"/{kind}/",
            "type": kind,
            "timeoutMs": 6000,
            "sloMs": 500,
            "service": service,
            "attempts": 2,
            "resumable": kind == "stream",
        }
        for kind, service in kinds.items()
    ]
    model = {"name": MODEL, "size": 2, "share": 1, "loadS": 1, "warmupS": 0.1}
    engine = {"slots": 13, "models": [model], "loadsPerS": 4.0}
    keys = [key_of(version), key_of(version - 1)]
    return {
        "version": version,
        "routes": [*routes, *extra_routes],
        "services": [{"name": ENGINES, "engine": engine}, {"name": PLAIN}, {"name": OTHER}],
        "tenants": [{"name": "customer", "apiKeys": keys}],
    }


@dataclass
class EntryProcess:
    """One entry host and its link to the store; ``lives`` counts its starts."""

    name: str
    caller_address: str
    readiness_address: str
    settings: Path
    store_link: Link
    peer_link: PeerLink
    log: Path
    lives: int = 0
    process: subprocess.Popen[bytes] | None = None

    @property
    def life(self) -> str:
        """Name of the process that runs now."""
        return f"{self.name}/{self.lives}"

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return how the process ended, minus the signal that ended it; None while it runs."""
        return self.process.poll() if self.process is not None else None

    def start(self) -> None:
        """Start the process anew."""
        self.lives += 1
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "yewloom.platform"],
                stdout=output,
                stderr=output,
                env={**os.environ, "YEWLOOM_BOOT": str(self.settings)},
            )

    @property
    def pid(self) -> int | None:
        """Return the number of the process, if it runs."""
        return self.process.pid if self.process is not None and self.is_running else None

    async def wait_ended(self) -> None:
        """Wait until the process has ended."""
        while self.is_running:  # noqa: ASYNC110 - a process
            await trio.sleep(PROCESS_CHECK_S)

    async def wait_until_taken(self, number: signal.Signals) -> None:
        """Wait until a signal no longer has its default action in the process, or it has ended."""
        while self.is_running and not self._takes(number):  # noqa: ASYNC110 - a process
            await trio.sleep(SIGNAL_CHECK_S)

    def _takes(self, number: signal.Signals) -> bool:
        """Tell whether the process catches or passes over a signal."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        sets = [line.split()[1] for line in status.splitlines() if line.startswith(SIGNAL_SETS)]
        return any(int(signals, 16) & (1 << (number - 1)) for signals in sets)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone, if it runs."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)


@dataclass
class SoakEngine:
    """An engine with its link, and the ways by which each entry host reaches that."""

    engine: StandinEngine
    link: Link
    ways: list[Link]


async def _break_after_stall(head: StandinEngine, group: dict[str, Any] | None) -> None:
    """Let a group break unless its leader belongs to another one by then."""
    await trio.sleep(STALL_S)
    if group is not None and head.group is not None and head.group["name"] == group["name"]:
        head.break_group()


@dataclass
class Fleet:
    """Everything under soak."""

    folder: Path
    ledger: Ledger
    rng: random.Random
    nursery: trio.Nursery
    store: StandinStore = field(default_factory=StandinStore)
    entries: list[EntryProcess] = field(default_factory=list)
    engines: list[SoakEngine] = field(default_factory=list)
    plain_links: list[Link] = field(default_factory=list)
    version: int = 1
    data_centres: tuple[str, ...] = ("hall-a",)
    _known_engines: list[StandinEngine] = field(default_factory=list)
    _ways: dict[str, list[Link]] = field(default_factory=dict)
    _entry_count: int = 0

    async def start(self, entries: int, engines: int, plain: int, other: int = 0) -> None:
        """Start everything; entry hosts need some seconds until they serve.

        ``plain`` and ``other`` are the endpoints of the two plain services.
        """
        self.store.put("config", "main", configuration(self.version))
        self._entry_count = entries
        for _ in range(engines):
            await self.add_engine()
        for number in range(plain):
            await self._add_plain(f"{PLAIN}-{number}", PLAIN)
        for number in range(other):
            await self._add_plain(f"{OTHER}-{number}", OTHER)
        for number in range(entries):
            store = self.store.application(partial(self._view, number))
            link = await self._open_link(await self._serve(store))
            data_centre = self.data_centres[number % len(self.data_centres)]
            self.entries.append(self._entry(f"entry-{number}", data_centre, link))
        for entry in self.entries:
            entry.start()

    def _view(self, entry: int, kind: str, spec: Any) -> Any:
        """Return an entry as one entry host reads it: with its own way to an engine.

        A coordinator records the addresses that it reads. One that follows it asks by those only a
        leader that is unlisted, by the way of the one before it.
        """
        ways = self._ways.get(str(spec.get("address"))) if isinstance(spec, dict) else None
        return {**spec, "address": ways[entry].address} if ways else spec

    async def interpose_peers(self) -> None:
        """Let all peers reach each entry host by its link, until cancelled.

        Each host writes its own address once; the link's address is put in its place.
        """
        for entry in self.entries:
            await entry.peer_link.open(self.nursery)
        while True:
            for entry in self.entries:
                record = self.store.spec(ADDRESS_KIND, entry.name)
                if record is not None and record["address"] == entry.peer_link.target:
                    record = {**record, "address": entry.peer_link.address}
                    self.store.put(ADDRESS_KIND, entry.name, record)
            await trio.sleep(ADDRESS_CHECK_S)

    async def add_engine(self) -> None:
        """Start a new engine without weights."""
        name = f"engine-{len(self._known_engines)}"
        domain = f"rack-{len(self._known_engines) % 2}"
        engine = StandinEngine(name, "", ENGINES, domain, "hall-a", self.store)
        watch = EngineWatch(self.ledger, self._known_engines)
        engine.on_run, engine.on_join = watch.on_run, watch.on_join
        engine.on_whole, engine.on_left = watch.on_whole, self._on_left
        engine.events, engine.event_s = events_wanted, EVENT_S
        self._known_engines.append(engine)
        link = await self._open_link(await self._serve(engine.application()))
        engine.address = link.address
        noted = self.ledger.note_handed
        ways = [await self._open_link(link.address, noted) for _ in range(self._entry_count)]
        self._ways[link.address] = ways
        self.engines.append(SoakEngine(engine, link, ways))
        engine.publish()

    def _on_left(self, left: StandinEngine) -> None:
        """Let the group of an engine that left stand still, and break after the stall time."""
        head = next((e for e in self._known_engines if left.members[:1] == [e.name]), None)
        if head is not None and head is not left and head.members == left.members:
            head.moves = trio.Event()
            self.nursery.start_soon(_break_after_stall, head, head.group)

    def change_configuration(self) -> None:
        """Write the next version, which takes the key of the last but one away."""
        self.version += 1
        self.store.put("config", "main", configuration(self.version))
        self.ledger.removed_s[self.version - 2] = trio.current_time()

    def pids(self) -> dict[str, int]:
        """Return the numbers of the entry hosts' processes that run, by life."""
        found = {entry.life: entry.pid for entry in self.entries}
        return {life: pid for life, pid in found.items() if pid is not None}

    def stop(self) -> None:
        """End the processes that this soak started, and no others."""
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
            entry.signal(signal.SIGKILL)
        for entry in self.entries:
            if entry.process is not None:
                entry.process.wait()

    async def _add_plain(self, name: str, service: str) -> None:
        endpoint = PlainEndpoint(name, service, self.store, self.ledger, self.rng)
        target = await self._serve(endpoint.application())
        link = await self._open_link(target, self.ledger.note_handed)
        self.plain_links.append(link)
        endpoint.publish(link.address)

    async def _open_link(self, target: str, on_first: FirstBytes | None = None) -> Link:
        link = Link(target, on_first=on_first)
        await link.open(self.nursery)
        return link

    async def _serve(self, application: Starlette) -> str:
        """Serve an application on a free port; return its address once it answers."""
        address = free_address()
        config = Config()
        config.bind = [address]
        config.errorlog = None
        self.nursery.start_soon(hypercorn.trio.serve, application, config)
        while True:
            try:
                async with await trio.open_tcp_stream(*split_address(address)):
                    return address
            except OSError:
                await trio.sleep(SERVER_CHECK_S)

    def _entry(self, name: str, data_centre: str, store_link: Link) -> EntryProcess:
        caller_port, readiness_port, peer_port = free_port(), free_port(), free_port()
        text = ENTRY_SETTINGS.format(
            name=name,
            data_centre=data_centre,
            caller_port=caller_port,
            readiness_port=readiness_port,
            peer_port=peer_port,
            store=store_link.address,
        )
        settings = self.folder / f"{name}.ini"
        settings.write_text(text, encoding="utf-8")
        return EntryProcess(
            name,
            f"127.0.0.1:{caller_port}",
            f"127.0.0.1:{readiness_port}",
            settings,
            store_link,
            PeerLink(f"127.0.0.1:{peer_port}"),
            self.folder / f"{name}.log",
        )
