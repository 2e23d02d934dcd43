"""Describe violations: the times of each request, and what delayed the soak around them."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

from yewloom.tests.soak.ledger import Disturbance, SentRequest, Violation
from yewloom.tests.soak.process_waits import SAMPLE_PERIOD_S, SOAK_PROCESS, CpuSample

CONTEXT_S = 1.0
"""Time before and after a request from which delays of the soak are reported with it."""


@dataclass(frozen=True)
class SoakTimes:
    """Delays of a soak's processes; ``unix_offset_s`` converts its clock to Unix time."""

    stalls: list[Disturbance]
    cpu_samples: list[CpuSample]
    unix_offset_s: float

    def log_time(self, time_s: float | None) -> str:
        """Format a time as in the hosts' logs."""
        if time_s is None:
            return "never"
        at = datetime.fromtimestamp(time_s + self.unix_offset_s, UTC)
        return f"{at:%H:%M:%S}.{at.microsecond // 1000:03d}"


def describe(violation: Violation, sent: SentRequest | None, times: SoakTimes) -> str:
    """Return several lines of text on a violation and its request."""
    lines = [f"{violation.check} {violation.request_id}: {violation.detail}"]
    if sent is not None:
        lines += [f"  {line}" for line in _request_lines(sent, times)]
    return "\n".join(lines)


def _request_lines(sent: SentRequest, times: SoakTimes) -> Iterable[str]:
    yield (
        f"{sent.kind.value} to {sent.process_name} from port {sent.caller_port}: created "
        f"{times.log_time(sent.sent_s)}, headers sent {times.log_time(sent.headers_sent_s)}, "
        f"fully sent {times.log_time(sent.fully_sent_s)}, ended {times.log_time(sent.ended_s)}; "
        f"status {sent.status}, complete {sent.is_complete}, {len(sent.answer)} bytes, "
        f"{sent.failure}"
    )
    from_s = sent.sent_s - CONTEXT_S
    to_s = (sent.ended_s if sent.ended_s is not None else sent.sent_s) + CONTEXT_S
    stalls = [span for span in times.stalls if span.begin_s < to_s and span.end_s > from_s]
    texts = [
        f"{times.log_time(stall.begin_s)} for {stall.end_s - stall.begin_s:.2f} s"
        for stall in stalls
    ]
    yield f"event loop delayed: {', '.join(texts) or 'no'}"
    for process_name in (SOAK_PROCESS, sent.process_name):
        cpu_samples = [
            sample
            for sample in times.cpu_samples
            if sample.process_name == process_name and sample.from_s < to_s and sample.to_s > from_s
        ]
        texts = [
            f"{sample.ran_s * 1000:.0f}/{sample.waited_s * 1000:.0f}" for sample in cpu_samples
        ]
        since = times.log_time(cpu_samples[0].from_s) if cpu_samples else "never"
        yield (
            f"{process_name}: ran/waited for a CPU since {since}, per {SAMPLE_PERIOD_S} s, in ms: "
            f"{' '.join(texts)}"
        )
