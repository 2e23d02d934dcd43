"""What the headers of requests and responses mean, independent of their names on the wire."""

from collections.abc import Sequence
from typing import Protocol

from yewloom.endpoint_announcements import EndpointAnnouncements
from yewloom.endpoint_calls import Header, ResponseHead
from yewloom.ids import CustomerId, HostId, ModelName, PromptPart, RequestId
from yewloom.values import value_class


class HeaderError(Exception):
    """A request header is invalid; the message says which one."""


@value_class
class RequestMetadata:
    """Metadata from request headers.

    ``deadline_ms`` is None if the caller sets no timeout. ``shared_parts`` are the parts of the
    prompt that other requests may share, without repetitions.
    """

    request_id: RequestId
    host: str
    api_key: str | None
    deadline_ms: int | None
    model: ModelName | None
    last_event_id: int
    shared_parts: tuple[PromptPart, ...] = ()


@value_class
class ResponseMetadata:
    """Metadata from an endpoint's response headers.

    ``is_not_run`` guarantees that the endpoint did not run the request; ``request_id`` identifies
    the request that the response belongs to.
    """

    request_id: RequestId | None
    is_not_run: bool
    announcements: EndpointAnnouncements


@value_class
class ForwardingMetadata:
    """What the entry host adds to a request that it forwards to an endpoint."""

    endpoint: HostId
    customer: CustomerId | None
    deadline_ms: int
    last_event_id: int | None


class HeaderCodec(Protocol):
    """Translates between wire headers and their meaning."""

    def decode_request(self, headers: Sequence[Header]) -> RequestMetadata:
        """Return the metadata in a request's headers; raises HeaderError."""
        ...

    def build_request_headers(
        self, headers: Sequence[Header], metadata: ForwardingMetadata
    ) -> list[Header]:
        """Return the headers of a request as they are sent to the endpoint."""
        ...

    def decode_response(self, head: ResponseHead) -> ResponseMetadata:
        """Return the metadata in a response's headers."""
        ...

    def build_response_headers(self, head: ResponseHead) -> list[Header]:
        """Return the response headers to send to the caller, without framing headers."""
        ...
