"""Reports for operators, as text and as JSON fields."""

from dataclasses import asdict
from typing import Any

from yewloom.comparison import Comparison
from yewloom.experiments import Side
from yewloom.schema.table_pb2 import ExperimentRow


def comparison_lines(comparison: Comparison, row: ExperimentRow) -> list[str]:
    """Format the comparison of two policies as lines of text."""
    lines = []
    for side, policy in ((Side.A, row.policy_a), (Side.B, row.policy_b)):
        counts = " ".join(
            f"{outcome.value}={count}" for outcome, count in comparison.counts[side].items()
        )
        lines.append(
            f"side {side.value} ({policy}): {counts}, {comparison.sessions[side]} sessions"
        )
    assessment = (
        "as configured"
        if comparison.is_balanced
        else "NOT as configured, so the rest is not reliable"
    )
    lines.append(f"split: {comparison.imbalance:+.1f} standard deviations off, {assessment}")
    for metric in comparison.metrics:
        lines.append(
            f"{metric.metric} p95: a {metric.a_ms:.1f} ms, b {metric.b_ms:.1f} ms, b - a "
            f"{metric.low_ms:.1f} to {metric.high_ms:.1f} ms; {metric.verdict}"
        )
    return lines


def comparison_fields(comparison: Comparison) -> dict[str, Any]:
    """Return the comparison of two policies as JSON fields."""
    return {
        "counts": {
            side.value: {outcome.value: count for outcome, count in counts.items()}
            for side, counts in comparison.counts.items()
        },
        "sessions": {side.value: count for side, count in comparison.sessions.items()},
        "imbalance": comparison.imbalance,
        "is_balanced": comparison.is_balanced,
        "metrics": [{**asdict(m), "verdict": m.verdict} for m in comparison.metrics],
    }
