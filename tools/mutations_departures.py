"""Mutations of the handling of endpoints that say they leave, and the tests that detect them."""

from removals import Mutation

MUTATIONS = (
    Mutation(
        "departures: an endpoint that says that it leaves counts as leaving",
        "endpoint_availability",
        "            self._departures.record(said.answered_by or endpoint)\n",
        "            pass\n",
        "test_forwarding_leaving",
    ),
    Mutation(
        "departures: another process speaks for itself only",
        "endpoint_availability",
        "said.answered_by or endpoint",
        "endpoint",
        "test_forwarding_leaving",
    ),
    Mutation(
        "departures: an attempt that was chosen before the word is not sent",
        "endpoint_availability",
        "return self._departures.is_leaving(endpoint.id) or self.is_pausing(endpoint, now_s)",
        "return self.is_pausing(endpoint, now_s)",
        "test_forwarding_leaving",
    ),
    Mutation(
        "departures: no listing ends the word",
        "directory",
        "        endpoint = self._mark(endpoint)\n        self.remove(endpoint.id)\n",
        "        self.remove(endpoint.id)\n",
        "test_forwarding_leaving",
    ),
    Mutation(
        "departures: a later process has not said that it leaves",
        "departures",
        "        elif endpoint.started_unix_ms > started_unix_ms:\n",
        "        elif False:\n",
        "test_forwarding_leaving",
    ),
    Mutation(
        "departures: engines say it in answers to orders too",
        "platform/engines",
        "        if response.headers.get(LEAVING_HEADER) == LEAVING_VALUE:\n",
        "        if False:\n",
        "test_platform_adapter",
    ),
)
