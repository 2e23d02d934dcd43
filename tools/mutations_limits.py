"""Mutations of the handling of endpoints' rate limits, and the tests that detect them."""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "endpoint limits: an endpoint whose limit is reached gets no request",
        "selection",
        " or self._availability.wait_s(endpoint, now_s) > 0:",
        ":",
        "test_forwarding_limits",
    ),
    Mutation(
        "endpoint limits: each sent request counts",
        "endpoint_choice",
        "        self._availability.limits.take_token(endpoint, now_s)\n",
        "",
        "test_forwarding_limits",
    ),
    Mutation(
        "endpoint limits: a caller is told when to retry if no endpoint accepts its request",
        "forwarding",
        "if wait_s > 0:",
        "if False:",
        "test_forwarding_limits",
    ),
    Mutation(
        "endpoint limits: few hosts send to an endpoint",
        "endpoint_limits",
        "senders = min(len(hosts), int(total_burst))",
        "senders = len(hosts)",
        "test_endpoint_limits",
    ),
    Mutation(
        "endpoint limits: hosts in the endpoint's data centre are preferred",
        "endpoint_limits",
        "is_remote = host.data_centre != endpoint.data_centre",
        "is_remote = False",
        "test_endpoint_limits",
    ),
    Mutation(
        "endpoint limits: an older message of a peer is ignored",
        "endpoint_limits",
        "if known is None else announced_s > known.announced_s",
        "if known is None else True",
        "test_endpoint_limits",
    ),
    Mutation(
        "endpoint limits: hosts learn limits from peers",
        "limit_messages",
        "self._limits.apply(_from_message(message), arrived_s)",
        "pass",
        "test_peer_reports",
    ),
    Mutation(
        "endpoint limits: an unresponsive host keeps its part for a time",
        "entry_states",
        "if now_s - received.received_s < LIMIT_SHARE_RETENTION_S",
        "if peer in self._live",
        "test_peer_reports",
    ),
    Mutation(
        "endpoint limits: an invalid limit is ignored",
        "platform/headers",
        "if not _DECIMAL.fullmatch(text):",
        "if False:",
        "test_platform_adapter",
    ),
)
