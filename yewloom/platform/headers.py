"""Translation of the platform's HTTP headers to the types of the product and back."""

import re
from collections.abc import Sequence

from yewloom.caller_headers import (
    ForwardingMetadata,
    HeaderError,
    RequestMetadata,
    ResponseMetadata,
)
from yewloom.endpoint_announcements import (
    AnnouncedLimit,
    EndpointAnnouncements,
    RequestedPause,
    decode_pause,
)
from yewloom.endpoint_calls import Header, ResponseHead
from yewloom.ids import HostId, ModelName, PromptPart, RequestId
from yewloom.platform.names import (
    DEADLINE_HEADER,
    INSTANCE_HEADER,
    LEAVING_HEADER,
    LEAVING_VALUE,
)
from yewloom.prompt_parts import MAX_SHARED_PARTS, parse_prompt_part

_REQUEST_ID = b"yewloom-request-id"
_EXPECTED_ENDPOINT = b"yewloom-expect-instance"
_CUSTOMER = b"yewloom-tenant"
_MODEL = b"yewloom-model"
_NOT_RUN = b"yewloom-not-executed"
_LAST_EVENT_ID = b"last-event-id"
_PROMPT_PARTS = b"yewloom-prompt-prefix"
_KEY_SCHEME = b"Token "

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_NOT_FROM_CALLER = frozenset(
    {b"authorization", DEADLINE_HEADER, _EXPECTED_ENDPOINT, _CUSTOMER, b"content-length"}
)
"""Headers of callers that are not forwarded: the API key, and those that the entry host sets."""

_REQUIRED = frozenset({b"host"})
"""Headers without which no request can be sent, whatever a Connection header lists."""

MAX_DIGITS = 15
"""Maximum number of digits of a whole number in a header: such a number is exact as a float."""

_MISDIRECTED_STATUS = 421
_RETRY_AFTER = b"retry-after"
_SERVER_LIMIT = b"server-limit"
_LEAVING = LEAVING_HEADER.encode()
_INSTANCE = INSTANCE_HEADER.encode()
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")
_MAX_LOGGED_BYTES = 40


class HttpHeaderCodec:
    """Translates the headers of requests from callers and of responses from endpoints."""

    def decode_request(self, headers: Sequence[Header]) -> RequestMetadata:
        """Decode the headers of a request; raise HeaderError if one is invalid."""
        values = dict(headers)
        key = values.get(b"authorization")
        model = values.get(_MODEL)
        return RequestMetadata(
            request_id=RequestId(values.get(_REQUEST_ID, b"").decode("latin-1")),
            host=values.get(b"host", b"").decode("latin-1").partition(":")[0],
            api_key=_api_key(key) if key is not None else None,
            deadline_ms=_integer_header(values, DEADLINE_HEADER),
            model=ModelName(model.decode("latin-1")) if model else None,
            last_event_id=_integer_header(values, _LAST_EVENT_ID) or 0,
            shared_parts=_shared_parts(values.get(_PROMPT_PARTS, b"")),
        )

    def build_request_headers(
        self, headers: Sequence[Header], metadata: ForwardingMetadata
    ) -> list[Header]:
        """Return the headers of a request to forward to an endpoint."""
        listed = _listed_in_connection(headers) - _REQUIRED
        dropped = listed | _HOP_BY_HOP | _NOT_FROM_CALLER
        if metadata.last_event_id is not None:
            dropped |= {_LAST_EVENT_ID}
        forwarded = [header for header in headers if header[0] not in dropped]
        forwarded.append((DEADLINE_HEADER, str(metadata.deadline_ms).encode()))
        forwarded.append((_EXPECTED_ENDPOINT, metadata.endpoint.encode()))
        if metadata.customer is not None:
            forwarded.append((_CUSTOMER, metadata.customer.encode()))
        if metadata.last_event_id is not None:
            forwarded.append((_LAST_EVENT_ID, str(metadata.last_event_id).encode()))
        return forwarded

    def decode_response(self, head: ResponseHead) -> ResponseMetadata:
        """Decode the headers of a response."""
        request_id = head.get(_REQUEST_ID)
        is_not_run = head.get(_NOT_RUN) is not None or head.status == _MISDIRECTED_STATUS
        return ResponseMetadata(
            request_id=RequestId(request_id.decode("latin-1")) if request_id else None,
            is_not_run=is_not_run,
            announcements=_announcements(head),
        )

    def build_response_headers(self, head: ResponseHead) -> list[Header]:
        """Return the headers of a response to forward to the caller, without framing headers."""
        dropped = _listed_in_connection(head.headers) | _HOP_BY_HOP | {b"content-length"}
        return [header for header in head.headers if header[0] not in dropped]


def _shared_parts(text: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt except the last, from ID:TOKENS pairs separated by commas.

    A part without a number of tokens counts as well; an empty one does not.
    """
    shared = text.rpartition(b",")[0].split(b",", MAX_SHARED_PARTS)[:MAX_SHARED_PARTS]
    ids = (pair.partition(b":")[0].strip().decode("latin-1") for pair in shared)
    return tuple(dict.fromkeys(parse_prompt_part(part_id) for part_id in ids if part_id))


def _announcements(head: ResponseHead) -> EndpointAnnouncements:
    """Return what a response says of the endpoint that answered."""
    answered_by = head.get(_INSTANCE)
    return EndpointAnnouncements(
        limit=_announced_limit(head),
        pause=_requested_pause(head),
        is_leaving=head.get(_LEAVING) == LEAVING_VALUE.encode(),
        answered_by=HostId(answered_by.decode("latin-1")) if answered_by else None,
    )


def _announced_limit(head: ResponseHead) -> AnnouncedLimit:
    """Return the limit that a response announces.

    A misdirected request was answered by another process, whose limit says nothing about the
    endpoint.
    """
    if head.status == _MISDIRECTED_STATUS:
        return AnnouncedLimit(is_announced=False)
    text = head.get(_SERVER_LIMIT)
    if text is None:
        return AnnouncedLimit()
    if not _DECIMAL.fullmatch(text):
        return AnnouncedLimit(is_announced=False, invalid_text=repr(text[:_MAX_LOGGED_BYTES]))
    return AnnouncedLimit(float(text))


def _requested_pause(head: ResponseHead) -> RequestedPause:
    """Return the pause that a response asks for."""
    text = head.get(_RETRY_AFTER)
    return decode_pause(head.status, text.decode("latin-1") if text is not None else None)


def _api_key(value: bytes) -> str:
    return value.removeprefix(_KEY_SCHEME).strip().decode("latin-1")


def _listed_in_connection(headers: Sequence[Header]) -> frozenset[bytes]:
    """Return the header names that a Connection header lists as hop-by-hop."""
    values = b",".join(value for name, value in headers if name == b"connection")
    return frozenset(name.strip().lower() for name in values.split(b",") if name.strip())


def _integer_header(values: dict[bytes, bytes], name: bytes) -> int | None:
    text = values.get(name)
    if text is None:
        return None
    if not text.isdigit() or len(text) > MAX_DIGITS:
        raise HeaderError(f"{name.decode()} is not a whole number")
    return int(text)
