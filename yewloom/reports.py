"""Reports for operators, in words and as JSON fields."""

from dataclasses import asdict
from typing import Any

from yewloom.comparison import Comparison
from yewloom.experiments import Side
from yewloom.schema.table_pb2 import ExperimentRow


def comparison_lines(found: Comparison, row: ExperimentRow) -> list[str]:
    """Return the comparison of two policies in words."""
    lines = []
    for side, policy in ((Side.A, row.policy_a), (Side.B, row.policy_b)):
        counts = " ".join(f"{o.value}={n}" for o, n in found.counts[side].items())
        lines.append(f"side {side.value} ({policy}): {counts}, {found.sessions[side]} sessions")
    words = "as stated" if found.is_balanced else "NOT as stated, so do not trust the rest"
    lines.append(f"split: {found.imbalance:+.1f} standard deviations off, {words}")
    for metric in found.metrics:
        lines.append(
            f"{metric.metric} p95: a {metric.a_ms:.1f} ms, b {metric.b_ms:.1f} ms, b less a "
            f"{metric.low_ms:.1f} to {metric.high_ms:.1f} ms; {metric.verdict}"
        )
    return lines


def comparison_fields(found: Comparison) -> dict[str, Any]:
    """Return the comparison of two policies as JSON fields."""
    return {
        "counts": {
            side.value: {outcome.value: count for outcome, count in counts.items()}
            for side, counts in found.counts.items()
        },
        "sessions": {side.value: count for side, count in found.sessions.items()},
        "imbalance": found.imbalance,
        "is_balanced": found.is_balanced,
        "metrics": [{**asdict(m), "verdict": m.verdict} for m in found.metrics],
    }
