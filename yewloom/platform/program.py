"""Main program of an entry host on the users' platform: settings, logs, wiring and event loop."""

import gc
import random
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

import structlog
import trio
from result import Err, Ok

from yewloom.boot_clock import BootClock
from yewloom.departures import Departures
from yewloom.early_listener import EarlyListener
from yewloom.early_signals import EarlySignals
from yewloom.entry_host import EntryHost
from yewloom.follow_times import follow_times
from yewloom.forward_metrics import ForwardMetrics
from yewloom.http_calls import HttpClient
from yewloom.ids import DataCentreId
from yewloom.log_sink import LogSink, configure_logs
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.platform.engines import HttpEngineClient
from yewloom.platform.headers import HttpHeaderCodec
from yewloom.platform.records import StoreRecordDecoder
from yewloom.platform.store import StoreClient
from yewloom.platform_parts import PlatformParts
from yewloom.process_signals import ProcessSignals
from yewloom.revision import read_revision
from yewloom.schema.entry_pb2 import EntrySettings
from yewloom.settings import read_entry_settings
from yewloom.store_contact import StoreContact
from yewloom.store_revisions import StoreEra

logger = structlog.get_logger(__name__)

CONNECT_TIMEOUT_S = 0.5
"""Time-out for connecting to the store, or to an engine that an order is sent to."""

STORE_KEEP_ALIVE_S = 0.5
"""Time for which an idle connection to the store may be reused.

A watch sends its next request immediately after each response, so only other connections stay idle
for longer, and these may have failed unnoticed. A new connection costs one round trip, about 4 ms.
"""


def build_parts(
    settings: EntrySettings,
    rng: random.Random,
    metrics: ForwardMetrics,
    loop_delay: LoopDelayMonitor,
) -> PlatformParts:
    """Create the parts of an entry host that depend on the platform."""
    store, watch_s = settings.store, follow_times(settings).watch_s
    client = HttpClient(CONNECT_TIMEOUT_S, keep_alive_s=STORE_KEEP_ALIVE_S)
    era, departures = StoreEra(), Departures()
    data_centre = DataCentreId(settings.host.data_centre)
    contact = StoreContact(data_centre, settings.store.heartbeat_ms / 1000)
    open_store = partial(
        StoreClient,
        client,
        store.address,
        store.timeout_ms / 1000,
        rng,
        on_call=metrics.on_store_call,
        loop_delay_s=loop_delay.delay_s,
        era=era,
        on_answer=contact.record_answer,
    )
    return PlatformParts(
        configuration=open_store(watch_s=watch_s),
        endpoints=open_store(watch_s=watch_s),
        records_store=open_store(),
        stale_store=open_store(allows_stale=True),
        records=StoreRecordDecoder(),
        codec=HttpHeaderCodec(),
        orders=HttpEngineClient(client, departures),
        departures=departures,
        store_contact=contact,
        store_era=lambda: era.latest,
    )


def main(
    path: Path,
    early_signals: EarlySignals,
    listener: EarlyListener | None,
    exit_process: Callable[[int], None],
) -> int:
    """Run an entry host; ``listener`` is its socket for callers, if that is already open.

    ``path`` is the settings file. Return the exit code, unless a planned stop ends the process by
    calling ``exit_process`` with it.
    """
    signals = ProcessSignals(early_signals)
    signals.listen()
    metrics = ForwardMetrics()
    sink = LogSink(sys.stdout.fileno(), metrics.on_log_line_dropped)
    match read_entry_settings(path):
        case Err(error):
            configure_logs("info", sink)
            logger.error("invalid settings", reason=str(error))
            return 2
        case Ok(settings):
            pass
    configure_logs(settings.host.log_level, sink, settings.host.id)
    _report_revision(metrics)
    rng = random.Random()
    loop_delay = LoopDelayMonitor()
    parts = build_parts(settings, rng, metrics, loop_delay)
    host = EntryHost(settings, parts, metrics, rng, listener, loop_delay)
    _enable_garbage_collection()

    def flush_and_exit() -> None:
        sink.flush()
        exit_process(0)

    trio.run(
        host.run, signals, lambda: _check_changed_settings(path), flush_and_exit, clock=BootClock()
    )
    return 0


def _report_revision(metrics: ForwardMetrics) -> None:
    """Log the revision of the code that runs, and record it as a metric."""
    revision = read_revision()
    metrics.set_revision(revision)
    logger.info("starting", revision=revision)


def _enable_garbage_collection() -> None:
    """Enable garbage collection, and exclude the objects created by the imports from it.

    Collections during the imports would find no garbage and would make the start slower.
    """
    gc.freeze()
    gc.enable()


def _check_changed_settings(path: Path) -> None:
    """Validate the changed settings file; the current settings apply until a restart."""
    match read_entry_settings(path):
        case Ok(_):
            logger.info("settings file checked", outcome="in force from the next start")
        case Err(error):
            logger.error("invalid settings", reason=str(error))
