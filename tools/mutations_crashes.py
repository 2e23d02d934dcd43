"""Mutations of the handling of requests that crash endpoints, and the tests that detect them."""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "crashes: a request that crashed endpoints is refused",
        "request_admission",
        "if wait_s > 0:",
        "if False:",
        "test_crash_checks",
    ),
    Mutation(
        "crashes: a request that was just quarantined is sent to no further endpoint",
        "endpoint_choice",
        " and not self._was_quarantined(request)",
        "",
        "test_crash_checks",
    ),
    Mutation(
        "crashes: a suspected request is resent only after the endpoint was checked once",
        "crash_checks",
        "            await check.is_probed.wait()",
        "            await trio.lowlevel.checkpoint()",
        "test_crash_checks",
    ),
    Mutation(
        "crashes: only a refused connection proves that a process has ended",
        "crash_checks",
        "return error.failure is ExchangeFailure.REFUSED",
        "return True",
        "test_crash_checks",
    ),
    Mutation(
        "crashes: an announced stop of an endpoint is not a crash",
        "crash_checks",
        "return listed is not None and not listed.is_leaving",
        "return True",
        "test_crash_checks",
    ),
    Mutation(
        "crashes: a successful answer clears a request of suspicion",
        "crash_record",
        "        self._clear(fingerprint, now_s)\n        self._quarantine.lift",
        "        self._quarantine.lift",
        "test_crash_record",
    ),
    Mutation(
        "crashes: a crash explained by a quarantined request counts against no other request",
        "crash_record",
        " and not self._is_explained(crash, fingerprint)",
        "",
        "test_crash_record",
    ),
    Mutation(
        "crashes: crashes reported by peers are counted",
        "crash_messages",
        "self._record.apply_crash(_to_crash_report(crashed), arrived_s, now_s)",
        "pass",
        "test_peer_reports",
    ),
    Mutation(
        "crashes: a quarantine reaches hosts that did not hear of the crashes",
        "crash_messages",
        "self._quarantine.apply(_to_quarantine_report(quarantined), arrived_s)",
        "pass",
        "test_peer_reports",
    ),
    Mutation(
        "crashes: hosts retry a quarantined request one after another",
        "quarantine",
        "due_s + self._hosts_before(fingerprint) * TRIAL_INTERVAL_S",
        "due_s",
        "test_quarantine",
    ),
    Mutation(
        "crashes: a quarantine message is applied only if it is newer",
        "quarantine",
        "(report.count, report.is_lifted) > (current.count, current.is_lifted)",
        "True",
        "test_quarantine",
    ),
    Mutation(
        "crashes: a starting host reads the quarantine from the store",
        "quarantine_store",
        "                self._apply(current.record)\n",
        "",
        "test_quarantine_store",
    ),
    Mutation(
        "crashes: hosts take turns to write the quarantine to the store",
        "quarantine_store",
        "await trio.sleep(turn * POLL_INTERVAL_S)",
        "await trio.lowlevel.checkpoint()",
        "test_quarantine_store",
    ),
    Mutation(
        "crashes: an unchanged quarantine is not written to the store again",
        "quarantine_store",
        "if _content(record) == _content(current.record):",
        "if False:",
        "test_quarantine_store",
    ),
)
