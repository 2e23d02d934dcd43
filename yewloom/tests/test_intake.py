"""Tests of taking in endpoints, from the store and from peers."""

import unittest
from dataclasses import replace
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from yewloom.directory import EndpointDirectory, GroupKey, Membership, MemberState
from yewloom.followed_position import FollowedPosition
from yewloom.followers import Update
from yewloom.ids import GroupId, HostId
from yewloom.intake import EndpointIntake
from yewloom.listed_endpoints import ChangedEndpoints, decode_endpoint, encode_endpoint
from yewloom.platform.records import StoreRecords
from yewloom.platforms import Listing, StoredObject
from yewloom.schema.entry_pb2 import EndpointMembership, ListedEndpoint
from yewloom.tests.entry_support import LARGE, SMALL, make_engine, make_plain, make_selector
from yewloom.tests.support import run_on_mock_clock


def _stored(name: str, revision: int) -> StoredObject:
    value = '{"service": "plain", "address": "1.2.3.4:5", "zone": "hall-a", "state": "ready"}'
    return StoredObject(f"servers/{name}", revision, value)


class TestEndpointIntake(unittest.TestCase):
    """What comes from the store is told; what peers tell is taken without a gap."""

    def setUp(self) -> None:
        self.directory = EndpointDirectory()
        self.followed = FollowedPosition()
        self.told: list[ChangedEndpoints] = []
        selector = make_selector(self.directory)
        self.intake = EndpointIntake(
            StoreRecords(), self.directory, selector, self.followed, self.told.append
        )
        self.directory.put(make_plain("a"))
        self.followed.take_listing(5, 0.0)

    def test_changes_of_a_watch_are_told_and_its_empty_end_is_not(self) -> None:
        self.intake.take(Update(Listing([], 7), 5, 0.0, False))
        self.assertEqual(self.told, [])
        changes = Listing([_stored("b", 9)], 9, ["servers/a"])
        self.intake.take(Update(changes, 7, 0.0, False))
        self.assertEqual(len(self.told), 1)
        self.assertEqual((self.told[0].base, self.told[0].position), (7, 9))
        self.assertEqual([endpoint.id for endpoint in self.told[0].endpoints], ["b"])
        self.assertEqual(list(self.told[0].removed), ["a"])

    def test_told_changes_are_taken_in_once(self) -> None:
        changes = ChangedEndpoints(4, 8, [make_plain("b")], [HostId("a")])
        self.intake.take_told(changes)
        self.assertEqual(set(self.directory.by_id), {"b"})
        self.assertEqual(self.followed.position, 8)
        self.directory.remove(HostId("b"))
        self.intake.take_told(changes)
        self.assertEqual(set(self.directory.by_id), set())

    def test_told_changes_after_a_gap_are_left_to_the_store(self) -> None:
        self.intake.take_told(ChangedEndpoints(6, 8, [make_plain("b")], [HostId("a")]))
        self.assertEqual(set(self.directory.by_id), {"a"})
        self.assertEqual(self.followed.position, 5)


class TestListedEndpoints(unittest.TestCase):
    """Endpoints as messages."""

    @given(
        st.sampled_from([None, *MemberState]),
        st.booleans(),
        st.sampled_from([None, LARGE, SMALL]),
        st.integers(0, 31),
    )
    def test_an_endpoint_comes_back_as_it_was(
        self, state: MemberState | None, is_leaving: bool, staged: object, rank: int
    ) -> None:
        key = GroupKey(GroupId("g"), 2**40)
        member = Membership(key, rank, state) if state is not None else None
        model = LARGE if staged == LARGE else None
        endpoint = make_engine("i", "d7", model, member, model, is_leaving=is_leaving)
        data = encode_endpoint(endpoint).SerializeToString()
        self.assertEqual(decode_endpoint(ListedEndpoint.FromString(data)), endpoint)

    def test_an_unknown_state_is_an_error(self) -> None:
        message = ListedEndpoint(id="i", membership=EndpointMembership(state="new"))
        with self.assertRaises(ValueError):
            decode_endpoint(message)


async def _take_in_loop(intake: EndpointIntake, update: Update) -> None:
    intake.take(update)


class TestRestarts(unittest.TestCase):
    """Another process runs under an endpoint's id, and nothing of the earlier one counts."""

    def setUp(self) -> None:
        self.directory, self.followed = EndpointDirectory(), FollowedPosition()
        self.selector = make_selector(self.directory)
        self.started: list[HostId] = []
        self.told: list[ChangedEndpoints] = []
        self.intake = EndpointIntake(
            StoreRecords(),
            self.directory,
            self.selector,
            self.followed,
            self.told.append,
            self.started.append,
        )
        self.directory.put(replace(make_plain("a"), started_unix_ms=7))
        self.followed.take_listing(5, 0.0)
        self.selector.avoid(HostId("a"), 100.0)

    def _is_avoided(self) -> bool:
        return self.selector._is_avoided(self.directory.by_id[HostId("a")], 1.0)

    def _take(self, started_unix_ms: int, how: str) -> None:
        """Take an entry in by a listing, a watch, or a peer's word."""
        stored = _stored("a", 9)
        value = stored.value.replace("{", f'{{"born": {started_unix_ms}, ', 1)
        stored = StoredObject(stored.key, stored.version, value)
        match how:
            case "listing":
                update = Update(Listing([stored], 9), None, 0.0, False)
                run_on_mock_clock(partial(_take_in_loop, self.intake, update))
            case "watch":
                self.intake.take(Update(Listing([stored], 9), 5, 0.0, False))
            case "peer":
                endpoint = StoreRecords().decode_endpoint(stored)
                self.intake.take_told(ChangedEndpoints(5, 9, [endpoint], []))

    def test_it_starts_with_nothing_whoever_tells_of_it_first_and_whatever_its_clock(self) -> None:
        for how in ("listing", "watch", "peer"):
            for started_unix_ms in (9, 3):
                with self.subTest(how=how, started_unix_ms=started_unix_ms):
                    self.setUp()
                    self._take(started_unix_ms, how)
                    self.assertFalse(self._is_avoided())
                    self.assertEqual(self.started, ["a"])
                    listed = self.directory.by_id[HostId("a")]
                    self.assertEqual(listed.started_unix_ms, started_unix_ms)

    def test_an_entry_of_the_same_process_changes_nothing_of_that(self) -> None:
        for how in ("listing", "watch", "peer"):
            self.setUp()
            self._take(7, how)
            self.assertTrue(self._is_avoided())
            self.assertEqual(self.started, [])

    def test_a_peers_late_word_of_the_earlier_process_is_not_taken(self) -> None:
        self._take(9, "watch")
        self.followed.take_changes(9, True, 0.0)
        late = replace(make_plain("a"), started_unix_ms=7)
        self.intake.take_told(ChangedEndpoints(5, 8, [late], []))
        self.assertEqual(self.directory.by_id[HostId("a")].started_unix_ms, 9)

    def test_peers_are_told_which_process_it_is(self) -> None:
        self._take(9, "watch")
        [endpoint] = self.told[0].endpoints
        self.assertEqual(decode_endpoint(encode_endpoint(endpoint)).started_unix_ms, 9)
