"""Converts requests to and from the message in which entry hosts relay them to each other."""

from yewloom.attempts import AttemptRecord, AttemptState
from yewloom.caller_messages import CallerRequest
from yewloom.forward_request import ForwardRequest
from yewloom.ids import EntryHostId, HostId, ServiceName
from yewloom.schema.entry_pb2 import RelayedAttempt, RelayedHeader, RelayedRequest
from yewloom.values import value_class


@value_class
class RelayContext:
    """What the host that relays a request knows of it.

    ``remaining_ms`` is the time until the response must be complete. ``attempts`` holds the
    attempts that reached an endpoint.
    """

    relayed_by: EntryHostId
    remaining_ms: int
    last_event_id: int
    service: ServiceName
    attempts: dict[HostId, AttemptState]
    is_counted: bool


def encode_relayed(request: ForwardRequest, own_id: EntryHostId, now_s: float) -> RelayedRequest:
    """Return the message that relays a request."""
    caller_request, cursor = request.caller_request, request.cursor
    return RelayedRequest(
        relayed_by=own_id,
        method=caller_request.method,
        target=caller_request.target,
        headers=[RelayedHeader(name=name, value=value) for name, value in caller_request.headers],
        body=caller_request.body,
        remaining_ms=request.remaining_ms(now_s),
        last_event_id=cursor.last_event_id,
        service=request.requirements.service,
        attempts=_encode_attempts(request.record),
        is_counted=request.is_counted,
    )


def _encode_attempts(record: AttemptRecord) -> list[RelayedAttempt]:
    """Return the attempts that reached an endpoint, and the relays that may have reached one."""
    direct = [
        RelayedAttempt(endpoint=endpoint, is_not_run=state is AttemptState.NOT_RUN)
        for endpoint, state in record.states.items()
        if state is not AttemptState.NOTHING_SENT
    ]
    relayed = [
        RelayedAttempt(endpoint=peer)
        for peer, state in record.relays.items()
        if state is AttemptState.SENT
    ]
    return direct + relayed


def decode_caller_request(message: RelayedRequest, received: CallerRequest) -> CallerRequest:
    """Return the caller's request in a message; ``received`` is the peer's request with it."""
    return CallerRequest(
        method=message.method,
        target=message.target,
        headers=[(header.name, header.value) for header in message.headers],
        body=message.body,
        arrived_s=received.arrived_s,
        read_s=received.read_s,
        number_on_connection=received.number_on_connection,
        stopping_ms=received.stopping_ms,
    )


def decode_context(message: RelayedRequest) -> RelayContext:
    """Return what the relaying host knows of the request in a message."""
    return RelayContext(
        relayed_by=EntryHostId(message.relayed_by),
        remaining_ms=message.remaining_ms,
        last_event_id=message.last_event_id,
        service=ServiceName(message.service),
        attempts={
            HostId(attempt.endpoint): (
                AttemptState.NOT_RUN if attempt.is_not_run else AttemptState.SENT
            )
            for attempt in message.attempts
        },
        is_counted=message.is_counted,
    )
