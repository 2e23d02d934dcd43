"""Check whether a request may be forwarded: it needs a route, a known API key and time left."""

import math
from collections.abc import Callable
from dataclasses import replace

from yewloom.attempts import AttemptRecord
from yewloom.caller_headers import HeaderCodec, HeaderError, RequestMetadata
from yewloom.caller_messages import CallerRequest, ResponseWriter
from yewloom.configuration import Configuration, ConfigurationState
from yewloom.early_listener import NOT_READY_RETRY_AFTER_S
from yewloom.event_stream import StreamCursor
from yewloom.forward_request import ForwardRequest, Refusal
from yewloom.ids import CustomerId
from yewloom.key_trust import KeyTrust
from yewloom.quarantines import Quarantines
from yewloom.relay_messages import RelayContext
from yewloom.routes import Route
from yewloom.selection import EndpointRequirements, Selector

RESPONSE_MARGIN_S = 0.04
"""How long before its deadline a request is ended, so that the final response still arrives in
time."""

DEFAULT_DEADLINE_MS = 60000
"""Time for a request whose caller sets no deadline; the route's time limit is usually shorter."""

READ_TOO_LATE_RETRY_AFTER_S = 0.0
"""Retry-After for a request whose deadline had passed when it was read. It is zero, as the caller
may still be waiting and this host has processed its backlog by then."""

QUARANTINED = "quarantined"
"""Reason for refusing a request that has crashed endpoints, or has a part on which they crash."""


class RequestAdmission:
    """Finds the route and customer of a request, or refuses it."""

    def __init__(
        self,
        configuration_state: ConfigurationState,
        codec: HeaderCodec,
        selector: Selector,
        key_trust: KeyTrust,
        is_ready: Callable[[], bool],
        quarantines: Quarantines,
    ) -> None:
        self._quarantines = quarantines
        self._configuration_state = configuration_state
        self._codec = codec
        self._selector = selector
        self._key_trust = key_trust
        self._is_ready = is_ready

    def decode_metadata(
        self, caller_request: CallerRequest, relay: RelayContext | None = None
    ) -> RequestMetadata:
        """Return the decoded headers of a request, or raise Refusal.

        Of a relayed request, the remaining time and the last event are those at the relaying host.
        """
        try:
            metadata = self._codec.decode_request(caller_request.headers)
        except HeaderError as error:
            raise Refusal(400, str(error)) from error
        if relay is None:
            return metadata
        return replace(metadata, deadline_ms=relay.remaining_ms, last_event_id=relay.last_event_id)

    def admit(
        self,
        caller_request: CallerRequest,
        response_writer: ResponseWriter,
        metadata: RequestMetadata,
        relay: RelayContext | None = None,
    ) -> ForwardRequest:
        """Return a request with its route and customer, or raise Refusal."""
        configuration = self._configuration_state.current
        if configuration is None or not self._is_ready():
            raise Refusal(503, "no configuration yet", NOT_READY_RETRY_AFTER_S)
        route = self._find_route(configuration, metadata.host, caller_request)
        customer = None
        if configuration.requires_keys and not route.allows_anonymous:
            customer = self._find_customer(configuration, metadata.api_key or "", caller_request)
        request = self._build(
            caller_request, response_writer, metadata, configuration, route, customer
        )
        if relay is not None:
            _apply_relay(request, relay)
        return request

    def check_quarantine(self, request: ForwardRequest) -> None:
        """Raise Refusal if a request is known to crash endpoints, unless a trial is due."""
        if not self._quarantines.has_any:
            return
        fingerprint, parts = request.fingerprint, request.metadata.shared_parts
        now_s = request.caller_request.read_s
        wait_s = self._quarantines.wait_s(fingerprint, parts, now_s)
        if wait_s > 0:
            raise Refusal(503, QUARANTINED, math.ceil(wait_s))
        request.quarantine_count = self._quarantines.count_of(fingerprint, parts)
        self._quarantines.record_trial(fingerprint, parts, now_s)

    def _find_route(
        self, configuration: Configuration, host: str, caller_request: CallerRequest
    ) -> Route:
        route = configuration.routes.find(host, caller_request.path)
        if route is None:
            raise self._unknown_refusal(404, "no such route", caller_request)
        return route

    def _find_customer(
        self, configuration: Configuration, key: str, caller_request: CallerRequest
    ) -> CustomerId:
        if not self._key_trust.may_accept(caller_request.read_s):
            raise self._stale_refusal("keys", caller_request)
        customer = configuration.customers.get(key)
        if customer is None:
            raise self._unknown_refusal(401, "unknown key", caller_request)
        return customer

    def _unknown_refusal(self, status: int, reason: str, caller_request: CallerRequest) -> Refusal:
        """Return a permanent refusal, or a temporary one if this configuration may be outdated."""
        if self._key_trust.may_refuse_permanently(caller_request.read_s):
            return Refusal(status, reason)
        return self._stale_refusal(f"{reason}; configuration", caller_request)

    def _stale_refusal(self, subject: str, caller_request: CallerRequest) -> Refusal:
        age_s = self._configuration_state.age_s(caller_request.read_s)
        return Refusal(503, f"{subject} {age_s:.1f} s old", NOT_READY_RETRY_AFTER_S)

    def _build(
        self,
        caller_request: CallerRequest,
        response_writer: ResponseWriter,
        metadata: RequestMetadata,
        configuration: Configuration,
        route: Route,
        customer: CustomerId | None,
    ) -> ForwardRequest:
        deadline_s = _deadline_s(caller_request, metadata, route)
        if caller_request.arrived_s < caller_request.read_s and deadline_s <= caller_request.read_s:
            raise Refusal(503, "read too late", READ_TOO_LATE_RETRY_AFTER_S)
        requirements = EndpointRequirements(self._selector.draw_service(route), metadata.model)
        return ForwardRequest(
            caller_request=caller_request,
            response_writer=response_writer,
            metadata=metadata,
            configuration=configuration,
            route=route,
            requirements=requirements,
            customer=customer,
            deadline_s=deadline_s,
            record=AttemptRecord(route),
            cursor=StreamCursor(metadata.last_event_id),
        )


def _apply_relay(request: ForwardRequest, relay: RelayContext) -> None:
    """Continue a request where the relaying host stopped."""
    request.is_relayed, request.is_counted = True, relay.is_counted
    request.record.states.update(relay.attempts)
    if any(choice.service == relay.service for choice in request.route.services):
        request.requirements = EndpointRequirements(relay.service, request.metadata.model)


def _deadline_s(caller_request: CallerRequest, metadata: RequestMetadata, route: Route) -> float:
    """Return the time at which a request is ended, a margin before its deadline.

    The route's time limit excludes the time for which this host waited for the caller to receive
    an earlier response on the same connection; the caller's deadline includes it.
    """
    deadline_ms = metadata.deadline_ms if metadata.deadline_ms is not None else DEFAULT_DEADLINE_MS
    route_deadline_s = caller_request.send_blocked_s + route.timeout_ms / 1000
    return caller_request.arrived_s + min(deadline_ms / 1000, route_deadline_s) - RESPONSE_MARGIN_S
