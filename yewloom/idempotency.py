"""Runs unsafe requests at most once, by claiming their idempotency keys before sending them."""

from collections.abc import Awaitable, Callable

from result import Err, Ok

from yewloom.claim_writer import ClaimWriter
from yewloom.claims import ClaimAnswer, ClaimRequest, ClaimResult, Verdict
from yewloom.ids import AttemptId, EntryHostId, IdempotencyKey
from yewloom.problems import Problem, overloaded_problem, unavailable_problem
from yewloom.schema.records_pb2 import Claim
from yewloom.states import ClaimState, Outcome
from yewloom.values import value_class


@value_class
class StoredResponse:
    """A complete response that can be returned again for the same key."""

    status: int
    content_type: str
    body: bytes


class IdempotentRunner:
    """Runs the request of each idempotency key at most once in the fleet."""

    def __init__(
        self, claims: ClaimWriter, holder: EntryHostId, new_attempt: Callable[[], AttemptId]
    ) -> None:
        self._claims = claims
        self._holder = holder
        self._new_attempt = new_attempt

    async def run(
        self, key: IdempotencyKey, run: Callable[[], Awaitable[StoredResponse]]
    ) -> StoredResponse:
        """Run a request, or return the stored response of its earlier run; may raise Problem."""
        claim = ClaimRequest(key, self._new_attempt(), self._holder)
        earlier = await self.claim(claim)
        if earlier is not None:
            return earlier
        try:
            response = await run()
        except Problem as problem:
            if problem.outcome is Outcome.NOT_RUN:
                self.store_result(claim, ClaimState.RELEASED)
            raise
        self.store_result(claim, ClaimState.DONE, response)
        return response

    async def claim(self, claim: ClaimRequest) -> StoredResponse | None:
        """Claim a key; return the stored response if its request has already run.

        Raise Problem if the request must not run.
        """
        match await self._claims.claim(claim):
            case Ok(answer):
                return _check_verdict(answer)
            case Err(error):
                raise unavailable_problem(
                    f"The platform can't record the idempotency key now ({error.detail}), so the "
                    "request was not run.",
                    Outcome.NOT_RUN,
                )

    def store_result(
        self, claim: ClaimRequest, state: ClaimState, response: StoredResponse | None = None
    ) -> None:
        """Store the result of a claimed request."""
        result = ClaimResult(claim.key, claim.attempt, state)
        if response is not None:
            result = ClaimResult(
                claim.key,
                claim.attempt,
                state,
                response.status,
                response.content_type,
                response.body,
            )
        self._claims.store_result(result)


def _check_verdict(answer: ClaimAnswer) -> StoredResponse | None:
    if answer.verdict is Verdict.RUN:
        return None
    if answer.verdict is Verdict.FULL:
        raise overloaded_problem("The record of idempotency keys is full.", 5.0)
    assert answer.earlier is not None
    if answer.verdict is Verdict.ANSWERED:
        return StoredResponse(
            answer.earlier.status, answer.earlier.content_type, answer.earlier.body
        )
    raise _conflict_problem(answer.earlier)


def _conflict_problem(earlier: Claim) -> Problem:
    if earlier.state == ClaimState.DONE.value:
        detail = "An earlier request with this key has run; its answer was not kept."
    else:
        detail = "An earlier request with this key is running, or was cut off while it ran."
    return Problem(409, "Conflict", detail, Outcome.UNKNOWN, 1.0)
