"""Forwarding of callers' requests to endpoints: attempts, final answers and the line in the log."""

import itertools
import math
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

import structlog
import trio

from yewloom.attempts import FinalAnswer
from yewloom.caller_headers import HeaderCodec, RequestMarks
from yewloom.caller_messages import CallerGoneError, CallerRequest, Reply
from yewloom.configuration import ConfigurationBook
from yewloom.directory import Endpoint
from yewloom.endpoint_calls import Header
from yewloom.endpoint_choice import EndpointChoice
from yewloom.fingerprints import fingerprint_text
from yewloom.forward_metrics import ForwardMetrics
from yewloom.forward_request import ForwardRequest, Refusal
from yewloom.key_trust import KeyTrust
from yewloom.quarantine import Quarantine
from yewloom.request_admission import QUARANTINED, RequestAdmission
from yewloom.retry_window import RetryWindow
from yewloom.selection import Selector

logger = structlog.get_logger(__name__)

RETRY_AFTER_S = 0.25
"""When a refused caller should come back: endpoints' places free up several times a second."""

STOPPING_RETRY_AFTER_S = 0.0
"""When a caller should come back that a stopping host refused: at once, since another host answers,
which this one's stop leaves as it was."""

ANSWERED = "answered"
"""What became of a request whose caller has the whole answer of an endpoint."""

LIMITED = "endpoints limited"
"""Why a request is refused whose endpoints all name a limit that is reached."""

STOPPING = "host is stopping"
"""Why a stopping host refuses a request."""


class Attempts(Protocol):
    """Sends a request to one endpoint."""

    async def run(self, request: ForwardRequest, endpoint: Endpoint) -> bool:
        """Send a request to an endpoint; tell whether its answer is the caller's.

        A stream is with the caller by then; a whole answer is kept in the request.
        """
        ...


class Forwarder:
    """Answers callers' requests by way of endpoints."""

    def __init__(
        self,
        book: ConfigurationBook,
        codec: HeaderCodec,
        selector: Selector,
        retries: RetryWindow,
        attempts: Attempts,
        metrics: ForwardMetrics,
        key_trust: KeyTrust,
        is_ready: Callable[[], bool],
        choice: EndpointChoice,
        quarantine: Quarantine,
    ) -> None:
        self._book = book
        self._selector = selector
        self._retries = retries
        self._attempts = attempts
        self._metrics = metrics
        self._choice = choice
        self._timers: dict[trio.CancelScope, None] = {}  # In the order in which they began.
        self._admission = RequestAdmission(book, codec, selector, key_trust, is_ready, quarantine)

    async def handle(self, source: CallerRequest, reply: Reply) -> None:
        """Answer one request."""
        request = marks = None
        try:
            marks = self._admission.marks(source)
            request = self._admission.admit(source, reply, marks)
            self._admission.check_quarantine(request)
            self._retries.on_request(request.wanted.service, source.read_s)
            outcome = await self._forward(request)
        except Refusal as refusal:
            outcome = refusal.reason
            await self._send_refusal(reply, refusal)
        except (CallerGoneError, trio.Cancelled):
            # A caller that closes right behind its whole answer has been served.
            is_served = request is not None and request.record.is_answered and reply.is_whole
            outcome = ANSWERED if is_served else "caller gone"
            self._note_end(source, marks, request, reply, outcome)
            raise
        self._note_end(source, marks, request, reply, outcome)

    async def refuse(self, source: CallerRequest, reply: Reply) -> None:
        """Refuse a request that came after the host stopped taking any."""
        marks, outcome = None, STOPPING
        try:
            marks = self._admission.marks(source)
        except Refusal as refusal:
            outcome = f"{STOPPING}; {refusal.reason}"
        await self._send_refusal(reply, Refusal(503, STOPPING, STOPPING_RETRY_AFTER_S))
        self._note_end(source, marks, None, reply, outcome)

    def end_open(self, at_most: int = sys.maxsize) -> bool:
        """Give open requests their final answers, the oldest first; tell whether there were any."""
        open_timers = (timer for timer in self._timers if not timer.cancel_called)
        ended = list(itertools.islice(open_timers, at_most))
        for timer in ended:
            timer.cancel()
        return bool(ended)

    async def _forward(self, request: ForwardRequest) -> str:
        """Try endpoints until one answers; return what became of the request."""
        with self._time_limit(request):
            await self._try_endpoints(request)
        # Outside the limit: an answer that is here is passed on, also when the time has run out.
        if request.answer is not None:
            answer = request.answer
            await request.reply.send_whole(answer.status, answer.headers, answer.body)
        if request.reply.is_whole:
            return ANSWERED
        return await self._give_up(request)

    async def _try_endpoints(self, request: ForwardRequest) -> None:
        """Send a request to one endpoint after the other until one answers or none may get it."""
        try:
            while endpoint := self._choice.next(request):
                if await self._attempt(request, endpoint):
                    return
        finally:
            self._choice.drop_claim(request)

    @contextmanager
    def _time_limit(self, request: ForwardRequest) -> Iterator[None]:
        """Cancel the forwarding at the request's end, or when a planned stop ends it."""
        with trio.move_on_at(request.ends_s) as timer:
            self._timers[timer] = None
            try:
                yield
            finally:
                del self._timers[timer]

    async def _attempt(self, request: ForwardRequest, endpoint: Endpoint) -> bool:
        request.record.begin(endpoint.id)
        try:
            return await self._attempts.run(request, endpoint)
        finally:
            self._selector.end(endpoint.id)

    async def _give_up(self, request: ForwardRequest) -> str:
        """Give the final answer to a request that no endpoint answered."""
        if request.reply.is_started:
            return "cut off"  # Left unfinished, so that it can't look complete.
        is_out_of_time = trio.current_time() >= request.ends_s
        match request.record.final_answer(is_out_of_time):
            case FinalAnswer.REFUSED:
                refusal = self._refusal(request)
                await self._send_refusal(request.reply, refusal)
                return refusal.reason
            case FinalAnswer.MAY_HAVE_RUN:
                await request.reply.send_whole(502, [], b"")
                return "may have run"
            case FinalAnswer.TIMED_OUT:
                await request.reply.send_whole(504, [], b"")
                return "out of time"

    def _refusal(self, request: ForwardRequest) -> Refusal:
        """Return why a request that has not run is refused, and when it may come back."""
        if not self._choice.has_time_before_stop(request):
            return Refusal(503, STOPPING, STOPPING_RETRY_AFTER_S)
        limit_wait_s = self._choice.limit_wait_s(request)
        if limit_wait_s > 0:
            return Refusal(503, LIMITED, math.ceil(limit_wait_s * 100) / 100)
        return Refusal(503, "no endpoint free", RETRY_AFTER_S)

    async def _send_refusal(self, reply: Reply, refusal: Refusal) -> None:
        headers: list[Header] = []
        if refusal.retry_after_s is not None:
            headers.append((b"retry-after", f"{refusal.retry_after_s:g}".encode()))
        await reply.send_whole(refusal.status, headers, b"")

    def _note_end(
        self,
        source: CallerRequest,
        marks: RequestMarks | None,
        request: ForwardRequest | None,
        reply: Reply,
        outcome: str,
    ) -> None:
        """Write the one line that tells what became of a request, and count it and its time."""
        now_s = trio.current_time()
        took_ms = round((now_s - source.arrived_s) * 1000)
        if request is not None and outcome == ANSWERED:
            self._choice.durations.note(request.route.name, now_s - source.read_s)
        kind = request.route.kind.value if request is not None else "none"
        self._metrics.on_request(kind, reply.status, outcome, took_ms / 1000)
        logger.info(
            "request",
            request_id=marks.request_id if marks is not None else "",
            route=request.route.name if request is not None else source.path,
            outcome=outcome,
            status=reply.status,
            took_ms=took_ms,
            waited_ms=round((source.read_s - source.arrived_s) * 1000),
            first_ms=_since_ms(source, request),
            attempts=_attempts_text(request),
            number_on_connection=source.number_on_connection,
            stopping_ms=source.stopping_ms,
            configuration=request.configuration.version if request is not None else None,
            configuration_age_ms=self._book.stated_age_ms(now_s),
            **_fingerprint_fields(request, outcome),
        )


def _since_ms(source: CallerRequest, request: ForwardRequest | None) -> int | None:
    if request is None or request.first_event_s is None:
        return None
    return round((request.first_event_s - source.arrived_s) * 1000)


def _fingerprint_fields(request: ForwardRequest | None, outcome: str) -> dict[str, str]:
    """Return the name by which operators find and let go a request that is held."""
    if request is None or outcome != QUARANTINED:
        return {}
    return {"fingerprint": fingerprint_text(request.fingerprint)}


def _attempts_text(request: ForwardRequest | None) -> list[str]:
    if request is None:
        return []
    return [f"{endpoint} {state.value}" for endpoint, state in request.record.states.items()]
