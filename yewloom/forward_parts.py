"""Build the forwarder of an entry host from its components."""

from collections.abc import Callable

from yewloom.caller_headers import HeaderCodec
from yewloom.configuration import ConfigurationState
from yewloom.crash_parts import CrashDetection
from yewloom.directory import EndpointDirectory
from yewloom.endpoint_attempts import EndpointAttemptRunner
from yewloom.endpoint_choice import EndpointChooser
from yewloom.endpoint_limits import EndpointLimits
from yewloom.forward_metrics import ForwardMetrics
from yewloom.forwarding import Forwarder
from yewloom.key_trust import KeyTrust
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.planned_stop import PlannedStop
from yewloom.reachability import Reachability
from yewloom.retry_window import RetryBudget
from yewloom.schema.entry_pb2 import ServingBounds
from yewloom.selection import Selector
from yewloom.stalls import StallDetector
from yewloom.values import value_class


@value_class
class ForwarderComponents:
    """The components that forwarding needs.

    ``retry_extra`` returns this host's share of the retries that are allowed on top of the ratio.
    """

    bounds: ServingBounds
    codec: HeaderCodec
    metrics: ForwardMetrics
    configuration_state: ConfigurationState
    directory: EndpointDirectory
    selector: Selector
    stalls: StallDetector
    reachability: Reachability
    stop: PlannedStop
    loop_delay: LoopDelayMonitor
    crashes: CrashDetection
    limits: EndpointLimits
    retry_extra: Callable[[], float]


def build_forwarder(parts: ForwarderComponents) -> Forwarder:
    """Return a forwarder built from these components."""
    bounds, quarantine = parts.bounds, parts.crashes.quarantine
    retries = RetryBudget(bounds.retry_ratio, bounds.retry_window_s, parts.retry_extra)
    chooser = EndpointChooser(parts.selector, retries, parts.stop, quarantine, parts.limits)
    return Forwarder(
        parts.configuration_state,
        parts.codec,
        parts.selector,
        retries,
        _build_attempt_runner(parts, chooser),
        parts.metrics,
        _build_key_trust(parts),
        lambda: parts.directory.is_loaded,
        chooser,
        quarantine,
    )


def _build_attempt_runner(
    parts: ForwarderComponents, chooser: EndpointChooser
) -> EndpointAttemptRunner:
    return EndpointAttemptRunner(
        parts.codec,
        parts.selector,
        parts.stalls,
        parts.metrics,
        parts.reachability,
        chooser,
        parts.loop_delay,
        parts.crashes.record,
        parts.crashes.checks,
        parts.limits,
    )


def _build_key_trust(parts: ForwarderComponents) -> KeyTrust:
    bounds = parts.bounds
    return KeyTrust(
        parts.configuration_state,
        bounds.key_revocation_ms / 1000,
        bounds.configuration_apply_ms / 1000,
        bounds.keys_need_proof,
    )
