"""Mutations of the ejection of endpoints that fail, and the tests that detect them."""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "outliers: an endpoint that fails far more often than others is left out",
        "selection",
        "if self.outliers.is_left(endpoint.id, now_s):",
        "if False:",
        "test_failing_endpoints",
    ),
    Mutation(
        "outliers: a failure counts as load for a while",
        "selection",
        "running += self.outliers.failed_load(endpoint.id, now_s)",
        "pass",
        "test_failing_endpoints",
    ),
    Mutation(
        "outliers: an endpoint is held against the others",
        "outlier_evidence",
        "share = (total.failures - own.failures + 1) / (total.answers - own.answers + 2)",
        "share = 0.01",
        "test_outlier_evidence",
    ),
    Mutation(
        "outliers: the failures of one customer among several are no evidence",
        "outlier_evidence",
        "if found.is_sufficient and _is_confirmed(endpoint, answers):",
        "if found.is_sufficient:",
        "test_outlier_evidence",
    ),
    Mutation(
        "outliers: a request counts once for an endpoint",
        "outlier_evidence",
        "            if request in failed:\n                continue\n",
        "",
        "test_outlier_evidence",
    ),
    Mutation(
        "outliers: no more than half of the endpoints are left out",
        "outliers",
        "MAX_OUT_SHARE = 0.5",
        "MAX_OUT_SHARE = 1.0",
        "test_outliers",
    ),
    Mutation(
        "outliers: answers to requests from before a rest decide no trial",
        "endpoint_rests",
        "if began_s < rest.until_s:",
        "if False:",
        "test_outliers",
    ),
    Mutation(
        "outliers: requests that are suspected of crashes are no evidence",
        "answer_evidence",
        "return is_suspect or self._has_crashed(endpoint)",
        "return self._has_crashed(endpoint)",
        "test_answer_evidence",
    ),
    Mutation(
        "outliers: an endpoint whose process has crashed is not judged",
        "answer_evidence",
        "return {each.id for each in candidates if not self._has_crashed(each)}",
        "return {each.id for each in candidates}",
        "test_answer_evidence",
    ),
    Mutation(
        "outliers: half an answer is evidence only once a crash would be known",
        "endpoint_answers",
        "if not is_cut or answer.ended_s <= now_s - CRASH_NOTICED_S:",
        "if True:",
        "test_outlier_evidence",
    ),
    Mutation(
        "outliers: failures while this host was delayed are no evidence",
        "answer_evidence",
        "if attempt.failure is None or self._loop_delay.delay_s():",
        "if attempt.failure is None:",
        "test_answer_evidence",
    ),
    Mutation(
        "outliers: failures while this host reaches no endpoint are no evidence",
        "answer_evidence",
        "if self._reachability.has_lost_all or self._is_crash_evidence(request, attempt.endpoint):",
        "if self._is_crash_evidence(request, attempt.endpoint):",
        "test_answer_evidence",
    ),
    Mutation(
        "outliers: answers with 400 to 499 are no evidence",
        "answer_evidence",
        "if request.answered_status < MIN_CALLER_ERROR_STATUS and not self._loop_delay.delay_s():",
        "if not self._loop_delay.delay_s():",
        "test_answer_evidence",
    ),
)
