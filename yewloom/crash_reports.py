"""What entry hosts observe of crashes of endpoints, and tell each other."""

from yewloom.ids import Fingerprint, HostId, PromptPart
from yewloom.values import value_class

CRASH_THRESHOLD = 3
"""Crashes after which a request, or a part of prompts, is considered their cause.

Two may be a coincidence if several endpoints fail one after the other. A higher threshold would
cost more, as each further crash aborts all requests of another endpoint.
"""

RETENTION_S = 600.0
"""Time for which a crash is counted."""

REPORT_PERIOD_S = 30.0
"""Time for which a crash or successful response is reported: several rounds to all peers."""


@value_class
class EndpointProcess:
    """One process of an endpoint; ``started_unix_ms`` is 0 if its start time is unknown."""

    endpoint: HostId
    started_unix_ms: int


@value_class
class LostRequest:
    """A request whose exchange a process aborted.

    ``accused_parts`` are the shared parts of its prompt if its response had just begun or not begun
    yet, and none otherwise: a process that crashes on a part does so as it begins to respond.
    """

    fingerprint: Fingerprint
    accused_parts: tuple[PromptPart, ...] = ()


@value_class
class CrashReport:
    """A crash that one host observed, with those of its requests that the process aborted."""

    process: EndpointProcess
    requests: tuple[LostRequest, ...]
    age_s: float


@value_class
class SuccessReport:
    """A successful response to a suspected request, observed by one host."""

    fingerprint: Fingerprint
    age_s: float


@value_class
class PartSuccessReport:
    """The latest successful response to a request with a suspected part, observed by one host."""

    part: PromptPart
    age_s: float
