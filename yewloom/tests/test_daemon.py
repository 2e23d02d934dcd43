"""Tests of a planned stop with real processes: accepted work ends, and no new work begins.

Each test stops its own entry host of one fleet.
"""

import json
import signal
import socket
import threading
import time
import unittest
from http.client import HTTPResponse
from typing import Any, ClassVar

from yewloom.tests.processes import (
    ENTRY_SETTINGS,
    MODEL,
    Fleet,
    HttpResponse,
    authorized,
    call,
    wait_for,
)

CLOSED_AFTER_S = 0.9
"""Time after SIGTERM at which a host certainly rejects requests: 0.4 s after the end of its
deregistration delay."""

SHORT_DRAIN_MS = 1000
"""Drain time in ms of a host that cannot finish long requests."""

LONG_TOKENS = 2000
"""Tokens of a request that takes about 10 s at the rate that admission initially assumes."""

CHAT = "/v1/chat/completions"


class _Caller:
    """A kept-open caller connection that can send a request in parts."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection(("127.0.0.1", port), timeout=20)

    def send_head(self, method: str, path: str, length: int = 0) -> None:
        lines = [f"{method} {path} HTTP/1.1", "host: test", f"content-length: {length}"]
        lines += [f"{name}: {value}" for name, value in authorized().items()]
        self._socket.sendall("\r\n".join([*lines, "", ""]).encode())

    def send_body(self, body: bytes) -> None:
        self._socket.sendall(body)

    def read_response(self) -> HttpResponse:
        response = HTTPResponse(self._socket)
        response.begin()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return HttpResponse(response.status, headers, response.read())

    def get(self, path: str) -> HttpResponse:
        self.send_head("GET", path)
        return self.read_response()

    def is_closed(self) -> bool:
        """Return whether the host closed the connection; waits for a byte or the end."""
        return self._socket.recv(1) == b""

    def close(self) -> None:
        self._socket.close()


def _chat_body(prompt: str, max_tokens: int) -> bytes:
    messages = [{"role": "user", "content": prompt}]
    return json.dumps({"model": MODEL, "max_tokens": max_tokens, "messages": messages}).encode()


class TestPlannedStop(unittest.TestCase):
    """Every request and connection follows the phase of the stop."""

    fleet: ClassVar[Fleet]

    @classmethod
    def setUpClass(cls) -> None:
        names = ["watch", "body", "claim", "keep", "refuse", "again", "hup"]
        cls.fleet = Fleet(
            entries={**dict.fromkeys(names, "a"), "far": "b"},
            settings=ENTRY_SETTINGS.replace("\ntimeout_ms = 1000", "\ntimeout_ms = 4000"),
        )
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def tearDown(self) -> None:
        self.fleet.control("platform", outage=False, delay_ms=0)
        self._slow_engines(5)

    def _open_caller(self, entry: str) -> _Caller:
        caller = _Caller(self.fleet.programs[entry].port)
        self.addCleanup(caller.close)
        return caller

    def _stop(self, entry: str) -> None:
        self.fleet.signal(entry, signal.SIGTERM)

    def _exit_code(self, entry: str) -> int:
        return self.fleet.programs[entry].process.wait(timeout=30)

    def _slow_engines(self, token_ms: int) -> None:
        for group in self.fleet.open_groups("watch"):
            for member in group["members"]:
                self.fleet.control(member, token_ms=token_ms)

    def _in_background(self, work: Any) -> tuple[threading.Thread, list[Any]]:
        results: list[Any] = []

        def run() -> None:
            try:
                results.append(work())
            except Exception as error:  # noqa: BLE001 - handed to the test
                results.append(error)

        thread = threading.Thread(target=run)
        thread.start()
        self.addCleanup(thread.join)
        return thread, results

    def _start_slow_request(self, entry: str, count: int) -> tuple[threading.Thread, list[Any]]:
        """Start a request at 20 ms per token, and wait until an engine runs it."""
        self._slow_engines(20)
        leaders = [group["members"][0] for group in self.fleet.open_groups("watch")]
        before = sum(self.fleet.runs(*leaders).values())
        started = self._in_background(lambda: self.fleet.chat(entry, "slow", count))
        wait_for(lambda: sum(self.fleet.runs(*leaders).values()) > before, "the run")
        return started

    def _check_rejected(self, response: HttpResponse) -> None:
        self.assertEqual(response.status, 503, response.body)
        self.assertEqual(response.json()["outcome"], "not_run")
        self.assertEqual(response.headers.get("connection"), "close")

    def test_a_request_whose_body_arrives_late_is_answered(self) -> None:
        caller, body = self._open_caller("body"), _chat_body("late", 4)
        caller.send_head("POST", CHAT, len(body))
        time.sleep(0.2)
        self._stop("body")
        time.sleep(CLOSED_AFTER_S)
        caller.send_body(body)
        response = caller.read_response()
        # If the coordinator has already withdrawn the stopping host's share, nothing runs.
        has_no_share = response.status == 429 and "no capacity is left" in response.json()["detail"]
        wanted = (429, "not_run") if has_no_share else (200, "answered")
        self.assertEqual((response.status, response.headers["x-outcome"]), wanted, response.body)
        self.assertEqual(self._exit_code("body"), 0)

    def test_a_request_waiting_for_its_claim_is_answered(self) -> None:
        fleet = self.fleet
        fleet.control("platform", delay_ms=1500)
        send = ("claim", "POST", "update/1")
        thread, results = self._in_background(lambda: fleet.service(*send, idempotency_key="k1"))
        time.sleep(0.2)
        self._stop("claim")
        thread.join()
        self.assertEqual([getattr(result, "status", result) for result in results], [200])
        self.assertEqual(self._exit_code("claim"), 0)

    def test_the_response_of_an_unsafe_request_is_kept_when_its_host_stops(self) -> None:
        fleet = self.fleet
        for name in ("sa", "sb"):
            fleet.control(name, delay_ms=1000)
            self.addCleanup(fleet.control, name, delay_ms=0)
        send, retry_on_watch = ("keep", "POST", "update/2"), ("watch", "POST", "update/2")
        thread, results = self._in_background(lambda: fleet.service(*send, idempotency_key="k2"))
        wait_for(lambda: fleet.runs("sa", "sb").get("k2"), "the call at the endpoint")
        fleet.control("platform", outage=True)
        thread.join()
        self._stop("keep")
        time.sleep(CLOSED_AFTER_S)
        fleet.control("platform", outage=False)
        self.assertEqual(self._exit_code("keep"), 0)
        wait_for(
            lambda: fleet.service(*retry_on_watch, idempotency_key="up").status == 200, "claims"
        )
        retried = fleet.service(*retry_on_watch, idempotency_key="k2")
        self.assertEqual((retried.status, retried.body), (200, results[0].body))
        self.assertEqual(fleet.runs("sa", "sb")["k2"], 1)

    def test_a_stopping_host_closes_connections_after_responses_and_rejects_requests(self) -> None:
        fleet, entry = self.fleet, "refuse"
        kept = [self._open_caller(entry) for _ in range(2)]
        for caller in kept:
            self.assertNotIn("connection", caller.get("/v1/models").headers)
        thread, results = self._start_slow_request(entry, 200)
        self._stop(entry)
        wait_for(lambda: call("GET", f"{fleet.url(entry)}/readyz").status == 503, "unreadiness")
        response = kept[0].get("/v1/models")
        self.assertEqual((response.status, response.headers.get("connection")), (200, "close"))
        self.assertTrue(kept[0].is_closed())
        wait_for(lambda: self._open_caller(entry).get("/v1/models").status == 503, "the rejections")
        for caller in (kept[1], self._open_caller(entry)):
            self._check_rejected(caller.get("/v1/models"))
            self.assertTrue(caller.is_closed())
        leaving = {"id": entry, "data_centre": "a", "is_leaving": True}
        wait_for(lambda: leaving in fleet.status("watch")["members"], "the state at the peers")
        thread.join()
        self.assertEqual([getattr(result, "status", result) for result in results], [200])
        self.assertEqual(self._exit_code(entry), 0)

    def test_a_second_signal_cuts_off_no_request(self) -> None:
        thread, results = self._start_slow_request("again", 100)
        self._stop("again")
        time.sleep(0.3)
        self._stop("again")
        thread.join()
        self.assertEqual([getattr(result, "status", result) for result in results], [200])
        self.assertEqual(self._exit_code("again"), 0)

    def test_a_hangup_changes_nothing(self) -> None:
        thread, results = self._start_slow_request("hup", 50)
        self.fleet.signal("hup", signal.SIGHUP)
        thread.join()
        self.assertEqual([getattr(result, "status", result) for result in results], [200])
        self.assertEqual(self.fleet.chat("hup", "after").status, 200)

    def test_a_request_that_cannot_finish_before_the_stop_is_not_started(self) -> None:
        fleet, entry = self.fleet, "short"
        self._start_short_draining(entry)
        caller = self._open_caller(entry)
        self._stop(entry)
        wait_for(lambda: call("GET", f"{fleet.url(entry)}/readyz").status == 503, "unreadiness")
        body = _chat_body("long", LONG_TOKENS)
        caller.send_head("POST", CHAT, len(body))
        caller.send_body(body)
        self._check_rejected(caller.read_response())
        self.assertEqual(self._exit_code(entry), 0)

    def test_a_cut_off_request_gets_its_known_outcome(self) -> None:
        entry = "cut"
        self._start_short_draining(entry)
        half = self._open_caller(entry)
        half.send_head("POST", CHAT, 100)
        thread, results = self._start_slow_request(entry, 200)
        self._stop(entry)
        self._check_rejected(half.read_response())
        thread.join()
        self.assertEqual(results[0].status, 503)
        self.assertEqual(results[0].json()["outcome"], "unknown")
        self.assertEqual(self._exit_code(entry), 0)

    def _start_short_draining(self, entry: str) -> None:
        fleet, settings = self.fleet, self.fleet.settings
        drain = f"[host]\ndrain_timeout_ms = {SHORT_DRAIN_MS}\n"
        fleet.settings = settings.replace("[host]\n", drain)
        self.addCleanup(setattr, fleet, "settings", settings)
        fleet.start_entry(entry, "a")
        wait_for(lambda: fleet.chat(entry, "warm", 1).status == 200, "a response")
