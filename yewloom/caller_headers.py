"""What the headers of requests and answers say, whatever names they have on the wire."""

from collections.abc import Sequence
from typing import Protocol

from yewloom.endpoint_calls import AnswerHead, Header
from yewloom.ids import CustomerId, HostId, ModelName, RequestId
from yewloom.values import value_class


class HeaderError(Exception):
    """A header of a request can't be understood; the text says which."""


@value_class
class RequestMarks:
    """What a caller says of its request; ``deadline_ms`` is None when it names no time."""

    request_id: RequestId
    host: str
    api_key: str | None
    deadline_ms: int | None
    model: ModelName | None
    last_event_id: int


@value_class
class NamedLimit:
    """A limit that an answer names, in requests a second; None if it names none.

    ``is_told`` is false for an answer that tells nothing: of another process at the address, or
    with a text that is no limit, which is ``unreadable``.
    """

    per_s: float | None = None
    is_told: bool = True
    unreadable: str = ""


@value_class
class AnswerMarks:
    """What an endpoint says of its answer.

    ``is_not_run`` promises that the endpoint did not run the request; ``request_id`` names the
    request that the answer belongs to. ``limit`` is what the endpoint says of the requests that it
    takes from all hosts together.
    """

    request_id: RequestId | None
    is_not_run: bool
    limit: NamedLimit


@value_class
class Sending:
    """What this system adds to a request on its way to an endpoint."""

    endpoint: HostId
    customer: CustomerId | None
    deadline_ms: int
    last_event_id: int | None


class HeaderCodec(Protocol):
    """Translates between headers and what they say."""

    def decode_request(self, headers: Sequence[Header]) -> RequestMarks:
        """Return what a request's headers say; raises HeaderError."""
        ...

    def outgoing_headers(self, headers: Sequence[Header], sending: Sending) -> list[Header]:
        """Return a request's headers as the endpoint gets them."""
        ...

    def decode_answer(self, head: AnswerHead) -> AnswerMarks:
        """Return what an answer's headers say."""
        ...

    def returned_headers(self, head: AnswerHead) -> list[Header]:
        """Return an answer's headers as the caller gets them, without those of framing."""
        ...
