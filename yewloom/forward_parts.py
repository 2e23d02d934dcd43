"""Build the forwarder of an entry host from its components."""

from collections.abc import Callable

from yewloom.answer_evidence import AnswerEvidence
from yewloom.caller_headers import HeaderCodec
from yewloom.concurrent_attempts import ConcurrentAttempts
from yewloom.configuration import ConfigurationState
from yewloom.crash_parts import CrashDetection
from yewloom.directory import EndpointDirectory
from yewloom.endpoint_attempts import EndpointAttemptRunner
from yewloom.endpoint_availability import EndpointAvailability
from yewloom.endpoint_choice import EndpointChooser
from yewloom.endpoint_exchanges import EndpointExchanges
from yewloom.event_paces import EventIntervals
from yewloom.forward_metrics import ForwardMetrics
from yewloom.forwarding import Forwarder
from yewloom.key_trust import KeyTrust
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.planned_stop import PlannedStop
from yewloom.reachability import Reachability
from yewloom.relays import Relays
from yewloom.retry_window import RetryBudget
from yewloom.schema.entry_pb2 import ServingBounds
from yewloom.selection import Selector
from yewloom.stall_timeouts import StallTimeouts
from yewloom.stalls import StallDetector
from yewloom.values import value_class


@value_class
class ForwarderComponents:
    """The components that forwarding needs.

    ``retry_extra`` returns this host's share of the retries that are allowed on top of the ratio.
    ``uptime_s`` returns the time at least since an earlier process of this host ended.
    ``endpoints_age_ms`` returns the age of the listed endpoints at a time.
    """

    bounds: ServingBounds
    header_codec: HeaderCodec
    metrics: ForwardMetrics
    configuration_state: ConfigurationState
    directory: EndpointDirectory
    selector: Selector
    stalls: StallDetector
    reachability: Reachability
    planned_stop: PlannedStop
    loop_delay: LoopDelayMonitor
    crash_detection: CrashDetection
    availability: EndpointAvailability
    retry_extra: Callable[[], float]
    uptime_s: Callable[[float], float]
    relays: Relays
    endpoints_age_ms: Callable[[float], int]


def build_forwarder(components: ForwarderComponents) -> Forwarder:
    """Return a forwarder built from these components."""
    bounds, quarantines = components.bounds, components.crash_detection.quarantines
    retries = RetryBudget(
        bounds.retry_ratio, bounds.retry_window_s, components.retry_extra, components.uptime_s
    )
    chooser = EndpointChooser(
        components.selector,
        retries,
        components.planned_stop,
        quarantines,
        components.availability,
        components.stalls,
    )
    return Forwarder(
        components.configuration_state,
        components.header_codec,
        components.selector,
        retries,
        ConcurrentAttempts(_build_attempt_runner(components), chooser),
        components.metrics,
        _build_key_trust(components),
        lambda: components.directory.is_loaded,
        chooser,
        quarantines,
        components.relays,
        components.endpoints_age_ms,
    )


def build_stall_detector(
    directory: EndpointDirectory,
    configuration_state: ConfigurationState,
    intervals: EventIntervals,
    on_report: Callable[[], None],
) -> StallDetector:
    """Return a detector whose timeouts follow from published figures and observed intervals."""
    timeouts = StallTimeouts(directory, configuration_state, intervals)
    return StallDetector(on_report, timeouts.timeout_s)


def _build_attempt_runner(components: ForwarderComponents) -> EndpointAttemptRunner:
    exchanges = EndpointExchanges(
        components.header_codec,
        components.selector,
        components.stalls,
        components.reachability,
        components.loop_delay,
        components.crash_detection.record.parts,
        components.availability,
    )
    return EndpointAttemptRunner(
        exchanges,
        components.selector,
        components.stalls,
        components.metrics,
        components.reachability,
        components.loop_delay,
        components.crash_detection.record,
        components.crash_detection.checks,
        AnswerEvidence(
            components.selector,
            components.crash_detection.record,
            components.reachability,
            components.loop_delay,
        ),
    )


def _build_key_trust(components: ForwarderComponents) -> KeyTrust:
    bounds = components.bounds
    return KeyTrust(
        components.configuration_state,
        bounds.key_revocation_ms / 1000,
        bounds.configuration_apply_ms / 1000,
        bounds.keys_need_proof,
    )
