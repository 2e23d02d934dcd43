"""``yewloomd``: runs one entry host."""

import random
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
from starlette.types import ASGIApp

from yewloom import log
from yewloom.boot_clock import BootClock
from yewloom.callers import CallerInterface
from yewloom.claim_writer import ClaimWriter
from yewloom.coordinators import Coordinator
from yewloom.counted_requests import RequestTrackingMiddleware
from yewloom.dispatch import Dispatcher
from yewloom.endpoints import HttpEndpoints
from yewloom.http_calls import HttpClient
from yewloom.idempotency import IdempotentRunner
from yewloom.ids import AttemptId, CustomerId
from yewloom.node import build_node, unix_now_ms
from yewloom.observers import EndpointProber
from yewloom.peers import PeerExchange, serve_peers
from yewloom.places import SlotPool
from yewloom.platforms import HttpPlatform
from yewloom.process_signals import ProcessSignals
from yewloom.retries import RetryBudget
from yewloom.schema.settings_pb2 import Settings
from yewloom.schema.table_pb2 import CustomerRow
from yewloom.service_dispatch import ServiceDispatcher
from yewloom.settings import read_settings
from yewloom.states import Phase
from yewloom.tables import TABLE_PREFIX
from yewloom.watchers import PLACEMENT_PREFIX, SHARES_PREFIX, PlatformWatcher
from yewloom.work import CountedTasks

logger = structlog.get_logger(__name__)

SLOTS_PER_ENGINE_CAPACITY = 1.5
"""Admission slots per request that the engines can run at once, so that their batches stay full."""

DEREGISTRATION_DELAY_S = 0.5
"""Time in s for the load balancer to notice that this entry host is no longer ready."""

FINAL_RESPONSES_S = 0.5
"""Maximum time in s, after the drain timeout of a stop, for each of: responding to queued requests,
responding to requests that are cut off, and closing connections."""


def new_attempt() -> AttemptId:
    """Return a unique id for one write to the platform."""
    return AttemptId(uuid.uuid4().hex)


class Daemon:
    """Wires the parts of an entry host and runs them until a planned stop."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._node = build_node(settings, random.Random(), unix_now_ms())
        self._slots = SlotPool(self._node.admission)

    async def run(self, signals: ProcessSignals) -> None:
        """Run until a signal requests a planned stop and work in progress has ended."""
        settings = self._settings
        self._node.loop_delay.start()
        # Separate pools, so that platform calls and probes never wait for callers' streams.
        control = HttpClient(settings.requests.connect_timeout_ms / 1000)
        serving = HttpClient(settings.requests.connect_timeout_ms / 1000)
        platform = HttpPlatform(
            control,
            settings.platform.url,
            settings.platform.timeout_ms / 1000,
            settings.platform.watch_timeout_ms / 1000,
            _read_token(settings.platform.token_file),
        )
        probe_timeout_s = settings.groups.probe_timeout_ms / 1000
        observer = EndpointProber(self._node, HttpEndpoints(control, probe_timeout_s))
        coordinator = Coordinator(
            self._node, platform, HttpEndpoints(control, probe_timeout_s), observer, new_attempt
        )
        async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
            await nursery.start(serve_peers, self._node)
            application = self._caller_interface(
                nursery, platform, HttpEndpoints(serving, probe_timeout_s)
            )
            nursery.start_soon(PeerExchange(self._node).run)
            nursery.start_soon(PlatformWatcher(self._node, platform, TABLE_PREFIX).run)
            nursery.start_soon(PlatformWatcher(self._node, platform, PLACEMENT_PREFIX).run)
            shares_key = f"{SHARES_PREFIX}{self._node.data_centre}"
            nursery.start_soon(PlatformWatcher(self._node, platform, shares_key).run)
            nursery.start_soon(observer.run, lambda: self._update_after_probes(platform))
            nursery.start_soon(coordinator.run)
            stopped = trio.Event()
            async with trio.open_nursery() as callers:
                callers.start_soon(self._serve_callers, application, stopped)
                await self._stop(coordinator, await signals.wait_for_stop(_ignore_reload))
                stopped.set()
            nursery.cancel_scope.cancel()

    def _caller_interface(
        self, nursery: trio.Nursery, platform: HttpPlatform, endpoints: HttpEndpoints
    ) -> ASGIApp:
        requests = self._settings.requests
        tasks = CountedTasks(nursery, self._node.work)
        claims = ClaimWriter(
            platform,
            tasks,
            requests.claim_shards,
            requests.claim_retention_ms,
            self._settings.platform.timeout_ms / 1000,
            unix_now_ms,
        )
        budget = RetryBudget(requests.retry_ratio, requests.retry_burst)
        models = Dispatcher(self._node, self._slots, endpoints, tasks, self._share_of, budget)
        services = ServiceDispatcher(self._node, self._slots, endpoints, self._share_of, budget)
        runner = IdempotentRunner(claims, self._node.id, new_attempt)
        interface = CallerInterface(self._node, models, services, runner, new_attempt)
        return RequestTrackingMiddleware(interface.application(), self._node.work)

    def _share_of(self, customer: CustomerId, row: CustomerRow) -> int:
        """Return this entry host's share of a customer's limit."""
        return self._node.shares.capacity(customer, trio.current_time())

    def _update_after_probes(self, platform: HttpPlatform) -> None:
        """Adapt the admission capacity to the open groups, and update the gauges."""
        now_s = trio.current_time()
        node, metrics = self._node, self._node.metrics
        node.membership.set_platform_unreachable(platform.is_down)
        open_groups = node.fleet.open_groups(now_s)
        local_capacities = [
            observation.capacity
            for data_centre, _, observation in open_groups
            if data_centre == node.data_centre
        ]
        remote_capacities = [
            observation.capacity
            for data_centre, _, observation in open_groups
            if data_centre != node.data_centre
        ]
        local_hosts = max(len(node.membership.alive_in(node.data_centre, now_s)), 1)
        all_hosts = max(len(node.membership.alive(now_s)), 1)
        capacity = sum(local_capacities) / local_hosts + sum(remote_capacities) / all_hosts
        target_slots = max(
            round(capacity * SLOTS_PER_ENGINE_CAPACITY), self._settings.requests.min_places
        )
        self._slots.set_slots(min(target_slots, self._settings.requests.max_in_flight))
        metrics.accepting_groups.set(len(open_groups))
        metrics.in_flight.set(self._slots.admission.in_flight)
        metrics.queued.set(self._slots.admission.queued)
        for kind, count in platform.calls.items():
            metrics.platform_calls.labels(kind).set(count)

    async def _serve_callers(self, application: ASGIApp, stopped: trio.Event) -> None:
        host = self._settings.host
        config = Config()
        config.bind = [f"{host.listen_ip}:{host.caller_port}"]
        config.errorlog = None
        config.graceful_timeout = FINAL_RESPONSES_S
        config.keep_alive_timeout = 60.0
        if self._settings.tls.certificate_file:
            config.certfile = self._settings.tls.certificate_file
            config.keyfile = self._settings.tls.key_file
        logger.info("serving", entry_host=host.id, caller_address=config.bind[0])
        await hypercorn.trio.serve(application, config, shutdown_trigger=stopped.wait)

    async def _stop(self, coordinator: Coordinator, requested_s: float) -> None:
        """Accept no new work, and wait until work in progress has ended or its time is over."""
        work = self._node.work
        logger.info("stopping", in_progress=work.in_progress)
        drain_timeout_s = self._settings.host.drain_timeout_ms / 1000
        stops_accepting_s = requested_s + DEREGISTRATION_DELAY_S
        deadline_s = stops_accepting_s + drain_timeout_s
        self._node.begin_stop()
        coordinator.release()
        self._slots.set_stop_time(deadline_s)
        await trio.sleep_until(stops_accepting_s)
        work.phase = Phase.CLOSED
        with trio.move_on_at(deadline_s):
            await work.wait_until_none()
        await self._cut_off()

    async def _cut_off(self) -> None:
        """Send the known outcome to requests that have not ended."""
        work = self._node.work
        self._slots.set_stop_time(trio.current_time())
        with trio.move_on_after(FINAL_RESPONSES_S):
            await work.wait_until_none()
        logger.info("stopped", cut_off=work.in_progress)
        work.cancel_requests()
        with trio.move_on_after(FINAL_RESPONSES_S):
            await work.wait_until_none()


def _ignore_reload() -> None:
    logger.info("reload ignored", reason="settings are read at start only")


def _read_token(path: str) -> str:
    return Path(path).read_text(encoding="utf-8").strip() if path else ""


app = typer.Typer(add_completion=False, help="Run one entry host of yewloom.")


@app.command()
def run(
    config: Annotated[Path, typer.Option(help="Settings file, see docs/settings.md.")],
) -> None:
    """Run an entry host until SIGTERM; requests in progress end first."""
    signals = ProcessSignals()
    signals.listen()
    match read_settings(config):
        case Ok(settings):
            log.configure_logs(settings.host.log_level)
            trio.run(Daemon(settings).run, signals, clock=BootClock())
        case Err(error):
            typer.echo(f"yewloomd: {error}", err=True)
            raise typer.Exit(2)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
