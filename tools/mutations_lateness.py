"""Removals around hosts that start, stand still or are late with what they read."""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "start: a request that waits is refused for a part of its time",
        "early_listener",
        "return max(self._waited_s(connection), seen_for_s) >= limit_s",
        "return False",
        "test_early_listener",
    ),
    Mutation(
        "start: what has come in part is left to the program",
        "early_listener",
        "        if not _is_whole(data):\n            return False\n",
        "",
        "test_early_listener",
    ),
    Mutation(
        "start: connections that were accepted early are served",
        "caller_server",
        "            yield _stream_of(self._accepted.pop(0))",
        "            self._accepted.pop(0)\n            yield from ()",
        "test_caller_server",
    ),
    Mutation(
        "late: a request counts from when its bytes came",
        "caller_connection",
        "trio.current_time() - self._ages.of(self._stream)",
        "trio.current_time()",
        "test_caller_connection",
    ),
    Mutation(
        "late: a request whose time is over runs nowhere",
        "socket_ages",
        "return float(age_ms) / 1000",
        "return 0.0",
        "test_forwarding",
    ),
    Mutation(
        "late: a loop that was held up knows since when",
        "loop_lateness",
        "if late_s >= LEAST_S:",
        "if False:",
        "test_loop_lateness",
    ),
    Mutation(
        "late: yewloomd refuses what was read after its deadline",
        "headers",
        "if left_s <= 0:",
        "if False:",
        "test_callers",
    ),
    Mutation(
        "late: a peer's reports count from when they may have come",
        "peer_intake",
        "group.age_ms / 1000, came_s)",
        "group.age_ms / 1000, now_s)",
        "test_peer_reports",
    ),
    Mutation(
        "late: a watch lasted until its answer may have come",
        "platform/store",
        "trio.current_time() - self._late_s() - sent_s",
        "trio.current_time() - sent_s",
        "test_platform_adapter",
    ),
    Mutation(
        "late: an event proves movement from when it may have come",
        "stalls",
        "now_s, now_s - late_s, True",
        "now_s, now_s, True",
        "test_stalls",
    ),
    Mutation(
        "late: a held-up host connects once more",
        "endpoint_attempts",
        "error.failure is not ExchangeFailure.NOT_CONNECTED or not self._lateness.late_s()",
        "True",
        "test_forwarding",
    ),
    Mutation(
        "late: a held-up host looks twice at a group that seems to stand still",
        "endpoint_attempts",
        "if is_stalled and not was_late and self._lateness.late_s():",
        "if False:",
        "test_forwarding",
    ),
    Mutation(
        "late: a held-up coordinator asks a member again",
        "stalled_groups",
        "if report is None and self._late_s():",
        "if False:",
        "test_slow_engines",
    ),
    Mutation(
        "late: a suspect's slow answer is waited for",
        "stalled_groups",
        "timeout_s=SUSPECT_REPORT_TIMEOUT_S,",
        "",
        "test_slow_engines",
    ),
)
