"""States and kinds, with the values that represent them in records and messages."""

from enum import Enum


class Phase(Enum):
    """Phase of an entry host's process.

    A leaving process still accepts requests until the load balancer has noticed that it is not
    ready. A closed one accepts no more and completes those that it has accepted.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSED = "closed"


class HostState(Enum):
    """State of a host in the platform's host list, which lags behind."""

    LIVE = "live"
    LEAVING = "leaving"


class EngineState(Enum):
    """State of a model engine as given in its report."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"
    FAILED = "failed"


class GroupIntent(Enum):
    """Desired state of a group in the placement record."""

    ACTIVE = "active"
    DRAINING = "draining"
    REPLACING = "replacing"


class GroupState(Enum):
    """State of a group, derived from its desired state and from observations."""

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
    """What a caller is told about the outcome of its request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RowKind(Enum):
    """Kind of a table row."""

    POLICY = "policy"
    CUSTOMER = "customer"
    SERVICE = "service"
    EXPERIMENT = "experiment"
