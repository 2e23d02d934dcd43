"""Track the attempts to deliver one request, and derive what its caller may be told.

A refusal promises that the request has not run and never will. A request is therefore refused only
if the record of its attempts proves this.
"""

from dataclasses import dataclass, field
from enum import Enum

from yewloom.ids import EntryHostId, HostId
from yewloom.routes import Route


class AttemptState(Enum):
    """How far an attempt at one endpoint got.

    ``PENDING``: the endpoint was chosen, and the request may be sent to it at any moment.
    ``NOTHING_SENT``: the attempt has ended before anything was sent. ``NOT_RUN``: the endpoint
    stated that it did not run the request. ``ANSWERED``: its response is the one that the caller
    gets.
    """

    PENDING = "pending"
    NOTHING_SENT = "nothing_sent"
    SENT = "sent"
    NOT_RUN = "not_run"
    ANSWERED = "answered"


class FailureResponse(Enum):
    """The kinds of response to a request that no endpoint answered."""

    REFUSED = "refused"
    MAY_HAVE_RUN = "may_have_run"
    TIMED_OUT = "timed_out"


_KNOWN_NOT_RUN = {AttemptState.NOTHING_SENT, AttemptState.NOT_RUN}


@dataclass
class AttemptRecord:
    """The endpoints that were chosen for one request, in order, with the state of each attempt.

    ``relays`` holds the same for the peers to which this host relayed the request. A peer reports
    ``NOT_RUN`` if it refused the request.
    """

    route: Route
    states: dict[HostId, AttemptState] = field(default_factory=dict)
    relays: dict[EntryHostId, AttemptState] = field(default_factory=dict)

    def begin(self, endpoint: HostId) -> None:
        """Record that an endpoint was chosen."""
        self.states[endpoint] = AttemptState.PENDING

    def end(self, endpoint: HostId) -> None:
        """Record that the attempt at an endpoint has ended."""
        if self.states[endpoint] is AttemptState.PENDING:
            self.states[endpoint] = AttemptState.NOTHING_SENT

    def set_state(self, endpoint: HostId, state: AttemptState) -> None:
        """Record how far the attempt at an endpoint got."""
        self.states[endpoint] = state

    @property
    def is_known_not_run(self) -> bool:
        """Return whether it is certain that no endpoint ran the request."""
        return all(state in _KNOWN_NOT_RUN for state in self._all_states())

    @property
    def is_answered(self) -> bool:
        """Return whether an endpoint gave the response that the caller gets."""
        return AttemptState.ANSWERED in self._all_states()

    @property
    def may_try_another(self) -> bool:
        """Return whether the request may be sent once more, to an endpoint or through a peer.

        This is the only place that decides it, from both kinds of attempts.
        """
        if self._endpoints_reached() >= max(1, self.route.max_endpoints):
            return False
        return self.is_known_not_run or self.route.may_retry

    def turned_away(self) -> set[HostId]:
        """Return the endpoints that did not run a request which may be sent to them again."""
        if not self.route.may_retry:
            return set()
        return {host for host, state in self.states.items() if state is AttemptState.NOT_RUN}

    def unreachable_count(self) -> int:
        """Return the number of endpoints to which nothing could be sent."""
        return sum(state is AttemptState.NOTHING_SENT for state in self.states.values())

    def is_retry(self) -> bool:
        """Return whether the next attempt may be a retry, i.e. something was sent before.

        A peer that refused the request may have sent it to an endpoint that rejected it.
        """
        is_refused_by_peer = AttemptState.NOT_RUN in self.relays.values()
        return is_refused_by_peer or self._endpoints_reached() > 0

    def failure_response(self, is_out_of_time: bool) -> FailureResponse:
        """Return what the caller is told when no endpoint answered the request."""
        if is_out_of_time:
            return FailureResponse.TIMED_OUT
        return FailureResponse.REFUSED if self.is_known_not_run else FailureResponse.MAY_HAVE_RUN

    def _all_states(self) -> list[AttemptState]:
        return [*self.states.values(), *self.relays.values()]

    def _endpoints_reached(self) -> int:
        """Return how many endpoints may have received the request, through peers or directly.

        One that may be sent the request at any moment counts as well.
        """
        direct = sum(state is not AttemptState.NOTHING_SENT for state in self.states.values())
        return direct + sum(state not in _KNOWN_NOT_RUN for state in self.relays.values())
