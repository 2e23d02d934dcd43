"""Caller interface of yewloomd: OpenAI-compatible HTTP, and a route for plain services."""

import hashlib
import hmac
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import aclosing

import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from yewloom.claims import ClaimRequest
from yewloom.completions import (
    END_EVENT,
    ChunkWriter,
    CompletionKind,
    CompletionRequest,
    complete_response_body,
    error_event,
    parse_completion,
)
from yewloom.dispatch import Dispatcher
from yewloom.endpoints import ServiceCall
from yewloom.experiments import ExperimentRecord
from yewloom.headers import (
    deadline_s,
    idempotency_key,
    is_marked_unsafe,
    is_unsafe_path,
    new_request_id,
)
from yewloom.idempotency import IdempotentRunner, StoredResponse
from yewloom.ids import AttemptId, CustomerId, IdempotencyKey, ServiceName
from yewloom.node import Node
from yewloom.problems import OVERLOADED_STATUS, Problem, bad_request_problem, unavailable_problem
from yewloom.requests import ModelRequest, ServiceRequest, TokenBatch
from yewloom.responses import (
    EventStream,
    respond_problem,
    respond_unknown_path,
    while_connected,
)
from yewloom.schema.table_pb2 import CustomerRow
from yewloom.service_dispatch import ServiceDispatcher
from yewloom.states import ClaimState, Outcome
from yewloom.status import describe, metrics_text
from yewloom.streams import parse_position

_FORWARDED_HEADERS = {"content-type", "accept", "idempotency-key"}
_SERVICE_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


class CallerInterface:
    """Converts HTTP requests to dispatched requests and their outcomes to responses."""

    def __init__(
        self,
        node: Node,
        models: Dispatcher,
        services: ServiceDispatcher,
        runner: IdempotentRunner,
        new_attempt: Callable[[], AttemptId],
    ) -> None:
        self._node = node
        self._models_dispatcher = models
        self._services_dispatcher = services
        self._runner = runner
        self._new_attempt = new_attempt

    def application(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/v1/chat/completions", self._serve_chat_completion, methods=["POST"]),
            Route("/v1/completions", self._serve_text_completion, methods=["POST"]),
            Route("/v1/models", self._serve_models),
            Route("/services/{service}/{path:path}", self._serve_service, methods=_SERVICE_METHODS),
            Route("/healthz", self._serve_healthz),
            Route("/readyz", self._serve_readyz),
            Route("/metrics", self._serve_metrics),
            Route("/status", self._serve_status),
            Route("/experiments/{name}", self._serve_experiment),
        ]
        handlers = {Problem: respond_problem, 404: respond_unknown_path}
        return Starlette(routes=routes, exception_handlers=handlers)  # type: ignore[arg-type]

    async def _serve_chat_completion(self, request: Request) -> Response:
        return await self._serve_completion(request, CompletionKind.CHAT)

    async def _serve_text_completion(self, request: Request) -> Response:
        return await self._serve_completion(request, CompletionKind.TEXT)

    async def _serve_completion(self, request: Request, kind: CompletionKind) -> Response:
        customer, row = self._authenticate(request)
        completion = parse_completion(kind, await self._read_body(request))
        self._check_model(completion)
        model_request = self._model_request(request, completion, customer, row)
        key = idempotency_key(request, customer)
        last_event = request.headers.get("last-event-id")
        if last_event is not None:
            return await self._resume_stream(completion, model_request, last_event)
        if completion.is_stream:
            response = self._start_stream(completion, model_request, key)
        else:
            response = self._complete_response(completion, model_request, key)
        # A request with a key continues after a disconnect, so that its answer is kept for a retry.
        return await (response if key is not None else while_connected(request, response))

    async def _complete_response(
        self, completion: CompletionRequest, request: ModelRequest, key: IdempotencyKey | None
    ) -> Response:
        async def run() -> StoredResponse:
            tokens: list[str] = []
            finish_reason = ""
            async with aclosing(self._models_dispatcher.generate(request)) as stream:
                async for batch in stream:
                    tokens += batch.tokens
                    finish_reason = batch.finish_reason
            body = complete_response_body(completion, request.request_id, tokens, finish_reason)
            return StoredResponse(200, "application/json", body)

        return await self._run_and_count(request.customer, key, run)

    async def _start_stream(
        self, completion: CompletionRequest, request: ModelRequest, key: IdempotencyKey | None
    ) -> Response:
        claim = None
        if key is not None:
            claim = ClaimRequest(key, self._new_attempt(), self._node.id)
            earlier_answer = await self._runner.claim(claim)
            if earlier_answer is not None:
                raise Problem(
                    409,
                    "Conflict",
                    "An earlier request with this key has run; ask for its answer without stream.",
                    Outcome.UNKNOWN,
                )
        stream = self._models_dispatcher.generate(request)
        return await self._stream_response(completion, request, stream, claim)

    async def _resume_stream(
        self, completion: CompletionRequest, request: ModelRequest, last_event: str
    ) -> Response:
        position = parse_position(last_event)
        if position is None or not completion.is_stream:
            raise bad_request_problem(
                "Last-Event-ID must be the id of an event of a stream sent here."
            )
        stream = self._models_dispatcher.resume(request, position)
        return await self._stream_response(completion, request, stream, None)

    async def _stream_response(
        self,
        completion: CompletionRequest,
        request: ModelRequest,
        stream: AsyncGenerator[TokenBatch, None],
        claim: ClaimRequest | None,
    ) -> Response:
        """Wait for the first tokens, so that an earlier failure gets a proper HTTP status."""
        try:
            first = await anext(stream)
        except Problem as problem:
            self._count_problem(request.customer, problem)
            if claim is not None and problem.outcome is Outcome.NOT_RUN:
                self._runner.store_result(claim, ClaimState.RELEASED)
            raise
        events = self._events(completion, request, first, stream, claim)
        return EventStream(events, headers={"x-request-id": request.request_id})

    async def _events(
        self,
        completion: CompletionRequest,
        request: ModelRequest,
        first: TokenBatch,
        stream: AsyncGenerator[TokenBatch, None],
        claim: ClaimRequest | None,
    ) -> AsyncIterator[bytes]:
        writer = ChunkWriter(completion, request.request_id)
        try:
            async with aclosing(stream) as rest:
                yield _event(writer, first)
                async for batch in rest:
                    yield _event(writer, batch)
            yield END_EVENT
        except Problem as problem:
            self._count_problem(request.customer, problem)
            yield error_event(problem.to_json())
            return
        self._count(request.customer, Outcome.ANSWERED)
        if claim is not None:
            self._runner.store_result(claim, ClaimState.DONE)

    async def _serve_service(self, request: Request) -> Response:
        customer, customer_row = self._authenticate(request)
        service = ServiceName(request.path_params["service"])
        row = self._node.table.services().get(service)
        if row is None:
            raise bad_request_problem(f"The service {service!r} is not known here.", 404)
        path = "/" + request.path_params["path"]
        call = ServiceCall(
            method=request.method,
            path=path + (f"?{request.url.query}" if request.url.query else ""),
            headers={n: v for n, v in request.headers.items() if n in _FORWARDED_HEADERS},
            body=await self._read_body(request),
        )
        key = idempotency_key(request, customer)
        service_request = ServiceRequest(
            request_id=new_request_id(),
            customer=customer,
            customer_row=customer_row,
            service=service,
            call=call,
            deadline_s=min(
                self._deadline_s(request),
                trio.current_time() + row.timeout_ms / 1000,
            ),
            is_unsafe=key is not None or is_marked_unsafe(request) or is_unsafe_path(row, path),
        )

        async def run() -> StoredResponse:
            response = await self._services_dispatcher.call_service(service_request)
            content_type = response.headers.get("content-type", "application/octet-stream")
            return StoredResponse(response.status, content_type, response.body)

        return await self._run_and_count(customer, key, run)

    async def _run_and_count(
        self,
        customer: CustomerId,
        key: IdempotencyKey | None,
        run: Callable[[], Awaitable[StoredResponse]],
    ) -> Response:
        try:
            answer = await (run() if key is None else self._runner.run(key, run))
        except Problem as problem:
            self._count_problem(customer, problem)
            raise
        self._count(customer, Outcome.ANSWERED)
        headers = {"x-outcome": Outcome.ANSWERED.value}
        return Response(answer.body, answer.status, headers, answer.content_type)

    async def _serve_models(self, request: Request) -> Response:
        self._authenticate(request)
        names = sorted({row.model for row in self._node.table.policies().values()})
        data = [{"id": n, "object": "model", "created": 0, "owned_by": "yewloom"} for n in names]
        return JSONResponse({"object": "list", "data": data})

    async def _serve_healthz(self, request: Request) -> Response:
        return JSONResponse({"status": "ok"})

    async def _serve_readyz(self, request: Request) -> Response:
        is_ready = self._node.is_ready
        return JSONResponse({"ready": is_ready}, status_code=200 if is_ready else 503)

    async def _serve_metrics(self, request: Request) -> Response:
        return Response(metrics_text(self._node), media_type="text/plain; version=0.0.4")

    async def _serve_status(self, request: Request) -> Response:
        return JSONResponse(describe(self._node, trio.current_time()))

    async def _serve_experiment(self, request: Request) -> Response:
        record = self._node.experiments.get(request.path_params["name"], ExperimentRecord())
        return JSONResponse(record.to_fields())

    def _authenticate(self, request: Request) -> tuple[CustomerId, CustomerRow]:
        """Return the customer whose API key the request carries; always compares every row."""
        if not self._node.accepts_requests:
            raise unavailable_problem(
                "This entry host is not ready or is stopping.", Outcome.NOT_RUN
            )
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        found = None
        for name, row in self._node.table.customers().items():
            if hmac.compare_digest(digest, row.key_digest.lower()):
                found = (name, row)
        if scheme.lower() != "bearer" or found is None:
            raise bad_request_problem("The key is missing or belongs to no customer.", 401)
        return found

    async def _read_body(self, request: Request) -> bytes:
        limit = self._node.settings.requests.max_body_bytes
        body = bytearray()
        async for chunk in request.stream():
            body += chunk
            if len(body) > limit:
                raise bad_request_problem(f"The body is larger than {limit} bytes.", 413)
        return bytes(body)

    def _check_model(self, completion: CompletionRequest) -> None:
        if not self._node.table.policies_for(completion.model):
            raise bad_request_problem(f"The model {completion.model!r} is not served here.", 404)

    def _model_request(
        self,
        request: Request,
        completion: CompletionRequest,
        customer: CustomerId,
        row: CustomerRow,
    ) -> ModelRequest:
        session = request.headers.get("x-session-id") or completion.user or completion.prompt[:64]
        return ModelRequest(
            request_id=new_request_id(),
            customer=customer,
            customer_row=row,
            model=completion.model,
            prompt=completion.prompt,
            max_tokens=completion.max_tokens,
            session=f"{customer}/{session}",
            deadline_s=self._deadline_s(request),
            is_unsafe="idempotency-key" in request.headers or is_marked_unsafe(request),
        )

    def _deadline_s(self, request: Request) -> float:
        """Return the deadline of a request, less the time it may have waited before it was read."""
        node = self._node
        return deadline_s(request, node.settings.requests.timeout_ms, node.loop_delay.delay_s())

    def _count_problem(self, customer: CustomerId, problem: Problem) -> None:
        self._count(customer, problem.outcome)
        if problem.status == OVERLOADED_STATUS:
            self._node.metrics.rejected_requests.labels(customer).inc()

    def _count(self, customer: CustomerId, outcome: Outcome) -> None:
        self._node.metrics.requests.labels(customer, outcome.value).inc()


def _event(writer: ChunkWriter, batch: TokenBatch) -> bytes:
    return writer.event(str(batch.position), "".join(batch.tokens), batch.finish_reason)
