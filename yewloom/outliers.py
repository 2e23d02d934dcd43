"""Leaves out endpoints that fail far more often than the others of their service, for a time.

Each host judges by what passes through itself. Only a bounded part of a service's endpoints is left
out at once. What failed counts towards its endpoint's load for a while, so that an endpoint that
fails fast does not look idle meanwhile, nor where it may not be left out.
"""

import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Collection, Container

import structlog

from yewloom.endpoint_answers import Answer, RecentAnswers
from yewloom.endpoint_rests import EndpointRests, Step
from yewloom.ids import HostId, ServiceName
from yewloom.outlier_evidence import Rates, find_outliers, may_be_outlier

logger = structlog.get_logger(__name__)

MAX_OUT_SHARE = 0.5
"""Largest part of a service's endpoints that is left out at once; a fault of more is the service's.
"""

FAILURE_LOAD_S = 0.5
"""Time for which a failed request counts as if it ran on: longer than most answers take."""

JUDGEMENT_INTERVAL_S = 0.1
"""Least time between two judgements of a service, each of which takes a millisecond or two."""


class _FailedRequests:
    """The failed requests that count as if they still ran, by endpoint."""

    def __init__(self) -> None:
        self._failed: deque[tuple[float, HostId]] = deque()
        self._counts: Counter[HostId] = Counter()

    def add(self, endpoint: HostId, now_s: float) -> None:
        """Add a request that has just failed."""
        self._drop_expired(now_s)
        self._failed.append((now_s, endpoint))
        self._counts[endpoint] += 1

    def count(self, endpoint: HostId, now_s: float) -> int:
        """Return the number of an endpoint's requests."""
        if not self._failed:
            return 0
        self._drop_expired(now_s)
        return self._counts.get(endpoint, 0)

    def _drop_expired(self, now_s: float) -> None:
        while self._failed and self._failed[0][0] <= now_s - FAILURE_LOAD_S:
            _, endpoint = self._failed.popleft()
            self._counts[endpoint] -= 1
            if not self._counts[endpoint]:
                del self._counts[endpoint]


class OutlierDetector:
    """Judges the answers of endpoints; ``on_step`` is called with the name of each step."""

    def __init__(self, on_step: Callable[[str], None] = lambda _step: None) -> None:
        self._on_step = on_step
        self._recent: defaultdict[ServiceName, RecentAnswers] = defaultdict(RecentAnswers)
        self._judged_s: dict[ServiceName, float] = {}
        self._rests = EndpointRests()
        self._failed = _FailedRequests()

    def record(
        self, service: ServiceName, answer: Answer, judgeable: Callable[[], Collection[HostId]]
    ) -> None:
        """Record an answer, and judge the endpoints of its service if it failed.

        ``judgeable`` returns the endpoints that get such requests and may be left out.
        """
        now_s = answer.ended_s
        if answer.failure is not None:
            self._failed.add(answer.endpoint, now_s)
        if self._rests.is_out(answer.endpoint):
            self._follow_trial(answer)
            return
        self._recent[service].add(answer)
        last_s = self._judged_s.get(service, -math.inf)
        if answer.failure is not None and now_s - last_s >= JUDGEMENT_INTERVAL_S:
            self._judge(service, answer.endpoint, judgeable, now_s)

    def is_left(self, endpoint: HostId, now_s: float) -> bool:
        """Return whether an endpoint should get no further request while there are others."""
        return self._rests.is_left(endpoint, now_s)

    def failed_load(self, endpoint: HostId, now_s: float) -> int:
        """Return the number of failed requests that count as if they still ran."""
        return self._failed.count(endpoint, now_s)

    def begin(self, endpoint: HostId, now_s: float) -> None:
        """Count a request that is sent to an endpoint, which may be a trial."""
        self._rests.begin(endpoint, now_s)

    def end(self, endpoint: HostId, began_s: float) -> None:
        """Count a request that began at a given time as ended."""
        self._rests.end(endpoint, began_s)

    def forget(self, endpoint: HostId) -> None:
        """Forget an endpoint that is no longer listed or has restarted."""
        self._rests.forget(endpoint)
        for recent in self._recent.values():
            recent.drop(endpoint)

    def count_out(self, among: Container[HostId]) -> int:
        """Return how many of some endpoints rest or have not returned yet."""
        return self._rests.count_out(among)

    def _judge(
        self,
        service: ServiceName,
        failed: HostId,
        judgeable: Callable[[], Collection[HostId]],
        now_s: float,
    ) -> None:
        """Leave out the outliers, the worst first, as far as the bound allows."""
        recent = self._recent[service]
        if not may_be_outlier(failed, recent.newest_first(now_s)):
            return
        self._judged_s[service] = now_s
        among = judgeable()
        free = int(len(among) * MAX_OUT_SHARE) - self._rests.count_out(among)
        if free <= 0:
            return
        outliers = find_outliers(recent.newest_first(now_s))
        for endpoint in [each for each in outliers if each in among][:free]:
            self._eject(service, endpoint, outliers[endpoint], now_s)

    def _eject(self, service: ServiceName, endpoint: HostId, rates: Rates, now_s: float) -> None:
        rest_s = self._rests.begin_rest(endpoint, now_s)
        self._recent[service].drop(endpoint)
        self._on_step("ejected")
        logger.warning(
            "endpoint ejected",
            endpoint=endpoint,
            service=service,
            failures=rates.failures,
            answers=rates.answers,
            mostly=rates.most_frequent.value,
            others_share=round(rates.expected_share, 3),
            rest_s=rest_s,
        )

    def _follow_trial(self, answer: Answer) -> None:
        """Record an answer of an endpoint that is out."""
        is_failed = answer.failure is not None
        step = self._rests.record(answer.endpoint, answer.began_s, is_failed, answer.ended_s)
        if step is Step.NONE:
            return
        if step is Step.RETURNED:
            self._on_step("returned")
            logger.info("endpoint returned", endpoint=answer.endpoint)
            return
        self._on_step("tried")
        outcome = answer.failure.value if answer.failure is not None else "answered"
        logger.info("endpoint tried", endpoint=answer.endpoint, outcome=outcome)
