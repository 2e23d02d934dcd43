"""Tests of endpoint selection while a data centre is cut off, and while single endpoints crash.

The scenario is a network partition that cuts off one of three data centres for 5 s. Callers on the
other side continue to send 13 requests per second to each of their hosts, a third of which would go
to the unreachable endpoints.
"""

import unittest
from collections.abc import Container

from hypothesis import given
from hypothesis import strategies as st

from yewloom.directory import Endpoint, EndpointDirectory
from yewloom.ids import DataCentreId, HostId
from yewloom.reachability import (
    CUT_OFF_PROBE_COUNT,
    CUT_OFF_PROBE_INTERVAL_S,
    CUT_OFF_THRESHOLD,
    FAILURE_WINDOW_S,
    PROBE_INTERVAL_S,
    Reachability,
)
from yewloom.selection import EndpointRequirements
from yewloom.tests.entry_support import (
    DATA_CENTRE,
    ENGINES,
    SMALL,
    make_configuration,
    make_selector,
    put_group,
)

DATA_CENTRES = (DATA_CENTRE, DataCentreId("hall-b"), DataCentreId("hall-c"))
CUT_OFF = DATA_CENTRES[2]
LEADERS_PER_DATA_CENTRE = 6
PARTITION_DURATION_S = 5.0
REQUESTS_PER_S = 13
CONNECT_TIMEOUT_S = 0.25
CONFIGURATION = make_configuration()
REQUIREMENTS = EndpointRequirements(ENGINES, SMALL)


class EntryHostModel:
    """An entry host that selects endpoints in three data centres and tracks its connections."""

    def __init__(self) -> None:
        self.directory = EndpointDirectory()
        self.reachability = Reachability(self.directory)
        self.selector = make_selector(self.directory, reachability=self.reachability)
        for data_centre in DATA_CENTRES:
            for number in range(LEADERS_PER_DATA_CENTRE):
                names = [f"{data_centre}-{number}-{rank}" for rank in (0, 1)]
                put_group(
                    self.directory, f"{data_centre}-{number}", SMALL, names, data_centre=data_centre
                )

    def select(self, now_s: float, tried: Container[HostId] = ()) -> Endpoint:
        """Return the endpoint that is selected for a request."""
        chosen = self.selector.select(REQUIREMENTS, CONFIGURATION, tried, now_s)
        assert chosen is not None
        return chosen

    def leader(self, data_centre: DataCentreId, number: int) -> Endpoint:
        """Return a leader."""
        return self.directory.by_id[HostId(f"{data_centre}-{number}-0")]

    def fail_to_connect(self, data_centre: DataCentreId, *numbers: int, now_s: float = 0.0) -> None:
        """Record failures to connect to some leaders."""
        for number in numbers:
            self.reachability.on_failure(self.leader(data_centre, number), now_s)


class TestLostAll(unittest.TestCase):
    """Detection that this host reaches no endpoint at all."""

    def setUp(self) -> None:
        self.host = EntryHostModel()

    def test_other_data_centres_are_probed_once_one_is_cut_off(self) -> None:
        """Guards against requests that try unreachable endpoints of one data centre after another.

        Without the probes, each request would wait for the timeouts of connections to all of them.
        """
        self.host.fail_to_connect(CUT_OFF, 0, 1)
        probed = self.host.reachability.take_due_probes(0.0)
        self.assertEqual({endpoint.data_centre for endpoint in probed}, set(DATA_CENTRES))
        self.assertFalse(self.host.reachability.has_lost_all)
        for endpoint in probed:
            self.host.reachability.on_probe_failure(endpoint, CONNECT_TIMEOUT_S)
        self.assertTrue(self.host.reachability.has_lost_all)

    def test_one_connection_shows_that_not_all_is_lost(self) -> None:
        for data_centre in DATA_CENTRES:
            self.host.fail_to_connect(data_centre, 0, 1)
        self.assertTrue(self.host.reachability.has_lost_all)
        self.host.reachability.on_connected(self.host.leader(CUT_OFF, 3), 0.1)
        self.assertFalse(self.host.reachability.has_lost_all)
        self.assertEqual(self.host.reachability.last_connected_s, 0.1)

    def test_endpoints_that_are_silent_for_a_second_do_not_look_like_a_loss_of_all(self) -> None:
        """Guards against taking a pause of some endpoints for the end of all links of a host."""
        self.host.fail_to_connect(CUT_OFF, 0, 1, 2)
        for endpoint in self.host.reachability.take_due_probes(0.0):
            if endpoint.data_centre != CUT_OFF:
                self.host.reachability.on_connected(endpoint, 0.01)
        self.assertFalse(self.host.reachability.has_lost_all)
        self.assertTrue(self.host.reachability.reaches_any(self.host.directory.by_id.values()))

    def test_a_failed_probe_of_an_avoided_endpoint_changes_nothing(self) -> None:
        self.host.fail_to_connect(CUT_OFF, 0)
        self.host.reachability.on_probe_failure(self.host.leader(CUT_OFF, 0), 0.3)
        self.host.fail_to_connect(CUT_OFF, 1, now_s=FAILURE_WINDOW_S + 0.1)
        self.assertFalse(self.host.reachability.is_cut_off(CUT_OFF))


class TestCutOffDataCentre(unittest.TestCase):
    """Detection of a data centre that is cut off, and of the end of the partition."""

    def setUp(self) -> None:
        self.host = EntryHostModel()

    def test_only_few_requests_wait_for_a_connection_during_a_partition(self) -> None:
        delayed, verified = 0, 0
        pending: list[tuple[float, Endpoint]] = []
        for number in range(int(PARTITION_DURATION_S * REQUESTS_PER_S)):
            now_s = number / REQUESTS_PER_S
            while pending and pending[0][0] <= now_s:
                failed_s, endpoint = pending.pop(0)
                self.host.reachability.on_failure(endpoint, failed_s)
            for endpoint in self.host.reachability.take_due_probes(now_s):
                if endpoint.data_centre == CUT_OFF:
                    continue  # Such probes fail, as the requests do.
                verified += 1
                self.host.reachability.on_connected(endpoint, now_s)
            endpoint = self.host.select(now_s)
            self.host.selector.begin(endpoint.id)
            if endpoint.data_centre == CUT_OFF:
                delayed += 1
                self.host.selector.end(endpoint.id)
                pending.append((now_s + CONNECT_TIMEOUT_S, endpoint))
        self.assertGreater(delayed, 0)
        self.assertLessEqual(delayed, REQUESTS_PER_S * CONNECT_TIMEOUT_S + CUT_OFF_THRESHOLD)
        self.assertLessEqual(verified, CUT_OFF_PROBE_COUNT * (len(DATA_CENTRES) - 1))

    def test_one_unreachable_endpoint_leaves_the_others_in_use(self) -> None:
        self.host.fail_to_connect(CUT_OFF, 0)
        self.assertFalse(self.host.reachability.is_cut_off(CUT_OFF))
        self.assertTrue(self.host.reachability.is_avoided(self.host.leader(CUT_OFF, 0)))
        self.assertFalse(self.host.reachability.is_avoided(self.host.leader(CUT_OFF, 1)))

    def test_two_failures_long_after_each_other_do_not_cut_off_a_data_centre(self) -> None:
        self.host.fail_to_connect(CUT_OFF, 0)
        self.host.fail_to_connect(CUT_OFF, 1, now_s=FAILURE_WINDOW_S + 0.1)
        self.assertFalse(self.host.reachability.is_cut_off(CUT_OFF))

    def test_a_data_centre_is_not_cut_off_once_another_endpoint_answers_a_probe(self) -> None:
        self.host.fail_to_connect(CUT_OFF, 0, 1)
        self.assertTrue(self.host.reachability.is_avoided(self.host.leader(CUT_OFF, 5)))
        probed = self.host.reachability.take_due_probes(0.0)
        unreachable = {self.host.leader(CUT_OFF, number).id for number in (0, 1)}
        self.assertTrue(unreachable.isdisjoint(endpoint.id for endpoint in probed))
        self.host.reachability.on_connected(probed[0], 0.01)
        self.assertFalse(self.host.reachability.is_avoided(self.host.leader(CUT_OFF, 5)))
        self.assertTrue(self.host.reachability.is_avoided(self.host.leader(CUT_OFF, 0)))

    def test_the_end_of_a_partition_is_detected_by_the_next_round_of_probes(self) -> None:
        self.host.fail_to_connect(CUT_OFF, 0, 1)
        self.host.reachability.take_due_probes(0.0)
        self.assertEqual(self.host.reachability.take_due_probes(CUT_OFF_PROBE_INTERVAL_S / 2), [])
        for endpoint in self.host.reachability.take_due_probes(CUT_OFF_PROBE_INTERVAL_S):
            self.host.reachability.on_connected(endpoint, CUT_OFF_PROBE_INTERVAL_S)
        self.assertFalse(self.host.reachability.is_cut_off(CUT_OFF))
        due = self.host.reachability.take_due_probes(CUT_OFF_PROBE_INTERVAL_S + PROBE_INTERVAL_S)
        for endpoint in due:
            self.host.reachability.on_connected(endpoint, 1.0)
        self.assertEqual(self.host.reachability.take_due_probes(10.0), [])

    def test_a_host_that_reaches_no_endpoint_still_selects_one(self) -> None:
        for data_centre in DATA_CENTRES:
            self.host.fail_to_connect(data_centre, *range(LEADERS_PER_DATA_CENTRE))
        self.host.select(0.0)

    def test_endpoints_that_are_no_longer_listed_are_not_probed(self) -> None:
        self.host.fail_to_connect(CUT_OFF, *range(LEADERS_PER_DATA_CENTRE))
        self.host.reachability.take_due_probes(0.0)  # Those of the other data centres, too.
        for endpoint in list(self.host.directory.by_id.values()):
            if endpoint.data_centre == CUT_OFF:
                self.host.directory.remove(endpoint.id)
        self.assertEqual(self.host.reachability.take_due_probes(10.0), [])

    @given(st.lists(st.tuples(st.integers(0, 5), st.booleans(), st.floats(0.0, 0.5))))
    def test_once_every_probe_is_answered_nothing_is_avoided(
        self, events: list[tuple[int, bool, float]]
    ) -> None:
        host, now_s = EntryHostModel(), 0.0
        for number, is_reached, pause_s in events:
            now_s += pause_s
            if is_reached:
                host.reachability.on_connected(host.leader(CUT_OFF, number), now_s)
            else:
                host.fail_to_connect(CUT_OFF, number, now_s=now_s)
        for _ in range(2):
            now_s += PROBE_INTERVAL_S
            for endpoint in host.reachability.take_due_probes(now_s):
                host.reachability.on_connected(endpoint, now_s)
        leaders = (host.leader(CUT_OFF, number) for number in range(LEADERS_PER_DATA_CENTRE))
        self.assertFalse(any(host.reachability.is_avoided(leader) for leader in leaders))
