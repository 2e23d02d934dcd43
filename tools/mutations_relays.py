"""Mutations of what a host does that reaches no endpoint, and the tests that detect them."""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "relays: a host that reaches none of a request's endpoints relays it",
        "relays",
        "        if not (self.has_lost_all(request) or self._has_met_unreachable(request)):\n",
        "        if True:\n",
        "test_relays",
    ),
    Mutation(
        "relays: a relayed request is not relayed again",
        "relays",
        "request.is_relayed or len(record.relays)",
        "len(record.relays)",
        "test_relays",
    ),
    Mutation(
        "relays: a relay counts as sent from its first byte",
        "relays",
        "            request.record.relays[peer.host] = AttemptState.SENT\n",
        "            pass\n",
        "test_relays",
    ),
    Mutation(
        "relays: a silent peer is given up",
        "relays",
        "            if not self._peers.is_live(peer.host):\n",
        "            if False:\n",
        "test_relays",
    ),
    Mutation(
        "relays: attempts of the relaying host count at the peer",
        "request_admission",
        "    request.record.states.update(relay.attempts)\n",
        "",
        "test_relays",
    ),
    Mutation(
        "relays: the peer gets the time that remains",
        "request_admission",
        "deadline_ms=relay.remaining_ms",
        "deadline_ms=metadata.deadline_ms",
        "test_relays",
    ),
    Mutation(
        "relays: the peer continues after the last event",
        "request_admission",
        "last_event_id=relay.last_event_id",
        "last_event_id=metadata.last_event_id",
        "test_relays",
    ),
    Mutation(
        "relays: a planned stop waits for relayed requests",
        "relay_server",
        "        with self._activity.request():\n",
        "        if True:\n",
        "test_relays",
    ),
    Mutation(
        "relays: peers that lost the service are not chosen",
        "relay_peers",
        " and service not in state.lost_services",
        "",
        "test_relay_peers",
    ),
    Mutation(
        "isolation: a host is isolated only if a peer reaches an endpoint",
        "isolation",
        '            services - set(state.lost_services) and state.HasField("listing")\n',
        "            True\n",
        "test_isolation",
    ),
    Mutation(
        "isolation: an isolated host reports no endpoint",
        "isolation",
        "            del state.unreachable[:]\n",
        "",
        "test_isolation",
    ),
    Mutation(
        "isolation: an isolated host does not coordinate",
        "replica_coordinator",
        "self.is_stopping or self._is_isolated()",
        "self.is_stopping",
        "test_replica_coordinator",
    ),
    Mutation(
        "isolation: no crash is recorded while no other endpoint is reached",
        "crash_checks",
        "        return False\n\n    def _choose_controls",
        "        return True\n\n    def _choose_controls",
        "test_crash_checks",
    ),
    Mutation(
        "isolation: a node of yewloomd that alone reaches no endpoint is not ready",
        "node",
        "is_serving and not self.is_isolated(trio.current_time())",
        "is_serving",
        "test_own_reach",
    ),
)
