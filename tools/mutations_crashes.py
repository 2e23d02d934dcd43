"""Removals around requests that end endpoints."""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "crashes: a request that ended endpoints is refused",
        "request_admission",
        "if wait_s > 0:",
        "if False:",
        "test_crash_checks",
    ),
    Mutation(
        "crashes: no further endpoint gets a request that was just found guilty",
        "endpoint_choice",
        "or self._was_quarantined(request)",
        "",
        "test_crash_checks",
    ),
    Mutation(
        "crashes: a suspect waits for the first look before it goes elsewhere",
        "crash_checks",
        "            await check.is_probed.wait()",
        "            await trio.lowlevel.checkpoint()",
        "test_crash_checks",
    ),
    Mutation(
        "crashes: only a port that refuses proves an end",
        "crash_checks",
        "return error.failure is ExchangeFailure.REFUSED",
        "return True",
        "test_crash_checks",
    ),
    Mutation(
        "crashes: an end that was announced is no crash",
        "crash_checks",
        "return listed is not None and not listed.is_leaving",
        "return True",
        "test_crash_checks",
    ),
    Mutation(
        "crashes: a good answer clears a request",
        "crash_record",
        "        self._clear(fingerprint, now_s)\n        self._quarantine.lift",
        "        self._quarantine.lift",
        "test_crash_record",
    ),
    Mutation(
        "crashes: what a guilty request explains counts against nobody else",
        "crash_record",
        " and not self._is_explained(crash, fingerprint)",
        "",
        "test_crash_record",
    ),
    Mutation(
        "crashes: what peers saw counts",
        "crash_messages",
        "self._record.apply_crash(_to_crash_report(crashed), came_s, now_s)",
        "pass",
        "test_peer_reports",
    ),
    Mutation(
        "crashes: hosts that heard of no crash hear of the verdict",
        "crash_messages",
        "self._quarantine.apply(_to_quarantine_report(quarantined), came_s)",
        "pass",
        "test_peer_reports",
    ),
    Mutation(
        "crashes: hosts try a request again one after the other",
        "quarantine",
        "due_s + self._hosts_before(fingerprint) * TRIAL_INTERVAL_S",
        "due_s",
        "test_quarantine",
    ),
    Mutation(
        "crashes: a word is taken only if it is the later one",
        "quarantine",
        "(report.count, report.is_lifted) > (current.count, current.is_lifted)",
        "True",
        "test_quarantine",
    ),
    Mutation(
        "crashes: a host that starts reads what the store keeps",
        "quarantine_store",
        "                self._apply(current.record)\n",
        "",
        "test_quarantine_store",
    ),
    Mutation(
        "crashes: hosts take turns to write what is kept",
        "quarantine_store",
        "await trio.sleep(turn * POLL_INTERVAL_S)",
        "await trio.lowlevel.checkpoint()",
        "test_quarantine_store",
    ),
    Mutation(
        "crashes: what the store has is not written again",
        "quarantine_store",
        "if _content(record) == _content(current.record):",
        "if False:",
        "test_quarantine_store",
    ),
)
