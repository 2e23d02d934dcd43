"""States and kinds, with the words that stand for them in records and messages."""

from enum import Enum


class Phase(Enum):
    """Phase of an entry host's process.

    While it leaves it still takes requests, until the balancer has seen that it is not ready; once
    closed it takes none and ends those that it has accepted.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSED = "closed"


class HostState(Enum):
    """State of a host in the platform's lagging list."""

    LIVE = "live"
    LEAVING = "leaving"


class EngineState(Enum):
    """State of a model engine in its own report."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"
    FAILED = "failed"


class GroupIntent(Enum):
    """What the placement record wants of a group."""

    ACTIVE = "active"
    DRAINING = "draining"
    REPLACING = "replacing"


class GroupState(Enum):
    """State of a group, derived from intent and observation."""

    FORMING = "forming"
    LOADING = "loading"
    SERVING = "serving"
    DRAINING = "draining"
    LOST = "lost"


class ClaimState(Enum):
    """State of an idempotency claim."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


class Outcome(Enum):
    """What a caller is told about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RowKind(Enum):
    """Kind of a table row."""

    POLICY = "policy"
    CUSTOMER = "customer"
    SERVICE = "service"
    EXPERIMENT = "experiment"
