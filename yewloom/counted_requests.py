"""ASGI middleware that tracks requests in progress and closes their connections on shutdown."""

from starlette.types import ASGIApp, Message, Receive, Scope, Send

from yewloom.problems import unavailable_problem
from yewloom.states import Outcome
from yewloom.work import WorkTracker

_CONNECTION_CLOSE = (b"connection", b"close")
_CANCELLED_DETAIL = "This entry host stopped before the request ended."


class RequestTrackingMiddleware:
    """Counts each request of an application as work from its headers until its response is sent.

    A response that starts while this host is stopping has the header ``connection: close``, so that
    the caller sends no further request on the connection; HTTP/2 has no such header. If the
    shutdown cancels a request before its response has started, the caller is sent an error response
    with the outcome: the request has not run if its body was not received completely.
    """

    def __init__(self, application: ASGIApp, work: WorkTracker) -> None:
        self._application = application
        self._work = work

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the application for one request."""
        if scope["type"] != "http":
            await self._application(scope, receive, send)
            return
        exchange = _Exchange(scope, receive, send, self._work)
        with self._work.item():
            with self._work.request() as request:
                await self._application(scope, exchange.receive, exchange.send)
            if request.cancelled_caught and not exchange.has_response_started:
                problem = unavailable_problem(_CANCELLED_DETAIL, exchange.outcome)
                await problem.to_response()(scope, receive, exchange.send)


class _Exchange:
    """Observes the messages between a caller and the application for one request."""

    def __init__(self, scope: Scope, receive: Receive, send: Send, work: WorkTracker) -> None:
        self._is_http_1 = scope["http_version"].startswith("1")
        self._receive = receive
        self._send = send
        self._work = work
        self.outcome = Outcome.NOT_RUN
        self.has_response_started = False

    async def receive(self) -> Message:
        """Return the caller's next message; record whether the body is complete."""
        message = await self._receive()
        if message["type"] == "http.request" and not message.get("more_body", False):
            self.outcome = Outcome.UNKNOWN
        return message

    async def send(self, message: Message) -> None:
        """Send a message to the caller; close its connection if this host is stopping."""
        if message["type"] == "http.response.start":
            self.has_response_started = True
            if self._is_http_1 and self._work.is_stopping:
                message = {**message, "headers": [*message.get("headers", []), _CONNECTION_CLOSE]}
        await self._send(message)
