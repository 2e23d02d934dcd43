"""Removals around limits that endpoints name."""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "named limits: an endpoint whose limit is reached gets nothing",
        "selection",
        " or self._limits.wait_s(endpoint, now_s) > 0:",
        ":",
        "test_forwarding_limits",
    ),
    Mutation(
        "named limits: each sending counts",
        "endpoint_choice",
        "        self._limits.spend(endpoint, now_s)\n",
        "",
        "test_forwarding_limits",
    ),
    Mutation(
        "named limits: what finds no endpoint comes back when one takes it",
        "forwarding",
        "if limit_wait_s > 0:",
        "if False:",
        "test_forwarding_limits",
    ),
    Mutation(
        "named limits: few hosts send to an endpoint",
        "endpoint_limits",
        "senders = min(len(hosts), int(total_burst))",
        "senders = len(hosts)",
        "test_endpoint_limits",
    ),
    Mutation(
        "named limits: the hosts near an endpoint come first",
        "endpoint_limits",
        "is_remote = host.data_centre != endpoint.data_centre",
        "is_remote = False",
        "test_endpoint_limits",
    ),
    Mutation(
        "named limits: an older word of a peer changes nothing",
        "endpoint_limits",
        "if known is None else announced_s > known.announced_s",
        "if known is None else True",
        "test_endpoint_limits",
    ),
    Mutation(
        "named limits: hosts that have not heard one learn of it",
        "limit_messages",
        "self._limits.apply(_from_message(message), came_s)",
        "pass",
        "test_peer_reports",
    ),
    Mutation(
        "named limits: a silent host keeps its part for a time",
        "entry_states",
        "if now_s - received.received_s < LIMIT_SHARE_RETENTION_S",
        "if peer in self._live",
        "test_peer_reports",
    ),
    Mutation(
        "named limits: a text that is none tells nothing",
        "platform/headers",
        "if not _DECIMAL.fullmatch(text):",
        "if False:",
        "test_platform_adapter",
    ),
)
