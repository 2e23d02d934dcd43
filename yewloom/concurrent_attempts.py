"""Run attempts at several endpoints at the same time while the first ones are silent.

A stream whose endpoint has fallen silent may go on there: the endpoint may be slow or paused rather
than lost. So another endpoint is asked beside it, from the last event that the caller has, and all
attempts go on until one of them has the next event. That one answers the request from then on, and
the others are ended. An attempt that is turned away or breaks off leaves the others as they are.
"""

from typing import Protocol

import trio

from yewloom.caller_messages import CallerDisconnectedError
from yewloom.endpoint_choice import EndpointChooser
from yewloom.forward_request import Attempt, ForwardRequest
from yewloom.ids import HostId
from yewloom.nurseries import open_nursery


class AttemptRunner(Protocol):
    """Sends a request to one endpoint."""

    async def run(self, request: ForwardRequest, attempt: Attempt) -> bool:
        """Send a request to an endpoint; return whether its response is the one the caller gets.

        A stream has been forwarded by then; a buffered response is stored in the request.
        """
        ...


class ConcurrentAttempts:
    """Runs an attempt, and others beside it."""

    def __init__(self, runner: AttemptRunner, chooser: EndpointChooser) -> None:
        self._runner = runner
        self._chooser = chooser

    async def run(self, request: ForwardRequest, attempt: Attempt) -> bool:
        """Run an attempt and those that it asks for; return whether one of them answered.

        Only attempts at streams that may be resumed ask for others.
        """
        request.running.append(attempt)
        if request.route.is_resumable:
            return await _Attempts(self, request).run(attempt)
        return await self.run_one(request, attempt)

    def take_beside(self, request: ForwardRequest, silent: Attempt) -> Attempt | None:
        """Return an attempt to run beside a silent one, or None if there is none."""
        return self._chooser.take_beside(request, silent)

    async def run_one(self, request: ForwardRequest, attempt: Attempt) -> bool:
        """Run one attempt, which is listed as running; return whether the caller gets its response.

        It is listed before its task begins, so that another one may end it from the first moment.
        """
        try:
            return await self._runner.run(request, attempt)
        finally:
            request.running.remove(attempt)
            self._chooser.end_attempt(request, attempt)


class _Attempts:
    """The attempts of one request that run at the same time."""

    def __init__(self, attempts: ConcurrentAttempts, request: ForwardRequest) -> None:
        self._attempts = attempts
        self._request = request
        self._is_answered = False
        self._disconnected: CallerDisconnectedError | None = None

    async def run(self, first: Attempt) -> bool:
        """Run all attempts; return whether one answered. Raises CallerDisconnectedError."""
        async with open_nursery() as nursery:
            await self._run_one(first, nursery)
        if self._disconnected is not None:
            raise self._disconnected
        return self._is_answered

    async def _run_one(self, attempt: Attempt, nursery: trio.Nursery) -> None:
        def ask_another() -> HostId | None:
            another = self._attempts.take_beside(self._request, attempt)
            if another is None:
                return None
            self._request.running.append(another)
            nursery.start_soon(self._run_one, another, nursery)
            return another.endpoint.id

        attempt.ask_another = ask_another
        try:
            is_answered = await self._attempts.run_one(self._request, attempt)
            self._is_answered = self._is_answered or is_answered
        except CallerDisconnectedError as error:
            self._disconnected = error
            nursery.cancel_scope.cancel()
