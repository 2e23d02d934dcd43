"""Parses the headers of a caller's request."""

import uuid

import trio
from starlette.requests import Request

from yewloom.ids import CustomerId, IdempotencyKey, RequestId
from yewloom.problems import bad_request_problem, unavailable_problem
from yewloom.schema.table_pb2 import ServiceRow
from yewloom.states import Outcome

MAX_KEY_LENGTH = 200

_TRUE_WORDS = {"1", "true", "yes"}


def deadline_s(request: Request, max_timeout_ms: int, max_age_s: float) -> float:
    """Return the deadline of a request, on the runtime's clock.

    ``max_age_s`` is how long ago the request may have arrived. Raises Problem if the deadline has
    already passed.
    """
    text = request.headers.get("x-timeout-ms", "")
    if text and not (text.isdecimal() and 0 < int(text) <= max_timeout_ms):
        raise bad_request_problem(
            f"X-Timeout-Ms must be a whole number from 1 to {max_timeout_ms}."
        )
    left_s = (int(text) if text else max_timeout_ms) / 1000 - max_age_s
    if left_s <= 0:
        raise unavailable_problem("The request was read after its deadline.", Outcome.NOT_RUN)
    return trio.current_time() + left_s


def new_request_id() -> RequestId:
    """Return a unique request id that cannot be guessed."""
    return RequestId(uuid.uuid4().hex)


def idempotency_key(request: Request, customer: CustomerId) -> IdempotencyKey | None:
    """Return the customer's idempotency key, or None; raises Problem if it is invalid."""
    key = request.headers.get("idempotency-key")
    if key is None:
        return None
    if not key or len(key) > MAX_KEY_LENGTH:
        raise bad_request_problem(f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} characters.")
    return IdempotencyKey(f"{customer}/{key}")


def is_marked_unsafe(request: Request) -> bool:
    """Return whether the caller marked a request as unsafe to retry."""
    return request.headers.get("x-unsafe", "").lower() in _TRUE_WORDS


def is_unsafe_path(row: ServiceRow, path: str) -> bool:
    """Return whether a service's requests for a path are unsafe to retry."""
    return any(path.startswith(prefix) for prefix in row.unsafe_paths.split())
