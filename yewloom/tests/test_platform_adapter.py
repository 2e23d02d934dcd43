"""Tests of the platform adapter: decoding of its formats, and calls to its store and engines."""

import json
import random
import unittest
from collections.abc import Mapping
from functools import partial
from typing import Any

import trio
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Result

from yewloom.caller_headers import ForwardingMetadata, HeaderError
from yewloom.departures import Departures
from yewloom.directory import GroupKey, MemberState
from yewloom.endpoint_announcements import AnnouncedLimit, RequestedPause
from yewloom.endpoint_calls import ResponseHead
from yewloom.http_calls import (
    MAX_RESPONSE_BYTES,
    HttpCallError,
    HttpClient,
    HttpFailure,
    HttpResponse,
)
from yewloom.ids import CustomerId, GroupId, HostId, ModelName
from yewloom.platform.engines import HttpEngineClient, order_fields
from yewloom.platform.headers import HttpHeaderCodec
from yewloom.platform.records import StoreRecordDecoder
from yewloom.platform.standin_engine import UserEngineStandIn
from yewloom.platform.standin_store import StoreStandIn
from yewloom.platform.store import StoreClient
from yewloom.platforms import PlatformError, PlatformFailure, StoredObject
from yewloom.prompt_parts import MAX_SHARED_PARTS
from yewloom.replica_orders import CloseGroup, EngineReport, JoinGroup, OrderAnswer, StageModel
from yewloom.routes import RouteKind
from yewloom.store_revisions import qualify_revision
from yewloom.tests.asgi_client import AsgiHttpClient
from yewloom.tests.support import run_on_mock_clock
from yewloom.writes import RecordError

RNG = random.Random(1)

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "x.example",
            "pathPrefix": "/a/",
            "type": "stream",
            "timeoutMs": 8000,
            "sloMs": 500,
            "priority": 1,
            "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "attempts": 2,
            "anonymous": False,
            "resumable": True,
            "somethingNew": [1],
        },
        {
            "name": "r2",
            "host": "x.example",
            "pathPrefix": "/b/",
            "type": "non_idempotent",
            "timeoutMs": 1000,
            "service": "s2",
            "anonymous": True,
        },
    ],
    "services": [
        {
            "name": "s1",
            "engine": {
                "slots": 13,
                "models": [{"name": "m", "size": 4, "share": 0.67, "loadS": 16, "warmupS": 1.6}],
                "loadsPerS": 4.0,
            },
        },
        {"name": "s2"},
    ],
    "limits": {"maxBodyBytes": 99},
    "tenants": [{"name": "hotel", "apiKeys": ["k1", "k2"]}],
}

ENDPOINT = {
    "service": "s1",
    "address": "10.1.0.1:80",
    "zone": "hall-a",
    "state": "ready",
    "domain": "d1",
    "models": [{"name": "m", "version": 1}],
    "staged": ["m"],
    "group": {"name": "g", "epoch": 4, "rank": 0, "state": "open"},
    "sequence": 9,
}


def _stored_object(kind: str, name: str, fields: Any) -> StoredObject:
    return StoredObject(f"{kind}/{name}", 3, json.dumps(fields))


class TestStoreRecordDecoder(unittest.TestCase):
    """Decoding of configurations and endpoints."""

    def setUp(self) -> None:
        self.records = StoreRecordDecoder()

    def test_a_configuration_is_decoded(self) -> None:
        configuration = self.records.decode_configuration(
            _stored_object("config", "main", CONFIGURATION)
        )
        assert configuration is not None
        stream = configuration.routes.find("x.example", "/a/1")
        unsafe = configuration.routes.find("x.example", "/b/1")
        assert stream is not None and unsafe is not None
        self.assertEqual((stream.kind, stream.is_resumable), (RouteKind.STREAM, True))
        self.assertEqual([part.weight for part in stream.services], [90, 10])
        self.assertEqual((unsafe.kind, unsafe.max_endpoints), (RouteKind.UNSAFE, 1))
        self.assertTrue(unsafe.allows_anonymous)
        self.assertEqual(configuration.customers["k2"], "hotel")
        self.assertEqual(configuration.limits.max_body_bytes, 99)
        [service] = configuration.engine_services()
        assert service.engine is not None
        self.assertEqual(service.engine.models[ModelName("m")].group_size, 4)

    def test_other_objects_of_the_kind_are_ignored(self) -> None:
        self.assertIsNone(self.records.decode_configuration(_stored_object("config", "other", {})))

    def test_an_endpoint_is_decoded(self) -> None:
        endpoint = self.records.decode_endpoint(_stored_object("servers", "i1", ENDPOINT))
        assert endpoint.membership is not None
        self.assertEqual(endpoint.id, "i1")
        self.assertEqual(endpoint.membership.key, GroupKey(GroupId("g"), 4))
        self.assertIs(endpoint.membership.state, MemberState.OPEN)
        self.assertEqual(endpoint.staged, {"m"})
        self.assertFalse(endpoint.is_leaving)

    def test_a_draining_endpoint_is_leaving(self) -> None:
        fields = ENDPOINT | {"state": "draining", "group": None}
        endpoint = self.records.decode_endpoint(_stored_object("servers", "i1", fields))
        self.assertTrue(endpoint.is_leaving)
        self.assertIsNone(endpoint.membership)

    @given(st.sampled_from(sorted(ENDPOINT)), st.sampled_from([None, 3, "x", [], {}, [7]]))
    def test_a_malformed_endpoint_is_decoded_or_named_in_the_error(
        self, field: str, value: Any
    ) -> None:
        try:
            self.records.decode_endpoint(_stored_object("servers", "i1", ENDPOINT | {field: value}))
        except RecordError as error:
            self.assertIn("servers/i1", str(error))

    @given(st.sampled_from(sorted(CONFIGURATION)), st.sampled_from([3, "x", [7], {"a": 1}]))
    def test_a_malformed_configuration_is_decoded_or_named_in_the_error(
        self, field: str, value: Any
    ) -> None:
        fields = CONFIGURATION | {field: value}
        try:
            self.records.decode_configuration(_stored_object("config", "main", fields))
        except RecordError as error:
            self.assertIn("config/main", str(error))


REQUEST = [
    (b"host", b"x.example:80"),
    (b"yewloom-request-id", b"abc"),
    (b"yewloom-deadline-ms", b"900"),
    (b"authorization", b"Token k1"),
    (b"yewloom-model", b"m"),
    (b"yewloom-tenant", b"forged"),
    (b"yewloom-expect-instance", b"forged"),
    (b"last-event-id", b"12"),
    (b"connection", b"close, x-hop"),
    (b"x-hop", b"1"),
    (b"x-end", b"2"),
    (b"content-length", b"3"),
]


class TestHttpHeaderCodec(unittest.TestCase):
    """Translation of the headers of requests and responses."""

    def setUp(self) -> None:
        self.codec = HttpHeaderCodec()

    def test_a_request_is_decoded(self) -> None:
        metadata = self.codec.decode_request(REQUEST)
        self.assertEqual(
            (metadata.request_id, metadata.host, metadata.api_key), ("abc", "x.example", "k1")
        )
        self.assertEqual(
            (metadata.deadline_ms, metadata.model, metadata.last_event_id), (900, "m", 12)
        )

    def test_the_parts_of_a_prompt_except_the_last_are_shared(self) -> None:
        for text, shared in (
            (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", (0x5C1E07A2, 0x91BD3F06)),
            (b"5c1e:800, 5c1e:1 ,91bd,e4:250", (0x5C1E, 0x91BD)),
            (b"5c1e:800", ()),
            (b",,:3,", ()),
            (b"", ()),
        ):
            headers = [(b"host", b"a"), (b"yewloom-prompt-prefix", text)]
            self.assertEqual(HttpHeaderCodec().decode_request(headers).shared_parts, shared)

    def test_malformed_and_very_many_parts_of_a_prompt_are_bounded(self) -> None:
        """Guards against a header that costs much time or memory, or fails a request."""
        for text in (b"x" * 5000 + b":1,e4:2", b"no part,e4:2", b"-5:1,e4:2", b"\xff:1,e4:2"):
            headers = [(b"yewloom-prompt-prefix", text)]
            (part,) = HttpHeaderCodec().decode_request(headers).shared_parts
            self.assertIn(part, range(1 << 64))
        many = b",".join(b"%x:1" % number for number in range(1, 5000))
        parts = HttpHeaderCodec().decode_request([(b"yewloom-prompt-prefix", many)]).shared_parts
        self.assertEqual(parts, tuple(range(1, 1 + MAX_SHARED_PARTS)))

    def test_an_invalid_number_is_an_error(self) -> None:
        with self.assertRaises(HeaderError):
            self.codec.decode_request([(b"yewloom-deadline-ms", b"soon")])

    def test_the_api_key_and_forged_headers_are_not_forwarded(self) -> None:
        metadata = ForwardingMetadata(HostId("i1"), CustomerId("hotel"), 700, last_event_id=15)
        sent = self.codec.build_request_headers(REQUEST, metadata)
        names = [name for name, _ in sent]
        self.assertEqual(len(names), len(set(names)))
        sent_values = dict(sent)
        self.assertNotIn(b"authorization", sent_values)
        self.assertNotIn(b"x-hop", sent_values)
        self.assertNotIn(b"connection", sent_values)
        self.assertEqual(sent_values[b"x-end"], b"2")
        self.assertEqual(sent_values[b"yewloom-tenant"], b"hotel")
        self.assertEqual(sent_values[b"yewloom-expect-instance"], b"i1")
        self.assertEqual(sent_values[b"yewloom-deadline-ms"], b"700")
        self.assertEqual(sent_values[b"last-event-id"], b"15")
        self.assertEqual(sent_values[b"yewloom-request-id"], b"abc")

    def test_without_a_customer_a_forged_customer_header_is_dropped(self) -> None:
        sent = dict(
            self.codec.build_request_headers(
                REQUEST, ForwardingMetadata(HostId("i1"), None, 1, None)
            )
        )
        self.assertNotIn(b"yewloom-tenant", sent)
        self.assertEqual(sent[b"last-event-id"], b"12")

    def test_only_a_marked_or_misdirected_response_means_not_run(self) -> None:
        marked = ResponseHead(503, [(b"yewloom-not-executed", b"1")])
        self.assertTrue(self.codec.decode_response(marked).is_not_run)
        self.assertTrue(self.codec.decode_response(ResponseHead(421, [])).is_not_run)
        self.assertFalse(self.codec.decode_response(ResponseHead(503, [])).is_not_run)

    def test_the_limit_in_a_response_is_decoded(self) -> None:
        for text, per_s in ((b"1", 1.0), (b"0.25", 0.25), (b"0", 0.0), (b"120.50", 120.5)):
            head = ResponseHead(200, [(b"server-limit", text)])
            self.assertEqual(
                self.codec.decode_response(head).announcements.limit, AnnouncedLimit(per_s)
            )
        self.assertEqual(
            self.codec.decode_response(ResponseHead(200, [])).announcements.limit, AnnouncedLimit()
        )

    def test_the_pause_in_a_rejection_is_decoded(self) -> None:
        cases = [(b"3", 3.0), (b"0.25", 0.25), (b"0", 0.0), (b"1000000000", 1e9)]
        for text, pause_s in cases:
            head = ResponseHead(503, [(b"retry-after", text)])
            self.assertEqual(
                self.codec.decode_response(head).announcements.pause, RequestedPause(pause_s)
            )
        without = ResponseHead(503, [])
        self.assertEqual(self.codec.decode_response(without).announcements.pause, RequestedPause())

    def test_only_an_unavailable_endpoint_asks_for_a_pause(self) -> None:
        for status in (200, 400, 421, 429, 500):
            head = ResponseHead(status, [(b"retry-after", b"3")])
            self.assertEqual(self.codec.decode_response(head).announcements.pause, RequestedPause())

    def test_an_invalid_pause_is_described_and_changes_nothing(self) -> None:
        date = b"Wed, 21 Oct 2026 07:28:00 GMT"
        for text in (b"", b"soon", b"-1", b"1e3", b"nan", b"inf", b"9" * 50, b"3 s", date):
            pause = self.codec.decode_response(
                ResponseHead(503, [(b"retry-after", text)])
            ).announcements.pause
            self.assertEqual(pause.pause_s, 0.0)
            self.assertTrue(pause.invalid_text)

    def test_an_invalid_limit_is_ignored(self) -> None:
        """An invalid text must not be read as a limit of zero, a negative limit or no limit."""
        texts = (
            b"",
            b"-1",
            b"+1",
            b"nan",
            b"inf",
            b"1e9",
            b"1,5",
            b"0x1",
            b".5",
            b"5.",
            b"9" * 400,
        )
        for text in (*texts, b"9" * 400):
            head = ResponseHead(200, [(b"server-limit", text)])
            limit = self.codec.decode_response(head).announcements.limit
            self.assertFalse(limit.is_announced)
            self.assertTrue(limit.invalid_text)
            self.assertLess(len(limit.invalid_text), 60)

    def test_a_limit_of_another_process_at_the_address_is_ignored(self) -> None:
        head = ResponseHead(421, [(b"server-limit", b"1")])
        self.assertEqual(
            self.codec.decode_response(head).announcements.limit, AnnouncedLimit(is_announced=False)
        )

    def test_framing_headers_are_not_forwarded(self) -> None:
        head = ResponseHead(
            200,
            [(b"yewloom-server-stamp", b"s"), (b"transfer-encoding", b"chunked")],
        )
        self.assertEqual(self.codec.build_response_headers(head), [(b"yewloom-server-stamp", b"s")])


class _FakeHttpClient(HttpClient):
    """Returns responses from a list and records the calls."""

    def __init__(self, *responses: HttpResponse | HttpFailure) -> None:
        super().__init__(1.0)
        self.responses = list(responses)
        self.calls: list[tuple[str, str, Any]] = []
        self.pause_s = 0.0

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        new_connection: bool = False,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> HttpResponse:
        self.calls.append((method, url, json.loads(body) if body else None))
        await trio.sleep(self.pause_s)
        response = self.responses.pop(0)
        if isinstance(response, HttpFailure):
            raise HttpCallError(response, "lost")
        return response


def _json(status: int, fields: Any, era: int = 0) -> HttpResponse:
    return HttpResponse(status, {"store-era": str(era)}, json.dumps(fields).encode())


def _object(name: str, revision: int, spec: Any = None) -> Any:
    return {"metadata": {"name": name, "revision": revision}, "spec": spec}


class TestStoreClient(unittest.TestCase):
    """Calls to the store and the decoding of its responses."""

    def test_a_listing_reads_all_pages_and_keeps_the_position_of_the_first(self) -> None:
        client = _FakeHttpClient(
            _json(200, {"items": [_object("a", 1)], "morePages": True, "storeRevision": 5}),
            _json(200, {"items": [_object("b", 2)], "morePages": False, "storeRevision": 9}),
        )
        listing = run_on_mock_clock(lambda: StoreClient(client, "s:1", 1.0, RNG).list("k")).unwrap()
        self.assertEqual([stored.key for stored in listing.objects], ["k/a", "k/b"])
        self.assertEqual(listing.position, 5)
        self.assertIn("sinceRev=a", client.calls[1][1])

    def test_the_last_of_several_changes_counts(self) -> None:
        events = [
            {"object": _object("a", 6, 1), "tombstone": False},
            {"object": _object("b", 7), "tombstone": True},
            {"object": _object("a", 8, 2), "tombstone": False},
            {"object": _object("c", 9), "tombstone": False},
            {"object": _object("c", 10), "tombstone": True},
        ]
        client = _FakeHttpClient(_json(200, {"events": events, "storeRevision": 10}))
        listing = run_on_mock_clock(
            lambda: StoreClient(client, "s:1", 1.0, RNG).watch("k", 5)
        ).unwrap()
        self.assertEqual([(s.key, s.version, s.value) for s in listing.objects], [("k/a", 8, "2")])
        self.assertEqual(sorted(listing.removed), ["k/b", "k/c"])

    def test_a_watch_confirms_its_full_duration_only_if_it_did_not_end_early(self) -> None:
        async def watch(pause_s: float) -> float:
            client = _FakeHttpClient(_json(200, {"events": [], "storeRevision": 10}))
            client.pause_s = pause_s
            store = StoreClient(client, "s:1", 1.0, RNG, watch_s=1.0)
            return (await store.watch("k", 5)).unwrap().confirmed_after_s

        self.assertGreaterEqual(run_on_mock_clock(lambda: watch(1.0)), 0.75)
        self.assertEqual(run_on_mock_clock(lambda: watch(0.5)), 0.0)

    def test_a_watch_whose_response_was_read_late_may_confirm_only_its_start(self) -> None:
        """A host that was suspended must not treat a response that arrived earlier as current."""

        async def watch(delay_s: float) -> float:
            client = _FakeHttpClient(_json(200, {"events": [], "storeRevision": 10}))
            client.pause_s = 3.0
            store = StoreClient(client, "s:1", 1.0, RNG, watch_s=1.0, loop_delay_s=lambda: delay_s)
            return (await store.watch("k", 5)).unwrap().confirmed_after_s

        self.assertGreaterEqual(run_on_mock_clock(lambda: watch(1.5)), 0.75)
        self.assertEqual(run_on_mock_clock(lambda: watch(2.5)), 0.0)

    def test_the_first_write_creates_and_later_ones_state_the_revision(self) -> None:
        client = _FakeHttpClient(_json(201, _object("a", 4)), _json(200, _object("a", 6)))
        store = StoreClient(client, "s:1", 1.0, RNG)
        self.assertEqual(run_on_mock_clock(lambda: store.update("k/a", "{}", 0)).unwrap(), 4)
        self.assertEqual(run_on_mock_clock(lambda: store.update("k/a", "{}", 4)).unwrap(), 6)
        self.assertEqual([call[0] for call in client.calls], ["POST", "PUT"])
        self.assertEqual(client.calls[1][2]["metadata"]["revision"], 4)

    def test_a_condition_of_an_earlier_era_does_not_hold(self) -> None:
        """Guards against overwriting an object whose revision was given out again."""
        earlier = qualify_revision(1, 4)
        client = _FakeHttpClient(_json(200, _object("a", 2), era=2))
        store = StoreClient(client, "s:1", 1.0, RNG)

        async def main() -> Result[int, PlatformError]:
            await store.get("k/a")
            return await store.update("k/a", "{}", earlier)

        self.assertIs(run_on_mock_clock(main).unwrap_err().failure, PlatformFailure.CONFLICT)
        self.assertEqual(len(client.calls), 1)

    def test_a_write_whose_condition_held_in_another_era_is_a_conflict(self) -> None:
        earlier = qualify_revision(1, 4)
        responses = _json(200, _object("a", 4), era=1), _json(200, _object("a", 6), era=2)
        store = StoreClient(_FakeHttpClient(*responses), "s:1", 1.0, RNG)

        async def main() -> Result[int, PlatformError]:
            await store.get("k/a")
            return await store.update("k/a", "{}", earlier)

        self.assertIs(run_on_mock_clock(main).unwrap_err().failure, PlatformFailure.CONFLICT)

    def test_a_watch_from_a_position_of_another_era_has_expired(self) -> None:
        """Guards against changes that are missing if the store has reached the revision again."""
        listed = _json(200, {"items": [], "storeRevision": 5}, era=1)
        watched = _json(200, {"events": [], "storeRevision": 9}, era=2)
        client = _FakeHttpClient(listed, watched)
        store = StoreClient(client, "s:1", 1.0, RNG)

        async def main() -> list[PlatformFailure]:
            position = (await store.list("k")).unwrap().position
            answers = [await store.watch("k", position) for _ in range(2)]
            return [answer.unwrap_err().failure for answer in answers]

        self.assertEqual(run_on_mock_clock(main), [PlatformFailure.EXPIRED] * 2)
        self.assertEqual(len(client.calls), 2)

    def test_a_late_answer_of_an_earlier_era_is_not_used(self) -> None:
        responses = [
            _json(200, {"items": [], "storeRevision": 5}, era=2),
            _json(200, {"items": [], "storeRevision": 9}, era=1),
        ]
        store = StoreClient(_FakeHttpClient(*responses), "s:1", 1.0, RNG)

        async def main() -> tuple[int, bool]:
            position = (await store.list("k")).unwrap().position
            return position, (await store.list("k")).is_err()

        self.assertEqual(run_on_mock_clock(main), (qualify_revision(2, 5), True))

    def test_on_call_gets_the_kind_and_status_of_each_call(self) -> None:
        responses: list[HttpResponse | HttpFailure] = [
            _json(200, {"items": [], "storeRevision": 5}),
            HttpFailure.NOT_SENT,
        ]
        responses += [_json(200, {"events": [], "storeRevision": 5}), _json(409, {})]
        client, calls = _FakeHttpClient(*responses, _json(404, {})), list[tuple[str, str, str]]()
        store = StoreClient(client, "s:1", 1.0, RNG, on_call=lambda *call: calls.append(call))
        stale = StoreClient(
            client, "s:1", 1.0, RNG, allows_stale=True, on_call=lambda *call: calls.append(call)
        )

        async def main() -> None:
            await store.list("k")
            await stale.list("k")
            await store.watch("k", 5)
            await store.update("k/a", "{}", 3)
            await store.get("k/a")

        run_on_mock_clock(main)
        expected = ["list 200", "stale list none", "watch 200", "update 409", "get 404"]
        self.assertEqual([f"{call} {status}" for call, _, status in calls], expected)
        self.assertEqual({kind for _, kind, _ in calls}, {"k"})

    def test_each_status_is_mapped_to_a_failure(self) -> None:
        cases = {
            409: PlatformFailure.CONFLICT,
            410: PlatformFailure.EXPIRED,
            429: PlatformFailure.NOT_APPLIED,
            503: PlatformFailure.NOT_APPLIED,
            500: PlatformFailure.AMBIGUOUS,
            400: PlatformFailure.INVALID,
        }
        for status, failure in cases.items():
            with self.subTest(status=status):
                self.assertIs(self._failure(_json(status, {})), failure)

    def test_a_write_without_a_response_is_ambiguous_unless_it_was_not_sent(self) -> None:
        self.assertIs(self._failure(HttpFailure.NOT_SENT), PlatformFailure.NOT_APPLIED)
        self.assertIs(self._failure(HttpFailure.MAYBE_SENT), PlatformFailure.AMBIGUOUS)
        self.assertIs(self._failure(HttpFailure.TIMED_OUT), PlatformFailure.AMBIGUOUS)

    def _failure(self, response: HttpResponse | HttpFailure) -> PlatformFailure:
        store = StoreClient(_FakeHttpClient(response), "s:1", 1.0, RNG)
        match run_on_mock_clock(lambda: store.update("k/a", "{}", 3)):
            case Err(error):
                return error.failure
        raise AssertionError("the write succeeded")


KEY = GroupKey(GroupId("g"), 4)


class TestHttpEngineClient(unittest.TestCase):
    """Encoding of orders, and decoding of the responses to them and of reports."""

    def test_orders_are_encoded(self) -> None:
        join = order_fields(JoinGroup(KEY, ModelName("m"), [HostId("a"), HostId("b")]))
        self.assertEqual(join["members"], ["a", "b"])
        self.assertEqual((join["op"], join["group"], join["epoch"]), ("join", "g", 4))
        self.assertEqual(order_fields(CloseGroup(KEY))["mode"], "wait")
        self.assertEqual(order_fields(StageModel(ModelName("m"))), {"op": "phase", "model": "m"})

    def test_responses_to_orders_are_decoded(self) -> None:
        pairs: list[tuple[HttpResponse | HttpFailure, OrderAnswer]] = [
            (_json(202, {}), OrderAnswer.STARTED),
            (_json(200, {}), OrderAnswer.UNCHANGED),
            (_json(409, {}), OrderAnswer.REFUSED),
            (_json(412, {}), OrderAnswer.REFUSED),
            (_json(421, {}), OrderAnswer.WRONG_ENGINE),
            (_json(500, {}), OrderAnswer.UNKNOWN),
            (HttpFailure.NOT_SENT, OrderAnswer.UNREACHABLE),
            (HttpFailure.TIMED_OUT, OrderAnswer.UNKNOWN),
        ]
        for response, expected in pairs:
            client = _FakeHttpClient(response)
            engines = HttpEngineClient(client, Departures())
            send = partial(engines.send, HostId("i"), "i:1", StageModel(ModelName("m")), 6)
            answer = run_on_mock_clock(send)
            self.assertIs(answer, expected)
            self.assertEqual(client.calls[0][2]["expectedRev"], 6)

    def test_a_stand_in_engine_that_leaves_says_so_in_its_answer_to_an_order(self) -> None:
        departures = Departures()
        engine = UserEngineStandIn("i", "i:1", "s", "d", "z", StoreStandIn())
        client = AsgiHttpClient(engine.application())
        engines = HttpEngineClient(client, departures)
        send = partial(engines.send, HostId("i"), "i:1", StageModel(ModelName("m")), None)
        for is_leaving in (False, True):
            engine.is_leaving = is_leaving
            self.assertIs(run_on_mock_clock(send), OrderAnswer.STARTED)
            self.assertEqual(departures.is_leaving(HostId("i")), is_leaving)

    def test_an_answer_to_an_order_can_say_that_the_engine_leaves(self) -> None:
        cases = [({}, "i"), ({"yewloom-instance-id": "other"}, "other")]
        for headers, leaving in cases:
            response = HttpResponse(409, {"server-leaving": "1", **headers}, b"{}")
            departures = Departures()
            engines = HttpEngineClient(_FakeHttpClient(response), departures)
            send = partial(engines.send, HostId("i"), "i:1", StageModel(ModelName("m")), 6)
            run_on_mock_clock(send)
            self.assertEqual(departures.is_leaving(HostId("i")), leaving == "i")
            self.assertTrue(departures.is_leaving(HostId(leaving)))

    def test_a_missing_or_invalid_report_is_none(self) -> None:
        responses: list[HttpResponse | HttpFailure] = [
            HttpFailure.TIMED_OUT,
            _json(200, {"sequence": 5}),
            _json(200, {"sequence": 6, "born": 1_790_000_000_000}),
            _json(200, {"sequence": 6, "born": "yesterday"}),
            _json(200, []),
        ]
        engines = HttpEngineClient(_FakeHttpClient(*responses), Departures())
        reports = [run_on_mock_clock(lambda: engines.read_report("i:1")) for _ in responses]
        with_start_time = EngineReport(6, 1_790_000_000_000)
        self.assertEqual(reports, [None, EngineReport(5), with_start_time, None, None])

    def test_the_start_time_of_an_endpoint_is_decoded(self) -> None:
        records = StoreRecordDecoder()
        for born, expected in ((None, 0), (1_790_000_000_000, 1_790_000_000_000)):
            stored = _stored_object("servers", "i1", ENDPOINT | {"born": born})
            self.assertEqual(records.decode_endpoint(stored).started_unix_ms, expected)
        for wrong in (True, 1.5, "1", -1, 2**60):
            with self.assertRaises(RecordError):
                records.decode_endpoint(_stored_object("servers", "i1", ENDPOINT | {"born": wrong}))
