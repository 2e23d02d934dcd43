"""Problem documents (RFC 9457), the error responses of entry hosts."""

import json
import math
from dataclasses import dataclass

from starlette.responses import Response

from yewloom.retry_after import DEFAULT_RETRY_AFTER_S
from yewloom.states import Outcome

OVERLOADED_STATUS = 429

_MEDIA_TYPE = "application/problem+json"


@dataclass
class Problem(Exception):  # noqa: N818 - RFC 9457 uses this term
    """The error response to a request.

    ``detail`` is one sentence; ``retry_after_s`` is None if a retry would not help.
    """

    status: int
    title: str
    detail: str
    outcome: Outcome
    retry_after_s: float | None = None

    def __str__(self) -> str:
        return f"{self.status} {self.title}: {self.detail}"

    def to_json(self) -> str:
        """Encode the problem document."""
        fields: dict[str, object] = {
            "type": "about:blank",
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            "outcome": self.outcome.value,
        }
        if self.retry_after_s is not None:
            fields["retry_after_ms"] = math.ceil(self.retry_after_s * 1000)
        return json.dumps(fields)

    def to_response(self) -> Response:
        """Return the problem as an HTTP response."""
        headers = {"x-outcome": self.outcome.value}
        if self.retry_after_s is not None:
            headers["retry-after"] = str(math.ceil(self.retry_after_s))
        return Response(self.to_json(), self.status, headers, media_type=_MEDIA_TYPE)


def bad_request_problem(detail: str, status: int = 400) -> Problem:
    """Return the problem for an invalid request, which has not run."""
    titles = {401: "Unauthorized", 404: "Not Found", 413: "Content Too Large"}
    return Problem(status, titles.get(status, "Bad Request"), detail, Outcome.NOT_RUN)


def unavailable_problem(
    detail: str, outcome: Outcome, retry_after_s: float = DEFAULT_RETRY_AFTER_S
) -> Problem:
    """Return the problem for a request that failed and may be retried later."""
    return Problem(503, "Service Unavailable", detail, outcome, retry_after_s)


def overloaded_problem(detail: str, retry_after_s: float) -> Problem:
    """Return the problem for a request that was rejected because of overload before it ran."""
    return Problem(OVERLOADED_STATUS, "Too Many Requests", detail, Outcome.NOT_RUN, retry_after_s)
