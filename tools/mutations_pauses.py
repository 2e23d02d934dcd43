"""Mutations of the handling of pauses that endpoints ask for, and the tests that detect them."""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "endpoint pauses: an endpoint that pauses is not chosen",
        "endpoint_availability",
        "return max(self.limits.wait_s(endpoint, now_s), self.pauses.wait_s(endpoint.id, now_s))",
        "return self.limits.wait_s(endpoint, now_s)",
        "test_forwarding_pauses",
    ),
    Mutation(
        "endpoint pauses: an attempt that was chosen before the pause is not sent",
        "endpoint_exchanges",
        "            if self._availability.is_withdrawn(endpoint, trio.current_time()):\n"
        "                raise Withdrawn\n",
        "",
        "test_forwarding_pauses",
    ),
    Mutation(
        "endpoint pauses: a request with enough time waits for the end of a pause",
        "forwarding",
        "        if wait_s is None:\n            return False\n",
        "        if wait_s is None or wait_s > 0:\n            return False\n",
        "test_forwarding_pauses",
    ),
    Mutation(
        "endpoint pauses: no request waits while another endpoint is available",
        "selection",
        "if any(self._availability.wait_s(endpoint, now_s) == 0 for endpoint in untried):",
        "if False:",
        "test_selection",
    ),
    Mutation(
        "endpoint pauses: a shorter pause does not shorten an earlier one",
        "endpoint_pauses",
        "        if now_s + pause_s <= self._until_s.get(endpoint, now_s):\n            return\n",
        "",
        "test_endpoint_pauses",
    ),
    Mutation(
        "endpoint pauses: requests return at different times",
        "endpoint_pauses",
        "return wait_s + self._rng.uniform(0, min(wait_s, MAX_SPREAD_S))",
        "return wait_s",
        "test_endpoint_pauses",
    ),
    Mutation(
        "endpoint pauses: yewloomd makes no call to a service endpoint that pauses",
        "service_dispatch",
        " and not waits_s[entry[1].host_id]",
        "",
        "test_dispatch",
    ),
    Mutation(
        "endpoint pauses: yewloomd resumes no stream at a leader that pauses",
        "dispatch",
        "        if self._pause_s(group):\n",
        "        if False:\n",
        "test_dispatch",
    ),
)
