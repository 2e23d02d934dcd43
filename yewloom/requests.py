"""Types that the caller interface and the dispatchers exchange."""

from collections.abc import Callable

from yewloom.admission import AdmissionRequest
from yewloom.endpoints import ServiceCall
from yewloom.ids import CustomerId, ModelName, RequestId
from yewloom.schema.table_pb2 import CustomerRow
from yewloom.streams import StreamPosition
from yewloom.values import value_class

ShareLookup = Callable[[CustomerId, CustomerRow], int]
"""Returns this entry host's share of a customer's limit."""


@value_class
class ModelRequest:
    """A request to generate tokens; ``deadline_s`` is in seconds of Trio's clock."""

    request_id: RequestId
    customer: CustomerId
    customer_row: CustomerRow
    model: ModelName
    prompt: str
    max_tokens: int
    session: str
    deadline_s: float
    is_unsafe: bool = False


@value_class
class ServiceRequest:
    """A call to a plain service; ``deadline_s`` is in seconds of Trio's clock."""

    request_id: RequestId
    customer: CustomerId
    customer_row: CustomerRow
    service: str
    call: ServiceCall
    deadline_s: float
    is_unsafe: bool = False


@value_class
class TokenBatch:
    """Consecutive tokens, and the position in the stream after them.

    ``finish_reason`` is empty except in the last batch of a response.
    """

    tokens: tuple[str, ...]
    position: StreamPosition
    finish_reason: str = ""


def to_admission_request(
    request: ModelRequest | ServiceRequest, cost: float, share: int, now_s: float
) -> AdmissionRequest:
    """Convert a request to the form that admission control uses."""
    return AdmissionRequest(
        request_id=request.request_id,
        customer=request.customer,
        weight=request.customer_row.weight,
        cost=cost,
        deadline_s=request.deadline_s,
        share=share,
        start_by_s=now_s + request.customer_row.max_queue_ms / 1000,
    )
