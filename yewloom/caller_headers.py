"""What the headers of requests and responses mean, independent of their names on the wire."""

from collections.abc import Sequence
from typing import Protocol

from yewloom.endpoint_calls import AnswerHead, Header
from yewloom.ids import CustomerId, HostId, ModelName, RequestId
from yewloom.values import value_class


class HeaderError(Exception):
    """A request header is invalid; the message says which one."""


@value_class
class RequestMarks:
    """Metadata from request headers; ``deadline_ms`` is None if the caller sets no timeout."""

    request_id: RequestId
    host: str
    api_key: str | None
    deadline_ms: int | None
    model: ModelName | None
    last_event_id: int


@value_class
class NamedLimit:
    """A rate limit that a response reports, in requests per second; None if it reports none.

    ``is_told`` is false if the response carries no information about the limit: because another
    process answered at the address, or because the header value is invalid, which is then kept in
    ``unreadable``.
    """

    per_s: float | None = None
    is_told: bool = True
    unreadable: str = ""


@value_class
class AnswerMarks:
    """Metadata from an endpoint's response headers.

    ``is_not_run`` guarantees that the endpoint did not run the request; ``request_id`` identifies
    the request that the response belongs to. ``limit`` is the endpoint's limit for the requests of
    all entry hosts together.
    """

    request_id: RequestId | None
    is_not_run: bool
    limit: NamedLimit


@value_class
class Sending:
    """What the entry host adds to a request that it forwards to an endpoint."""

    endpoint: HostId
    customer: CustomerId | None
    deadline_ms: int
    last_event_id: int | None


class HeaderCodec(Protocol):
    """Translates between wire headers and their meaning."""

    def decode_request(self, headers: Sequence[Header]) -> RequestMarks:
        """Return the metadata in a request's headers; raises HeaderError."""
        ...

    def outgoing_headers(self, headers: Sequence[Header], sending: Sending) -> list[Header]:
        """Return the headers of a request as they are sent to the endpoint."""
        ...

    def decode_answer(self, head: AnswerHead) -> AnswerMarks:
        """Return the metadata in a response's headers."""
        ...

    def returned_headers(self, head: AnswerHead) -> list[Header]:
        """Return the response headers to send to the caller, without framing headers."""
        ...
