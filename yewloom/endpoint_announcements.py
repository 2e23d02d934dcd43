"""What an endpoint says of itself in its responses, independent of the names on the wire."""

from yewloom.ids import HostId
from yewloom.retry_after import parse_seconds
from yewloom.values import value_class

UNAVAILABLE_STATUS = 503
"""Status with which an endpoint that asks for a pause rejects a request."""


@value_class
class AnnouncedLimit:
    """A rate limit that a response reports, in requests per second; None if it reports none.

    ``is_announced`` is false if the response carries no information about the limit: because
    another process answered at the address, or because the header value is invalid, which is then
    kept in ``invalid_text``.
    """

    per_s: float | None = None
    is_announced: bool = True
    invalid_text: str = ""


@value_class
class RequestedPause:
    """The time for which an endpoint that rejected a request wants no others from this host.

    It is 0 if the response asks for none, or for an invalid one, which ``invalid_text`` describes.
    """

    pause_s: float = 0.0
    invalid_text: str = ""


NO_PAUSE = RequestedPause()


@value_class
class EndpointAnnouncements:
    """What one response says of its endpoint.

    ``limit`` is for the requests of all entry hosts together; ``pause`` concerns the host that
    reads the response. ``is_leaving`` is whether the process that answered says that it leaves, and
    ``answered_by`` is its id, if the response names it.
    """

    limit: AnnouncedLimit = AnnouncedLimit()
    pause: RequestedPause = NO_PAUSE
    is_leaving: bool = False
    answered_by: HostId | None = None


def decode_pause(status: int, retry_after: str | None) -> RequestedPause:
    """Return the pause that a response with this status and Retry-After value asks for."""
    if status != UNAVAILABLE_STATUS or retry_after is None:
        return NO_PAUSE
    try:
        return RequestedPause(parse_seconds(retry_after))
    except ValueError as error:
        return RequestedPause(invalid_text=str(error))
