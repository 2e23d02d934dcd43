"""Handles failed calls: decides on the next step, logs and counts it, or gives up."""

import structlog
import trio

from yewloom.endpoints import EndpointError
from yewloom.metrics import Metrics
from yewloom.problems import unavailable_problem
from yewloom.requests import ModelRequest, ServiceRequest
from yewloom.retries import AttemptTracker, NextStep

logger = structlog.get_logger(__name__)


def next_step(
    error: EndpointError,
    tracker: AttemptTracker,
    request: ModelRequest | ServiceRequest,
    metrics: Metrics,
) -> NextStep:
    """Decide on the next step after a failed call; raise Problem if the request is given up."""
    step = tracker.on_failure(error.failure, trio.current_time(), request.deadline_s)
    logger.info(
        "call failed",
        request_id=request.request_id,
        failure=error.failure.value,
        step=step.value,
        outcome=tracker.outcome.value,
        reason=str(error),
    )
    if step is NextStep.GIVE_UP:
        raise unavailable_problem(f"The request was given up ({error}).", tracker.outcome)
    metrics.retries.labels(step.value).inc()
    return step
