"""Dispatch: carries a request from admission to an endpoint and its whole answer back.

Each decision is made elsewhere (``admission``, ``routing``, ``retries``, ``streams``); this module
makes the calls that they ask for.
"""

import random
from collections import defaultdict
from collections.abc import AsyncGenerator, Callable, Mapping
from contextlib import aclosing
from dataclasses import dataclass, field

import structlog
import trio

from yewloom.admission import Arrival
from yewloom.endpoints import EndpointError, Endpoints, GenerateCall, ServiceCall
from yewloom.experiments import assign_side, policy_of
from yewloom.fleet import Fleet
from yewloom.http_calls import HttpAnswer
from yewloom.ids import CustomerId, DataCentreId, GroupId, HostId, ModelName, PolicyName, RequestId
from yewloom.metrics import Metrics
from yewloom.places import Places
from yewloom.prefixes import PrefixIndex, block_hashes
from yewloom.problems import bad_request, unavailable
from yewloom.retries import AttemptTracker, CallFailure, NextStep, RetryBudget
from yewloom.routing import Candidate, RouteRequest, TurnCounter, choose_group
from yewloom.schema.records_pb2 import Group
from yewloom.schema.settings_pb2 import Settings
from yewloom.schema.table_pb2 import CustomerRow, PolicyRow, ScoreRouting
from yewloom.states import Outcome
from yewloom.streams import StreamAssembler, StreamOverflowError, StreamPosition
from yewloom.tables import Table

logger = structlog.get_logger(__name__)

_CANCEL_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class ModelRequest:
    """A request for tokens; ``deadline_s`` is on the runtime's clock."""

    request_id: RequestId
    customer: CustomerId
    customer_row: CustomerRow
    model: ModelName
    prompt: str
    max_tokens: int
    session: str
    deadline_s: float
    is_unsafe: bool = False


@dataclass(frozen=True)
class ServiceRequest:
    """A call of a plain service."""

    request_id: RequestId
    customer: CustomerId
    customer_row: CustomerRow
    service: str
    call: ServiceCall
    deadline_s: float
    is_unsafe: bool = False


@dataclass(frozen=True)
class Tokens:
    """Tokens in order, with the caller's place after them; the last ones end the answer."""

    tokens: tuple[str, ...]
    position: StreamPosition
    finish_reason: str = ""


@dataclass
class _Progress:
    """State of one model request while it is dispatched."""

    request: ModelRequest
    policy: PolicyName
    tracker: AttemptTracker
    assembler: StreamAssembler
    arrived_s: float
    delivered: list[str] = field(default_factory=list)
    avoid: set[GroupId] = field(default_factory=set)
    group: Group | None = None
    is_resuming: bool = False
    last_token_s: float | None = None


class Dispatcher:
    """Dispatches the requests of one entry host."""

    def __init__(
        self,
        settings: Settings,
        table: Table,
        fleet: Fleet,
        prefixes: PrefixIndex,
        places: Places,
        endpoints: Endpoints,
        metrics: Metrics,
        nursery: trio.Nursery,
        rng: random.Random,
        share_of: Callable[[CustomerId, CustomerRow], int],
    ) -> None:
        self._settings = settings
        self._table = table
        self._fleet = fleet
        self._prefixes = prefixes
        self._places = places
        self._endpoints = endpoints
        self._metrics = metrics
        self._nursery = nursery
        self._rng = rng
        self._share_of = share_of
        self._turns = TurnCounter()
        self._budget = RetryBudget(settings.requests.retry_ratio, settings.requests.retry_burst)
        self._sent: defaultdict[GroupId, dict[RequestId, float]] = defaultdict(dict)

    async def generate(self, request: ModelRequest) -> AsyncGenerator[Tokens, None]:
        """Yield the tokens of a request in order; raises Problem if it can't be answered."""
        async with self._places.hold(self._arrival(request, float(request.max_tokens))):
            progress = self._start(request)
            async with aclosing(self._attempts(progress)) as attempts:
                async for tokens in attempts:
                    yield tokens

    async def resume(
        self, request: ModelRequest, position: StreamPosition
    ) -> AsyncGenerator[Tokens, None]:
        """Yield the rest of a stream that another entry host may have begun."""
        group = self._fleet.group(position.group_id)
        if group is None or group.generation != position.generation:
            raise unavailable(
                "The stream's group is gone; send the request again.", Outcome.UNKNOWN
            )
        async with self._places.hold(self._arrival(request, float(request.max_tokens))):
            progress = self._start(request)
            progress.assembler = StreamAssembler(
                position.request_id, position.generation, position.offset
            )
            progress.tracker = AttemptTracker(True, True, self._budget)
            progress.tracker.on_progress()
            progress.group, progress.is_resuming = group, True
            async with aclosing(self._attempts(progress)) as attempts:
                async for tokens in attempts:
                    yield tokens

    async def call_service(self, request: ServiceRequest) -> HttpAnswer:
        """Return a plain service's answer; raises Problem if there is none."""
        async with self._places.hold(self._arrival(request, 1.0)):
            tracker = AttemptTracker(request.is_unsafe, can_resume=False, budget=self._budget)
            avoid: set[HostId] = set()
            while True:
                host_id, address = self._choose_service(request, avoid, tracker.outcome)
                try:
                    answer = await self._endpoints.call_service(
                        address,
                        request.call,
                        request.deadline_s - trio.current_time(),
                        request.is_unsafe,
                    )
                except EndpointError as error:
                    self._fleet.on_service_failed(host_id, trio.current_time())
                    avoid.add(host_id)
                    self._step_after(error, tracker, request.request_id, request.deadline_s)
                    continue
                self._budget.on_success()
                return answer

    def _start(self, request: ModelRequest) -> _Progress:
        policies = self._table.policies_for(request.model)
        if not policies:
            raise bad_request(f"The model {request.model!r} is not served here.", 404)
        return _Progress(
            request=request,
            policy=self._policy_for(request, policies),
            tracker=AttemptTracker(request.is_unsafe, can_resume=True, budget=self._budget),
            assembler=StreamAssembler(request.request_id, 0),
            arrived_s=trio.current_time(),
        )

    def _policy_for(
        self, request: ModelRequest, policies: Mapping[PolicyName, PolicyRow]
    ) -> PolicyName:
        for name, row in self._table.experiments().items():
            side_policy = policy_of(assign_side(name, row, request.session), row)
            if row.model == request.model and side_policy in policies:
                return side_policy
        return next(iter(policies))

    def _arrival(self, request: ModelRequest | ServiceRequest, cost: float) -> Arrival:
        return Arrival(
            request_id=request.request_id,
            customer=request.customer,
            weight=request.customer_row.weight,
            cost=cost,
            deadline_s=request.deadline_s,
            share=self._share_of(request.customer, request.customer_row),
        )

    async def _attempts(self, progress: _Progress) -> AsyncGenerator[Tokens, None]:
        """Make calls until the answer is whole or must be given up."""
        while not progress.assembler.is_whole:
            if progress.group is None:
                self._route(progress)
            try:
                async with aclosing(self._attempt(progress)) as attempt:
                    async for tokens in attempt:
                        yield tokens
            except EndpointError as error:
                self._after_failure(error, progress)
        self._budget.on_success()

    def _after_failure(self, error: EndpointError, progress: _Progress) -> None:
        group, request = progress.group, progress.request
        assert group is not None
        if progress.is_resuming and error.failure in (CallFailure.CONNECT, CallFailure.REFUSED):
            # The engine was asked to go on, not to start: a refusal leaves the outcome open.
            error = EndpointError(CallFailure.ENDPOINT_ERROR, str(error))
        step = self._step_after(error, progress.tracker, request.request_id, request.deadline_s)
        progress.is_resuming = step is NextStep.RESUME
        if step is NextStep.REROUTE:
            self._fleet.on_call_failed(GroupId(group.id), trio.current_time())
            progress.avoid.add(GroupId(group.id))
            progress.group = None

    def _step_after(
        self,
        error: EndpointError,
        tracker: AttemptTracker,
        request_id: RequestId,
        deadline_s: float,
    ) -> NextStep:
        """Decide what follows a failed call; raises Problem if the request is given up."""
        step = tracker.on_failure(error.failure, trio.current_time(), deadline_s)
        logger.info(
            "call failed",
            request_id=request_id,
            failure=error.failure.value,
            step=step.value,
            outcome=tracker.outcome.value,
            reason=str(error),
        )
        if step is NextStep.GIVE_UP:
            raise unavailable(f"The request was given up ({error}).", tracker.outcome)
        self._metrics.retries.labels(step.value).inc()
        return step

    async def _attempt(self, progress: _Progress) -> AsyncGenerator[Tokens, None]:
        """Make one call and yield what it adds to the answer."""
        group = progress.group
        assert group is not None
        request, group_id = progress.request, GroupId(group.id)
        call = self._call_for(progress, group)
        address = group.members[0].address
        self._sent[group_id][request.request_id] = trio.current_time()
        is_over = False
        try:
            stall_s = self._stall_timeout_s(request)
            async with self._endpoints.generate(address, call, stall_s) as pieces:
                async for piece in pieces:
                    released = progress.assembler.accept(piece)
                    if released or progress.assembler.is_whole:
                        yield self._passed_on(progress, group, released)
                    if progress.assembler.is_whole:
                        break
                    if trio.current_time() >= request.deadline_s:
                        raise EndpointError(CallFailure.STALLED, "the time left ran out")
            if not progress.assembler.is_whole:
                raise EndpointError(CallFailure.BROKEN, "the stream ended early")
            is_over = True
        except StreamOverflowError as error:
            raise EndpointError(CallFailure.BROKEN, str(error)) from error
        except EndpointError:
            is_over = True
            raise
        finally:
            self._sent[group_id].pop(request.request_id, None)
            if not is_over:
                self._nursery.start_soon(self._cancel_later, address, call.request_id)

    def _stall_timeout_s(self, request: ModelRequest) -> float:
        """Return the longest silence of an engine, within the time left to the request."""
        left_s = request.deadline_s - trio.current_time()
        return max(0.0, min(self._settings.requests.stall_timeout_ms / 1000, left_s))

    def _call_for(self, progress: _Progress, group: Group) -> GenerateCall:
        request = progress.request
        return GenerateCall(
            request_id=progress.assembler.request_id,
            group_id=group.id,
            generation=group.generation,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=request.customer_row.priority,
            offset=progress.assembler.offset,
            resume_only=progress.is_resuming,
            delivered=tuple(progress.delivered),
        )

    def _passed_on(self, progress: _Progress, group: Group, tokens: list[str]) -> Tokens:
        """Account for tokens that are about to go to the caller."""
        progress.tracker.on_progress()
        progress.delivered += tokens
        now_s = trio.current_time()
        if progress.last_token_s is None:
            waited_s = now_s - progress.arrived_s
            self._metrics.first_token_s.labels(progress.policy).observe(waited_s)
        else:
            gap_s = (now_s - progress.last_token_s) / max(len(tokens), 1)
            self._metrics.between_tokens_s.labels(progress.policy).observe(gap_s)
        progress.last_token_s = now_s
        self._metrics.tokens.inc(len(tokens))
        assembler = progress.assembler
        position = StreamPosition(
            GroupId(group.id), group.generation, assembler.request_id, assembler.offset
        )
        finish_reason = assembler.finish_reason if assembler.is_whole else ""
        return Tokens(tuple(tokens), position, finish_reason)

    def _route(self, progress: _Progress) -> None:
        """Choose a group for a request; raises Problem if none is open."""
        request = progress.request
        hashes = block_hashes(request.prompt)
        candidates = self._candidates(request.model, hashes)
        wanted = RouteRequest(
            model=request.model,
            data_centre=self._data_centre,
            prompt_characters=len(request.prompt),
            avoid=frozenset(progress.avoid),
        )
        policy = self._table.policies()[progress.policy]
        kind = policy.WhichOneof("routing")
        routing = (
            getattr(policy, kind) if kind else ScoreRouting(prefix_weight=1, distance_weight=1)
        )
        route = choose_group(routing, wanted, candidates, self._rng, self._turns)
        if route is None:
            raise unavailable("No group is open for this model now.", progress.tracker.outcome)
        group = self._fleet.group(route.group_id)
        assert group is not None
        logger.info(
            "routed",
            request_id=request.request_id,
            customer=request.customer,
            group=group.id,
            generation=group.generation,
            policy=progress.policy,
            reason=route.reason,
        )
        self._prefixes.expect(route.group_id, group.generation, hashes)
        progress.group = group
        progress.assembler.move_to(group.generation)

    def _candidates(self, model: ModelName, hashes: list[int]) -> list[Candidate]:
        return [
            Candidate(
                group_id=GroupId(group.id),
                data_centre=data_centre,
                reported=seen.running + seen.waiting,
                capacity=seen.capacity,
                own_unreported=self._sent_since(GroupId(group.id), seen.observed_s),
                matched_blocks=self._prefixes.matched_blocks(GroupId(group.id), hashes),
            )
            for data_centre, group, seen in self._fleet.open_groups(trio.current_time())
            if group.model == model
        ]

    def _sent_since(self, group_id: GroupId, observed_s: float) -> int:
        return sum(sent_s >= observed_s for sent_s in self._sent[group_id].values())

    def _choose_service(
        self, request: ServiceRequest, avoid: set[HostId], outcome: Outcome
    ) -> tuple[HostId, str]:
        """Choose a plain service's endpoint, a local one if there is one."""
        open_now = self._fleet.open_services(request.service, trio.current_time())
        usable = [entry for entry in open_now if entry[1].host_id not in avoid]
        local = [entry for entry in usable if entry[0] == self._data_centre]
        if not usable:
            raise unavailable(f"No endpoint of {request.service} is open now.", outcome)
        _, endpoint = self._rng.choice(local or usable)
        logger.info(
            "routed",
            request_id=request.request_id,
            customer=request.customer,
            service=request.service,
            endpoint=endpoint.host_id,
            reason="local endpoint" if local else "endpoint in another data centre",
        )
        return HostId(endpoint.host_id), endpoint.address

    async def _cancel_later(self, address: str, request_id: RequestId) -> None:
        """Cancel an abandoned stream unless its caller comes back in time."""
        await trio.sleep(self._settings.requests.reconnect_grace_ms / 1000)
        with trio.move_on_after(_CANCEL_TIMEOUT_S):
            await self._endpoints.cancel(address, request_id)

    @property
    def _data_centre(self) -> DataCentreId:
        return DataCentreId(self._settings.host.data_centre)
