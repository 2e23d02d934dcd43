"""Tests of the caller interface without sockets: rejections are problems, and nothing runs."""

import hashlib
import json
import random
import unittest
from dataclasses import dataclass, field
from typing import Any

import trio

from yewloom.admission import AdmissionController
from yewloom.callers import CallerInterface
from yewloom.claim_writer import ClaimWriter
from yewloom.dispatch import Dispatcher
from yewloom.idempotency import IdempotentRunner
from yewloom.ids import AttemptId, CustomerId
from yewloom.loop_lateness import LoopDelayMonitor
from yewloom.node import build_node
from yewloom.places import SlotPool
from yewloom.retries import RetryBudget
from yewloom.schema.table_pb2 import CustomerRow, Row, ServiceRow, VersionedRow
from yewloom.service_dispatch import ServiceDispatcher
from yewloom.settings import parse_settings
from yewloom.tests.support import FakeEngines, FakePlatform, make_policy, run_on_mock_clock
from yewloom.tests.test_dispatch import SETTINGS, TOKENS

KEY = "secret"
CHAT = {"model": "m", "messages": [{"role": "user", "content": "x"}]}


@dataclass
class _SentResponse:
    """What the application sent for one request."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    async def send(self, message: Any) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {n.decode(): v.decode() for n, v in message["headers"]}
        else:
            self.body += message.get("body", b"")


def _post(
    path: str, body: Any, share: int = 5, delay_s: float | None = None, **headers: str
) -> _SentResponse:
    """Send one request to an entry host without open groups, with a loop delay if given."""

    async def scenario() -> _SentResponse:
        sent = _SentResponse()
        async with trio.open_nursery() as nursery:
            application = _interface(nursery, share, delay_s).application()
            await application(_scope(path, headers), _receiver(body), sent.send)
            nursery.cancel_scope.cancel()
        return sent

    return run_on_mock_clock(scenario)


class _FixedLoopDelay(LoopDelayMonitor):
    """Reports a fixed loop delay."""

    def __init__(self, delay_s: float) -> None:
        super().__init__()
        self._delay_s = delay_s

    def delay_s(self) -> float:
        """Return that delay."""
        return self._delay_s


def _interface(nursery: trio.Nursery, share: int, delay_s: float | None) -> CallerInterface:
    node = build_node(parse_settings(SETTINGS, "test").unwrap(), random.Random(1), 1)
    if delay_s is not None:
        node.loop_delay = _FixedLoopDelay(delay_s)
    customer = CustomerRow(key_digest=hashlib.sha256(KEY.encode()).hexdigest(), weight=1)
    rows = {
        "policy/p": Row(policy=make_policy()),
        "customer/c": Row(customer=customer),
        "service/s": Row(service=ServiceRow(unsafe_paths="/u", timeout_ms=1000)),
    }
    for name, row in rows.items():
        node.table.apply(VersionedRow(name=name, version=1, row=row))
    node.is_table_loaded = True
    node.admission = AdmissionController(4, 4)
    slots, engines = SlotPool(node.admission), FakeEngines(TOKENS)

    def share_of(customer: CustomerId, row: CustomerRow) -> int:
        return share

    budget = RetryBudget(0.1, 3)
    models = Dispatcher(node, slots, engines, nursery, share_of, budget)
    services = ServiceDispatcher(node, slots, engines, share_of, budget)
    writer = ClaimWriter(FakePlatform(), nursery, 1, 1000, 1.0, lambda: 0)

    def new_attempt() -> AttemptId:
        return AttemptId("a")

    runner = IdempotentRunner(writer, node.id, new_attempt)
    return CallerInterface(node, models, services, runner, new_attempt)


def _scope(path: str, headers: dict[str, str]) -> dict[str, Any]:
    named = {"authorization": f"Bearer {KEY}", **headers}
    encoded = [(n.replace("_", "-").encode(), v.encode()) for n, v in named.items()]
    return {
        "type": "http",
        "method": "POST",
        "path": path,
        "query_string": b"",
        "headers": encoded,
        "server": ("127.0.0.1", 1),
    }


def _receiver(body: Any) -> Any:
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    messages: list[dict[str, Any]] = [{"type": "http.request", "body": content}]

    async def receive() -> dict[str, Any]:
        if messages:
            return messages.pop(0)
        await trio.sleep_forever()
        raise AssertionError("never reached")

    return receive


class TestRejections(unittest.TestCase):
    """Each rejection is a problem document that says that the request was not run."""

    def _check(self, sent: _SentResponse, status: int) -> None:
        self.assertEqual(sent.status, status, sent.body)
        self.assertEqual(sent.headers["content-type"], "application/problem+json")
        problem = json.loads(sent.body)
        self.assertEqual((problem["outcome"], problem["status"]), ("not_run", status))
        self.assertTrue(problem["detail"].endswith("."))

    def test_invalid_requests_are_rejected(self) -> None:
        chat = "/v1/chat/completions"
        self._check(_post(chat, b"{"), 400)
        self._check(_post(chat, []), 400)
        self._check(_post(chat, {**CHAT, "model": 7}), 400)
        self._check(_post(chat, {**CHAT, "messages": [{"role": "user"}]}), 400)
        self._check(_post(chat, {**CHAT, "max_tokens": True}), 400)
        self._check(_post(chat, {**CHAT, "model": "other"}), 404)
        self._check(_post(chat, CHAT, authorization="Bearer wrong"), 401)
        self._check(_post(chat, CHAT, x_timeout_ms="soon"), 400)
        self._check(_post(chat, CHAT, idempotency_key="k" * 300), 400)
        self._check(_post("/v1/completions", {"model": "m", "prompt": ""}), 400)
        self._check(_post("/services/other/x", {}), 404)
        self._check(_post("/nowhere", {}), 404)

    def test_a_request_read_after_its_deadline_is_rejected(self) -> None:
        """Guards against work that no caller waits for, after the event loop was blocked."""
        for path, body in (("/v1/chat/completions", CHAT), ("/services/s/u", {})):
            sent = _post(path, body, delay_s=1.5, x_timeout_ms="1500")
            self._check(sent, 503)
            self.assertIn(b"after its deadline", sent.body)
            sent = _post(path, body, delay_s=1.5, x_timeout_ms="2000")
            self.assertNotIn(b"after its deadline", sent.body)

    def test_a_customer_without_a_share_gets_retry_after(self) -> None:
        for body in (CHAT, {**CHAT, "stream": True}):
            sent = _post("/v1/chat/completions", body, share=0)
            self._check(sent, 429)
            self.assertGreaterEqual(int(sent.headers["retry-after"]), 1)

    def test_without_an_open_group_the_outcome_is_not_run(self) -> None:
        for body in (CHAT, {**CHAT, "stream": True}):
            self._check(_post("/v1/chat/completions", body), 503)
            self._check(_post("/v1/chat/completions", body, idempotency_key="k"), 503)

    def test_without_an_open_service_endpoint_the_outcome_is_not_run(self) -> None:
        self._check(_post("/services/s/u", {}, idempotency_key="k"), 503)
