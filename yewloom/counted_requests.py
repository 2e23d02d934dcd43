"""Requests as work of an entry host: counted until answered, their connections closed at a stop."""

from starlette.types import ASGIApp, Message, Receive, Scope, Send

from yewloom.problems import unavailable
from yewloom.states import Outcome
from yewloom.work import Work

_CLOSE = (b"connection", b"close")
_CUT_OFF = "This entry host stopped before the request ended."


class CountedRequests:
    """Counts each request of an application from its headers until its answer is written.

    An answer that begins while the host leaves closes its connection, so that no caller sends
    another request on it; HTTP/2 knows no such header. A request that is cut off before its answer
    began is told what is known of it: while its body is not whole, it has not run.
    """

    def __init__(self, application: ASGIApp, work: Work) -> None:
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
            if request.cancelled_caught and not exchange.has_answer:
                problem = unavailable(_CUT_OFF, exchange.outcome)
                await problem.to_response()(scope, receive, exchange.send)


class _Exchange:
    """What has passed between a caller and the application for one request."""

    def __init__(self, scope: Scope, receive: Receive, send: Send, work: Work) -> None:
        self._is_http_1 = scope["http_version"].startswith("1")
        self._receive = receive
        self._send = send
        self._work = work
        self.outcome = Outcome.NOT_RUN
        self.has_answer = False

    async def receive(self) -> Message:
        """Hand on what the caller sends, and see whether its body is whole."""
        message = await self._receive()
        if message["type"] == "http.request" and not message.get("more_body", False):
            self.outcome = Outcome.UNKNOWN
        return message

    async def send(self, message: Message) -> None:
        """Hand on what the caller is told; close its connection if the host leaves."""
        if message["type"] == "http.response.start":
            self.has_answer = True
            if self._is_http_1 and self._work.is_leaving:
                message = {**message, "headers": [*message.get("headers", []), _CLOSE]}
        await self._send(message)
