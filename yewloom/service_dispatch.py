"""Dispatch of calls to plain services; an unsafe call is not retried if it may have run."""

import structlog
import trio

from yewloom.endpoint_announcements import RequestedPause
from yewloom.endpoints import EndpointError, Endpoints, requested_pause
from yewloom.http_calls import HttpResponse
from yewloom.ids import HostId
from yewloom.node import Node
from yewloom.places import SlotPool
from yewloom.problems import unavailable_problem
from yewloom.recovery import next_step
from yewloom.requests import ServiceRequest, ShareLookup, to_admission_request
from yewloom.retries import AttemptTracker, RetryBudget
from yewloom.states import Outcome

logger = structlog.get_logger(__name__)


class ServiceDispatcher:
    """Dispatches the calls to plain services of one entry host."""

    def __init__(
        self,
        node: Node,
        slots: SlotPool,
        endpoints: Endpoints,
        share_of: ShareLookup,
        budget: RetryBudget,
    ) -> None:
        self._node = node
        self._slots = slots
        self._endpoints = endpoints
        self._share_of = share_of
        self._budget = budget

    async def call_service(self, request: ServiceRequest) -> HttpResponse:
        """Return a plain service's response; raise Problem if there is none."""
        share = self._share_of(request.customer, request.customer_row)
        admission_request = to_admission_request(request, 1.0, share, trio.current_time())
        async with self._slots.acquire(admission_request):
            tracker = AttemptTracker(request.is_unsafe, can_resume=False, budget=self._budget)
            failed_hosts: set[HostId] = set()
            while True:
                host_id, address = self._choose_service(request, failed_hosts, tracker.outcome)
                try:
                    response = await self._endpoints.call_service(
                        address,
                        request.call,
                        request.deadline_s - trio.current_time(),
                        request.is_unsafe,
                    )
                except EndpointError as error:
                    self._record_pause(host_id, error.pause)
                    self._node.fleet.on_service_failed(host_id, trio.current_time())
                    failed_hosts.add(host_id)
                    next_step(error, tracker, request, self._node.metrics)
                    continue
                self._record_pause(host_id, requested_pause(response.status, response.headers))
                self._budget.on_success()
                return response

    def _record_pause(self, host_id: HostId, pause: RequestedPause) -> None:
        """Record the pause that an endpoint asks for, if any."""
        self._node.pauses.record(host_id, pause, trio.current_time())

    def _choose_service(
        self, request: ServiceRequest, failed_hosts: set[HostId], outcome: Outcome
    ) -> tuple[HostId, str]:
        """Choose a random open endpoint of a service, preferring the local data centre."""
        now_s, pauses = trio.current_time(), self._node.pauses
        open_endpoints = self._node.fleet.open_services(request.service, now_s)
        waits_s = {e.host_id: pauses.wait_s(HostId(e.host_id), now_s) for _, e in open_endpoints}
        usable = [
            entry
            for entry in open_endpoints
            if entry[1].host_id not in failed_hosts and not waits_s[entry[1].host_id]
        ]
        local = [entry for entry in usable if entry[0] == self._node.data_centre]
        if not usable:
            detail = f"No endpoint of {request.service} is open now."
            raise unavailable_problem(detail, outcome, pauses.retry_after_s(waits_s.values()))
        _, endpoint = self._node.rng.choice(local or usable)
        logger.info(
            "routed",
            request_id=request.request_id,
            customer=request.customer,
            service=request.service,
            endpoint=endpoint.host_id,
            reason="local endpoint" if local else "endpoint in another data centre",
        )
        return HostId(endpoint.host_id), endpoint.address
