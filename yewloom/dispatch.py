"""Dispatch of model requests: admission, routing, calls to engines, and streaming of the response.

The decisions are made in other modules (``admission``, ``routing``, ``retries``, ``streams``); this
module carries them out.
"""

from collections import defaultdict
from collections.abc import AsyncGenerator, Mapping
from contextlib import aclosing
from functools import cache

import structlog
import trio

from yewloom.admission import AdmissionRequest
from yewloom.endpoints import EndpointError, Endpoints, GenerateCall
from yewloom.experiments import Side, assign_side, policy_for_side
from yewloom.ids import DataCentreId, GroupId, HostId, ModelName, PolicyName, RequestId
from yewloom.node import Node
from yewloom.places import SlotPool
from yewloom.prefixes import block_hashes
from yewloom.problems import Problem, bad_request_problem, unavailable_problem
from yewloom.progress import Progress
from yewloom.recovery import next_step
from yewloom.requests import ModelRequest, ShareLookup, TokenBatch, to_admission_request
from yewloom.retries import AttemptTracker, CallFailure, NextStep, RetryBudget
from yewloom.routing import (
    Candidate,
    RoundRobinCounter,
    RouteRequest,
    choose_group,
    default_routing,
)
from yewloom.schema.records_pb2 import Group
from yewloom.schema.table_pb2 import PolicyRow
from yewloom.states import Outcome
from yewloom.streams import StreamAssembler, StreamOverflowError, StreamPosition
from yewloom.work import TaskStarter

logger = structlog.get_logger(__name__)

_CANCEL_TIMEOUT_S = 2.0


class Dispatcher:
    """Dispatches the model requests of one entry host."""

    def __init__(
        self,
        node: Node,
        slots: SlotPool,
        endpoints: Endpoints,
        tasks: TaskStarter,
        share_of: ShareLookup,
        budget: RetryBudget,
    ) -> None:
        self._settings = node.settings
        self._table = node.table
        self._fleet = node.fleet
        self._prefixes = node.prefixes
        self._membership = node.membership
        self._slots = slots
        self._endpoints = endpoints
        self._metrics = node.metrics
        self._tasks = tasks
        self._rng = node.rng
        self._pauses = node.pauses
        self._share_of = share_of
        self._turns = RoundRobinCounter()
        self._experiments = node.experiments
        self._crashes = node.crashes
        self._coalesce_s = node.settings.requests.coalesce_ms / 1000
        # Cached, since looking up a metric by its label costs more than counting a token.
        self._first_token_s = cache(node.metrics.first_token_s.labels)
        self._between_tokens_s = cache(node.metrics.between_tokens_s.labels)
        self._budget = budget
        self._sent_s: defaultdict[GroupId, dict[RequestId, float]] = defaultdict(dict)

    async def generate(self, request: ModelRequest) -> AsyncGenerator[TokenBatch, None]:
        """Yield the tokens of a request in order; raise Problem if it cannot be answered."""
        async with self._slots.acquire(self._admission_request(request)):
            progress = self._start_progress(request)
            try:
                async with aclosing(self._attempts(progress)) as attempts:
                    async for tokens in attempts:
                        yield tokens
            except Problem as problem:
                self._record_observation(progress, problem.outcome)
                raise
            self._record_observation(progress, Outcome.ANSWERED)

    async def resume(
        self, request: ModelRequest, position: StreamPosition
    ) -> AsyncGenerator[TokenBatch, None]:
        """Yield the rest of a stream that this or another entry host has started."""
        group = self._fleet.group(position.group_id)
        if group is None or group.generation != position.generation:
            raise unavailable_problem(
                "The stream's group is gone; send the request again.", Outcome.UNKNOWN
            )
        async with self._slots.acquire(self._admission_request(request)):
            progress = self._start_progress(request)
            progress.assembler = StreamAssembler(
                position.request_id, position.generation, position.offset
            )
            progress.tracker = AttemptTracker(True, True, self._budget)
            progress.tracker.on_tokens_received()
            progress.group, progress.is_resuming = group, True
            async with aclosing(self._attempts(progress)) as attempts:
                async for tokens in attempts:
                    yield tokens

    def _start_progress(self, request: ModelRequest) -> Progress:
        policies = self._table.policies_for(request.model)
        if not policies:
            raise bad_request_problem(f"The model {request.model!r} is not served here.", 404)
        experiment, side, policy = self._assign_policy(request, policies)
        return Progress(
            request=request,
            policy=policy,
            experiment=experiment,
            side=side,
            tracker=AttemptTracker(request.is_unsafe, can_resume=True, budget=self._budget),
            assembler=StreamAssembler(request.request_id, 0),
            arrived_s=trio.current_time(),
        )

    def _admission_request(self, request: ModelRequest) -> AdmissionRequest:
        share = self._share_of(request.customer, request.customer_row)
        return to_admission_request(request, float(request.max_tokens), share, trio.current_time())

    def _assign_policy(
        self, request: ModelRequest, policies: Mapping[PolicyName, PolicyRow]
    ) -> tuple[str, Side, PolicyName]:
        """Return the experiment that a request is part of, its side, and the policy to use."""
        for name, row in self._table.experiments().items():
            side = assign_side(name, row, request.session)
            if row.model == request.model and policy_for_side(side, row) in policies:
                return name, side, policy_for_side(side, row)
        return "", Side.A, next(iter(policies))

    def _record_observation(self, progress: Progress, outcome: Outcome) -> None:
        """Record the result of a request for its experiment."""
        if progress.experiment:
            record = self._experiments[progress.experiment]
            record.add(progress.request.session, progress.observation(outcome))

    async def _attempts(self, progress: Progress) -> AsyncGenerator[TokenBatch, None]:
        """Call engines until the response is complete; raise Problem if the request is given up."""
        while not progress.assembler.is_complete:
            if progress.group is None:
                self._route(progress)
            try:
                async with aclosing(self._attempt(progress)) as attempt:
                    async for tokens in attempt:
                        yield tokens
            except EndpointError as error:
                self._handle_failure(error, progress)
        self._budget.on_success()
        self._crashes.on_answered(progress.request)

    def _handle_failure(self, error: EndpointError, progress: Progress) -> None:
        group, request = progress.group, progress.request
        assert group is not None
        self._pauses.record(_leader_of(group), error.pause, trio.current_time())
        self._crashes.on_failure(error, progress, group)
        if progress.is_resuming and error.failure in (CallFailure.CONNECT, CallFailure.REFUSED):
            # The stream was started earlier, so a refusal to resume leaves its outcome unknown.
            error = EndpointError(CallFailure.ENDPOINT_ERROR, str(error))
        step = next_step(error, progress.tracker, request, self._metrics)
        progress.is_resuming = step is NextStep.RESUME
        if step is NextStep.REROUTE:
            self._fleet.on_call_failed(GroupId(group.id), trio.current_time())
            progress.failed_groups.add(GroupId(group.id))
            progress.group = None

    async def _attempt(self, progress: Progress) -> AsyncGenerator[TokenBatch, None]:
        """Make one call and yield the tokens that it adds to the response.

        Tokens that arrive within ``coalesce_ms`` are sent together, since each event of the
        caller's stream has a cost, however many tokens it contains.
        """
        group = progress.group
        assert group is not None
        request, group_id = progress.request, GroupId(group.id)
        if self._pause_s(group):
            raise EndpointError(CallFailure.REFUSED, "the leader asked for a pause")
        call = self._generate_call(progress, group)
        address = group.members[0].address
        self._sent_s[group_id][request.request_id] = trio.current_time()
        has_ended, progress.responding_since_s = False, None
        try:
            stall_timeout_s = self._stall_timeout_s(request)
            async with self._endpoints.generate(address, call, stall_timeout_s) as chunks:
                async for chunk in chunks:
                    progress.note_response(trio.current_time())
                    progress.pending_tokens += progress.assembler.accept(chunk)
                    if progress.should_flush(trio.current_time(), self._coalesce_s):
                        yield self._flush(progress, group)
                    if progress.assembler.is_complete:
                        break
                    if trio.current_time() >= request.deadline_s:
                        raise EndpointError(CallFailure.STALLED, "the time left ran out")
            if not progress.assembler.is_complete:
                raise EndpointError(CallFailure.CONNECTION_LOST, "the stream ended early")
            has_ended = True
        except StreamOverflowError as error:
            raise EndpointError(CallFailure.CONNECTION_LOST, str(error)) from error
        except EndpointError:
            has_ended = True
            if progress.pending_tokens:
                yield self._flush(progress, group)
            raise
        finally:
            self._sent_s[group_id].pop(request.request_id, None)
            if not has_ended:
                self._tasks.start_soon(self._cancel_later, address, call.request_id)

    def _stall_timeout_s(self, request: ModelRequest) -> float:
        """Return how long an engine may send no data; at most until the request's deadline."""
        remaining_s = request.deadline_s - trio.current_time()
        return max(0.0, min(self._settings.requests.stall_timeout_ms / 1000, remaining_s))

    def _generate_call(self, progress: Progress, group: Group) -> GenerateCall:
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
            delivered_tokens=tuple(progress.delivered),
        )

    def _flush(self, progress: Progress, group: Group) -> TokenBatch:
        """Return the pending tokens, and update the progress and metrics."""
        tokens, progress.pending_tokens = progress.pending_tokens, []
        progress.tracker.on_tokens_received()
        progress.delivered += tokens
        now_s = trio.current_time()
        if progress.last_token_s is None:
            to_first_token_s = now_s - progress.arrived_s
            self._first_token_s(progress.policy).observe(to_first_token_s)
            progress.first_token_s = now_s
        else:
            gap_s = (now_s - progress.last_token_s) / max(len(tokens), 1)
            self._between_tokens_s(progress.policy).observe(gap_s)
        progress.last_token_s = now_s
        self._metrics.delivered_tokens.inc(len(tokens))
        assembler = progress.assembler
        position = StreamPosition(
            GroupId(group.id), group.generation, assembler.request_id, assembler.offset
        )
        finish_reason = assembler.finish_reason if assembler.is_complete else ""
        return TokenBatch(tuple(tokens), position, finish_reason)

    def _route(self, progress: Progress) -> None:
        """Choose a group for a request; raise Problem if none is open."""
        request = progress.request
        self._crashes.check(progress)
        hashes = block_hashes(request.prompt)
        candidates = self._candidates(request.model, hashes)
        route_request = RouteRequest(
            model=request.model,
            data_centre=self._data_centre,
            prompt_characters=len(request.prompt),
            failed_groups=frozenset(progress.failed_groups),
            entry_hosts=len(self._membership.alive_in(self._data_centre, trio.current_time())),
        )
        policy = self._table.policies()[progress.policy]
        routing_field = policy.WhichOneof("routing")
        routing = getattr(policy, routing_field) if routing_field else default_routing()
        route = choose_group(routing, route_request, candidates, self._rng, self._turns)
        if route is None:
            raise unavailable_problem(
                "No group is open for this model now.",
                progress.tracker.outcome,
                self._pauses.retry_after_s(self._pause_waits_s(request.model)),
            )
        group = self._fleet.group(route.group_id)
        assert group is not None
        logger.info(
            "routed",
            request_id=request.request_id,
            customer=request.customer,
            group=group.id,
            generation=group.generation,
            policy=progress.policy,
            experiment=progress.experiment,
            reason=route.reason,
        )
        self._prefixes.add_expected_blocks(route.group_id, group.generation, hashes)
        progress.group = group
        progress.assembler.switch_replica(group.generation)

    def _candidates(self, model: ModelName, hashes: list[int]) -> list[Candidate]:
        return [
            Candidate(
                group_id=GroupId(group.id),
                data_centre=data_centre,
                reported_load=report.running + report.waiting,
                capacity=report.capacity,
                sent_since_report=self._count_sent_since(GroupId(group.id), report.observed_s),
                matched_blocks=self._prefixes.matched_blocks(GroupId(group.id), hashes),
            )
            for data_centre, group, report in self._fleet.open_groups(trio.current_time())
            if group.model == model and not self._pause_s(group)
        ]

    def _pause_s(self, group: Group) -> float:
        """Return the time until the leader of a group accepts requests from this host."""
        return self._pauses.wait_s(_leader_of(group), trio.current_time())

    def _pause_waits_s(self, model: ModelName) -> list[float]:
        """Return the time until each group of a model accepts requests from this host.

        A leader that has asked for a pause counts even if its refusal has closed its group.
        """
        groups = [group for _, group in self._fleet.groups() if group.model == model]
        waits_s = {group.id: self._pause_s(group) for group in groups}
        now_s = trio.current_time()
        return [waits_s[g.id] for g in groups if waits_s[g.id] or self._fleet.is_open(g, now_s)]

    def _count_sent_since(self, group_id: GroupId, observed_s: float) -> int:
        return sum(sent_s >= observed_s for sent_s in self._sent_s[group_id].values())

    async def _cancel_later(self, address: str, request_id: RequestId) -> None:
        """Cancel an abandoned stream once its caller has had time to reconnect and resume it."""
        await trio.sleep(self._settings.requests.reconnect_grace_ms / 1000)
        with trio.move_on_after(_CANCEL_TIMEOUT_S):
            await self._endpoints.cancel(address, request_id)

    @property
    def _data_centre(self) -> DataCentreId:
        return DataCentreId(self._settings.host.data_centre)


def _leader_of(group: Group) -> HostId:
    """Return the host that gets the requests of a group."""
    return HostId(group.members[0].host_id)
