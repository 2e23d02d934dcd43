"""The platform's header names, decoded into what they say."""

import re
from collections.abc import Sequence

from yewloom.caller_headers import AnswerMarks, HeaderError, NamedLimit, RequestMarks, Sending
from yewloom.endpoint_calls import AnswerHead, Header
from yewloom.ids import ModelName, RequestId
from yewloom.platform.names import DEADLINE_HEADER

_REQUEST_ID = b"yewloom-request-id"
_EXPECTED_ENDPOINT = b"yewloom-expect-instance"
_CUSTOMER = b"yewloom-tenant"
_MODEL = b"yewloom-model"
_NOT_RUN = b"yewloom-not-executed"
_LAST_EVENT_ID = b"last-event-id"
_KEY_SCHEME = b"Token "

_ONE_CONNECTION = frozenset(
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
_OURS = frozenset(
    {b"authorization", DEADLINE_HEADER, _EXPECTED_ENDPOINT, _CUSTOMER, b"content-length"}
)
_MISDIRECTED_STATUS = 421
_LIMIT = b"server-limit"
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")
_SHOWN_BYTES = 40


class WireHeaders:
    """Translates the headers of callers' requests and endpoints' answers."""

    def decode_request(self, headers: Sequence[Header]) -> RequestMarks:
        """Return what a request's headers say; raises HeaderError."""
        found = dict(headers)
        key = found.get(b"authorization")
        model = found.get(_MODEL)
        return RequestMarks(
            request_id=RequestId(found.get(_REQUEST_ID, b"").decode("latin-1")),
            host=found.get(b"host", b"").decode("latin-1").partition(":")[0],
            api_key=_api_key(key) if key is not None else None,
            deadline_ms=_number(found, DEADLINE_HEADER),
            model=ModelName(model.decode("latin-1")) if model else None,
            last_event_id=_number(found, _LAST_EVENT_ID) or 0,
        )

    def outgoing_headers(self, headers: Sequence[Header], sending: Sending) -> list[Header]:
        """Return a request's headers as the endpoint gets them."""
        dropped = _named_by_connection(headers) | _ONE_CONNECTION | _OURS
        if sending.last_event_id is not None:
            dropped |= {_LAST_EVENT_ID}
        passed = [header for header in headers if header[0] not in dropped]
        passed.append((DEADLINE_HEADER, str(sending.deadline_ms).encode()))
        passed.append((_EXPECTED_ENDPOINT, sending.endpoint.encode()))
        if sending.customer is not None:
            passed.append((_CUSTOMER, sending.customer.encode()))
        if sending.last_event_id is not None:
            passed.append((_LAST_EVENT_ID, str(sending.last_event_id).encode()))
        return passed

    def decode_answer(self, head: AnswerHead) -> AnswerMarks:
        """Return what an answer's headers say."""
        request_id = head.get(_REQUEST_ID)
        is_not_run = head.get(_NOT_RUN) is not None or head.status == _MISDIRECTED_STATUS
        return AnswerMarks(
            request_id=RequestId(request_id.decode("latin-1")) if request_id else None,
            is_not_run=is_not_run,
            limit=_limit(head),
        )

    def returned_headers(self, head: AnswerHead) -> list[Header]:
        """Return an answer's headers as the caller gets them, without those of framing."""
        dropped = _named_by_connection(head.headers) | _ONE_CONNECTION | {b"content-length"}
        return [header for header in head.headers if header[0] not in dropped]


def _limit(head: AnswerHead) -> NamedLimit:
    """Return the limit that an answer names; another process answers what is misdirected."""
    if head.status == _MISDIRECTED_STATUS:
        return NamedLimit(is_told=False)
    text = head.get(_LIMIT)
    if text is None:
        return NamedLimit()
    if not _DECIMAL.fullmatch(text):
        return NamedLimit(is_told=False, unreadable=repr(text[:_SHOWN_BYTES]))
    return NamedLimit(float(text))


def _api_key(value: bytes) -> str:
    return value.removeprefix(_KEY_SCHEME).strip().decode("latin-1")


def _named_by_connection(headers: Sequence[Header]) -> frozenset[bytes]:
    """Return the headers that a Connection header says concern one connection only."""
    named = b",".join(value for name, value in headers if name == b"connection")
    return frozenset(name.strip().lower() for name in named.split(b",") if name.strip())


def _number(found: dict[bytes, bytes], name: bytes) -> int | None:
    text = found.get(name)
    if text is None:
        return None
    if not text.isdigit():
        raise HeaderError(f"{name.decode()} is not a whole number")
    return int(text)
