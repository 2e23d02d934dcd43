"""``yewloomd``: one entry host of the system."""

import random
import signal
import uuid
from pathlib import Path
from typing import Annotated

import hypercorn.trio
import structlog
import trio
import trio_asyncio
import typer
from hypercorn.config import Config
from result import Err, Ok
from starlette.applications import Starlette

from yewloom import log
from yewloom.callers import CallerInterface
from yewloom.claim_writer import ClaimWriter
from yewloom.coordinators import Coordinator
from yewloom.dispatch import Dispatcher
from yewloom.endpoints import HttpEndpoints
from yewloom.http_calls import HttpCaller
from yewloom.idempotency import IdempotentRunner
from yewloom.ids import AttemptId, CustomerId
from yewloom.node import build_node, unix_ms
from yewloom.observers import Observer
from yewloom.peers import PeerExchange, serve_peers
from yewloom.places import Places
from yewloom.platforms import HttpPlatform
from yewloom.retries import RetryBudget
from yewloom.schema.settings_pb2 import Settings
from yewloom.schema.table_pb2 import CustomerRow
from yewloom.service_dispatch import ServiceDispatcher
from yewloom.settings import read_settings
from yewloom.tables import TABLE_PREFIX
from yewloom.watchers import PLACEMENT_PREFIX, SHARES_PREFIX, Watcher

logger = structlog.get_logger(__name__)

PLACES_A_CAPACITY = 1.5
"""Places for each request that the engines can run, so that their batches stay full."""

BALANCER_GRACE_S = 0.5
"""Time for the balancer to see that this entry host is not ready any more."""


def new_attempt() -> AttemptId:
    """Return a name for one write to the platform."""
    return AttemptId(uuid.uuid4().hex)


class Daemon:
    """Wires the parts of an entry host and runs them until a planned stop."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._node = build_node(settings, random.Random(), unix_ms())
        self._places = Places(self._node.admission)

    async def run(self) -> None:
        """Run until a signal asks for a planned stop and requests in progress have ended."""
        settings = self._settings
        # Calls to the platform and probes never wait for a connection behind callers' streams.
        control = HttpCaller(settings.requests.connect_timeout_ms / 1000)
        serving = HttpCaller(settings.requests.connect_timeout_ms / 1000)
        platform = HttpPlatform(
            control,
            settings.platform.url,
            settings.platform.timeout_ms / 1000,
            settings.platform.watch_timeout_ms / 1000,
            _read_token(settings.platform.token_file),
        )
        probe_timeout_s = settings.groups.probe_timeout_ms / 1000
        observer = Observer(self._node, HttpEndpoints(control, probe_timeout_s))
        coordinator = Coordinator(
            self._node, platform, HttpEndpoints(control, probe_timeout_s), observer, new_attempt
        )
        async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
            await nursery.start(serve_peers, self._node)
            application = self._caller_interface(
                nursery, platform, HttpEndpoints(serving, probe_timeout_s)
            )
            stopped = trio.Event()
            nursery.start_soon(self._serve_callers, application, stopped)
            nursery.start_soon(PeerExchange(self._node).run)
            nursery.start_soon(Watcher(self._node, platform, TABLE_PREFIX).run)
            nursery.start_soon(Watcher(self._node, platform, PLACEMENT_PREFIX).run)
            shares_key = f"{SHARES_PREFIX}{self._node.data_centre}"
            nursery.start_soon(Watcher(self._node, platform, shares_key).run)
            nursery.start_soon(observer.run, lambda: self._after_probes(platform))
            nursery.start_soon(coordinator.run)
            await self._wait_for_stop(coordinator)
            stopped.set()
            nursery.cancel_scope.cancel()

    def _caller_interface(
        self, nursery: trio.Nursery, platform: HttpPlatform, endpoints: HttpEndpoints
    ) -> Starlette:
        requests = self._settings.requests
        claims = ClaimWriter(
            platform,
            nursery,
            requests.claim_shards,
            requests.claim_retention_ms,
            self._settings.platform.timeout_ms / 1000,
            unix_ms,
        )
        budget = RetryBudget(requests.retry_ratio, requests.retry_burst)
        models = Dispatcher(self._node, self._places, endpoints, nursery, self._share_of, budget)
        services = ServiceDispatcher(self._node, self._places, endpoints, self._share_of, budget)
        runner = IdempotentRunner(claims, self._node.id, new_attempt)
        return CallerInterface(self._node, models, services, runner, new_attempt).application()

    def _share_of(self, customer: CustomerId, row: CustomerRow) -> int:
        """Return this entry host's part of a customer's limit."""
        return self._node.shares.usable(customer, trio.current_time())

    def _after_probes(self, platform: HttpPlatform) -> None:
        """Adapt to the groups that are open now, and bring the gauges up to date."""
        now_s = trio.current_time()
        node, metrics = self._node, self._node.metrics
        node.membership.set_cut_off(platform.is_down)
        open_groups = node.fleet.open_groups(now_s)
        local = [seen.capacity for place, _, seen in open_groups if place == node.data_centre]
        remote = [seen.capacity for place, _, seen in open_groups if place != node.data_centre]
        sharers = max(len(node.membership.alive_in(node.data_centre, now_s)), 1)
        everyone = max(len(node.membership.alive(now_s)), 1)
        capacity = sum(local) / sharers + sum(remote) / everyone
        wanted = max(round(capacity * PLACES_A_CAPACITY), self._settings.requests.min_places)
        self._places.refill(min(wanted, self._settings.requests.max_in_flight))
        metrics.open_groups.set(len(open_groups))
        metrics.in_flight.set(self._places.admission.in_flight)
        metrics.queued.set(self._places.admission.queued)
        for kind, count in platform.calls.items():
            metrics.platform_calls.labels(kind).set(count)

    async def _serve_callers(self, application: Starlette, stopped: trio.Event) -> None:
        host = self._settings.host
        config = Config()
        config.bind = [f"{host.listen_ip}:{host.caller_port}"]
        config.errorlog = None
        config.graceful_timeout = 1.0
        config.keep_alive_timeout = 60.0
        if self._settings.tls.certificate_file:
            config.certfile = self._settings.tls.certificate_file
            config.keyfile = self._settings.tls.key_file
        logger.info("serving", entry_host=host.id, caller_address=config.bind[0])
        await hypercorn.trio.serve(application, config, shutdown_trigger=stopped.wait)

    async def _wait_for_stop(self, coordinator: Coordinator) -> None:
        """Wait for a signal, then until no request is in progress."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        logger.info("stopping", in_flight=self._places.admission.in_flight)
        self._node.is_leaving = True
        self._node.membership.start_leaving()
        coordinator.release()
        await trio.sleep(BALANCER_GRACE_S)
        self._node.is_closed = True
        with trio.move_on_after(self._settings.host.drain_timeout_ms / 1000):
            await self._places.wait_until_idle()
        logger.info("stopped", cut_off=self._places.admission.in_flight)


def _read_token(path: str) -> str:
    return Path(path).read_text(encoding="utf-8").strip() if path else ""


app = typer.Typer(add_completion=False, help="Run one entry host of yewloom.")


@app.command()
def run(
    config: Annotated[Path, typer.Option(help="Settings file, see docs/settings.md.")],
) -> None:
    """Run an entry host until SIGTERM; requests in progress end first."""
    match read_settings(config):
        case Ok(settings):
            log.set_up(settings.host.log_level)
            trio.run(Daemon(settings).run)
        case Err(error):
            typer.echo(f"yewloomd: {error}", err=True)
            raise typer.Exit(2)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
