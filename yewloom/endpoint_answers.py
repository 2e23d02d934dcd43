"""The latest answers of a service's endpoints, and how those that failed did so."""

from collections import deque
from collections.abc import Iterator
from enum import Enum

from yewloom.ids import CustomerId, Fingerprint, HostId, ModelName, RouteName
from yewloom.values import value_class

WINDOW_S = 10.0
"""Age up to which answers are kept: an endpoint that gets one request a second is judged too."""

MAX_ANSWERS = 2048
"""Maximum number of answers kept per service, which bounds the work of a judgement."""

CRASH_NOTICED_S = 0.4
"""Age from which half an answer is evidence: by then it is known whether the process crashed."""


class FailureKind(Enum):
    """How an answer failed.

    ``SERVER_ERROR``: its status says so. ``TRUNCATED``: it broke off. ``UNREADABLE``: it violates
    the protocol, is too long or belongs to another request.
    """

    SERVER_ERROR = "server_error"
    TRUNCATED = "cut"
    UNREADABLE = "unreadable"


@value_class
class Answer:
    """An endpoint's answer to one request; ``failure`` is None for a good one.

    ``began_s`` is when the endpoint was chosen. Good answers have no ``fingerprint``.
    """

    endpoint: HostId
    route: RouteName
    model: ModelName | None
    customer: CustomerId | None
    began_s: float
    ended_s: float
    failure: FailureKind | None = None
    fingerprint: Fingerprint | None = None


class RecentAnswers:
    """The latest answers of one service's endpoints."""

    def __init__(self) -> None:
        self._answers: deque[Answer] = deque(maxlen=MAX_ANSWERS)

    def add(self, answer: Answer) -> None:
        """Add an answer, and drop those that are too old."""
        answers = self._answers
        answers.append(answer)
        while answers[0].ended_s < answer.ended_s - WINDOW_S:
            answers.popleft()

    def newest_first(self, now_s: float) -> Iterator[Answer]:
        """Yield the answers that are evidence now."""
        for answer in reversed(self._answers):
            if answer.ended_s < now_s - WINDOW_S:
                return
            is_cut = answer.failure is FailureKind.TRUNCATED
            if not is_cut or answer.ended_s <= now_s - CRASH_NOTICED_S:
                yield answer

    def drop(self, endpoint: HostId) -> None:
        """Drop the answers of an endpoint."""
        kept = [answer for answer in self._answers if answer.endpoint != endpoint]
        self._answers = deque(kept, MAX_ANSWERS)
