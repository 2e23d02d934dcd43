"""Responses that end with their callers, and the answers to problems."""

from collections.abc import Awaitable
from contextlib import aclosing

import trio
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.types import Send

from yewloom.problems import Problem, bad_request

_CLIENT_GONE = 499


class EventStream(StreamingResponse):
    """A stream whose source is closed as soon as the caller has gone."""

    media_type = "text/event-stream"

    async def stream_response(self, send: Send) -> None:
        """Send the events until the end, or until the caller has gone."""
        async with aclosing(self.body_iterator):  # type: ignore[type-var]
            await super().stream_response(send)


async def while_connected(request: Request, answer: Awaitable[Response]) -> Response:
    """Return an answer, or stop working on it when the caller has gone."""
    response = Response(status_code=_CLIENT_GONE)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_when_gone, request, nursery.cancel_scope)
        try:
            response = await answer
        except Problem as problem:
            # A nursery would hand it on inside an exception group.
            response = problem.to_response()
        nursery.cancel_scope.cancel()
    return response


async def _cancel_when_gone(request: Request, scope: trio.CancelScope) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def answer_problem(request: Request, problem: Problem) -> Response:
    """Return the answer to a request that ended with a problem."""
    return problem.to_response()


async def answer_unknown_path(request: Request, error: Exception) -> Response:
    """Return the answer to a request for a path that is not served."""
    return bad_request(f"There is nothing at {request.url.path}.", 404).to_response()
