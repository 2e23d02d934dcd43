"""Mutations of what large fleets need, and the tests that detect them.

A large fleet has hundreds of entry hosts and engines.
"""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "order counts: a completed leave is counted, whatever its answer",
        "order_counts",
        "leaves = isinstance(order, LeaveGroup) and known.group == order.key",
        "leaves = False",
        "test_refused_orders",
    ),
    Mutation(
        "order counts: a report older than an answer is ignored",
        "order_counts",
        "if known is None or report.sequence > known.sequence:",
        "if True:",
        "test_order_counts",
    ),
    Mutation(
        "orders: an engine that is loading for another coordinator gets no order",
        "order_delivery",
        "if report.is_busy:",
        "if False:",
        "test_refused_orders",
    ),
    Mutation(
        "orders: a refused order is repeated with exponential back-off",
        "plan_state",
        "REFUSED_PAUSE_S * 2 ** self.refusals[name]",
        "REFUSED_PAUSE_S",
        "test_refused_orders",
    ),
    Mutation(
        "orders: a refused load does not count against the load rate",
        "plan_state",
        "self.load_times_s.remove(staging.since_s)",
        "pass",
        "test_refused_orders",
    ),
    Mutation(
        "store: hosts that need not follow share a call rate during an outage",
        "store_retries",
        "max(least_s, near_hosts * IDLE_SPACING_S)",
        "least_s",
        "test_store_retries",
    ),
    Mutation(
        "following: hosts that start together wait to hear from each other first",
        "follow_duty",
        "if self.is_listening():",
        "if False:",
        "test_follow_duty",
    ),
    Mutation(
        "following: the second follower is a standby",
        "follow_duty",
        "return not self._stands_by() or age_s > self._standby_s",
        "return True",
        "test_follow_duty",
    ),
    Mutation(
        "following: a coordinator that the store refuses does not make others standbys",
        "follow_duty",
        "peer.is_coordinator and peer.can_follow for peer",
        "peer.is_coordinator for peer",
        "test_follow_duty",
    ),
    Mutation(
        "peers: a message counts until the next but one is due",
        "entry_states",
        "return max(FRESH_S if is_near else REMOTE_FRESH_S, due_s)",
        "return FRESH_S if is_near else REMOTE_FRESH_S",
        "test_peer_turns",
    ),
    Mutation(
        "peers: each message goes to more peers in a large fleet",
        "peer_turns",
        "max(self._at_once, ceil(peers / self._round_messages))",
        "self._at_once",
        "test_peer_turns",
    ),
    Mutation(
        "peers: an address is learned from a peer's first message",
        "entry_exchange",
        "if self._addresses.learn(peer, address):",
        "if False:",
        "test_entry_addresses",
    ),
    Mutation(
        "loads: all data centres share the weight store's rate",
        "weight_loads",
        "LOADS_SHARE / data_centres",
        "LOADS_SHARE / 3",
        "test_weight_loads",
    ),
    Mutation(
        "replicas: free hosts are reserved for the model in greater need",
        "replica_supply",
        "kept |= self._reserves.kept_for(model, free, leaving)",
        "pass",
        "test_small_model_shortage",
    ),
    Mutation(
        "stop: a host whose process was delayed ends earlier",
        "planned_stop",
        "        if self.is_begun:\n            most_s",
        "        if False:\n            most_s",
        "test_planned_stop",
    ),
    Mutation(
        "leases: the metric is computed when it is read",
        "coordinators",
        "set_function(lambda: self.is_holding)",
        "set(0)",
        "test_coordinators",
    ),
)
