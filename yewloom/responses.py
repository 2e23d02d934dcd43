"""Responses that stop when their caller disconnects, and error responses."""

from collections.abc import Awaitable
from contextlib import aclosing

import trio
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.types import Send

from yewloom.problems import Problem, bad_request_problem

_CLIENT_CLOSED_REQUEST = 499


class EventStream(StreamingResponse):
    """A streaming response whose source is closed as soon as the caller disconnects."""

    media_type = "text/event-stream"

    async def stream_response(self, send: Send) -> None:
        """Send the events until they end or the caller disconnects."""
        async with aclosing(self.body_iterator):  # type: ignore[type-var]
            await super().stream_response(send)


async def while_connected(request: Request, pending_response: Awaitable[Response]) -> Response:
    """Return a response, or stop working on it when the caller disconnects."""
    response = Response(status_code=_CLIENT_CLOSED_REQUEST)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, request, nursery.cancel_scope)
        try:
            response = await pending_response
        except Problem as problem:
            # A nursery would raise it inside an exception group.
            response = problem.to_response()
        nursery.cancel_scope.cancel()
    return response


async def _cancel_on_disconnect(request: Request, scope: trio.CancelScope) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def respond_problem(request: Request, problem: Problem) -> Response:
    """Return the response for a problem raised while handling a request."""
    return problem.to_response()


async def respond_unknown_path(request: Request, error: Exception) -> Response:
    """Return the response to a request for an unknown path."""
    return bad_request_problem(f"There is nothing at {request.url.path}.", 404).to_response()
