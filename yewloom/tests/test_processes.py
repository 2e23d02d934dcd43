"""Tests with real processes: kills, pauses, network cuts and outages."""

import signal
import subprocess
import sys
import threading
import unittest
from typing import Any

import openai

from yewloom.standins.engine import expected_tokens
from yewloom.tests.free_ports import allocate_port
from yewloom.tests.processes import CUSTOMER_KEY, MODEL, Fleet, call, wait_for

IN_PROGRESS_CHUNKS = 10
"""Number of chunks after which a stream counts as in progress; these tests' streams have eight
times as many."""


def _expected(prompt: str, count: int) -> str:
    return "".join(expected_tokens(f"user: {prompt}", count))


def _client(fleet: Fleet, entry: str) -> openai.OpenAI:
    return openai.OpenAI(
        base_url=f"{fleet.url(entry)}/v1", api_key=CUSTOMER_KEY, max_retries=0, timeout=60
    )


def _stream_text(
    client: openai.OpenAI, prompt: str, count: int, chunks: list[str] | None = None
) -> str:
    """Return the text of a stream; its chunks are appended to ``chunks`` as they arrive."""
    chunks = [] if chunks is None else chunks
    stream = client.chat.completions.create(
        model=MODEL,
        messages=[{"role": "user", "content": prompt}],
        max_tokens=count,
        stream=True,
    )
    for chunk in stream:
        chunks.append(chunk.choices[0].delta.content or "")
    return "".join(chunks)


class _FleetCase(unittest.TestCase):
    """Starts a fleet for each test."""

    def setUp(self) -> None:
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def in_background(self, work: Any, *arguments: Any) -> tuple[threading.Thread, list[Any]]:
        """Run a blocking call in a thread; its result is appended to the returned list."""
        results: list[Any] = []

        def run() -> None:
            try:
                results.append(work(*arguments))
            except Exception as error:  # noqa: BLE001 - handed to the test
                results.append(error)

        thread = threading.Thread(target=run)
        thread.start()
        return thread, results

    def begin_streams(
        self, prompt: str, count: int, number: int, leader: str
    ) -> list[tuple[threading.Thread, list[Any]]]:
        """Start streams and wait until all are in progress, at least one of them at this leader."""
        chunks: list[list[str]] = [[] for _ in range(number)]
        client = _client(self.fleet, "e1")
        streams = [self.in_background(_stream_text, client, prompt, count, one) for one in chunks]
        wait_for(
            lambda: all(len(one) >= IN_PROGRESS_CHUNKS for one in chunks),
            "the start of the streams",
        )
        self.assertTrue(self.fleet.runs(leader))
        return streams

    def group_in(self, data_centre: str) -> Any:
        groups = self.fleet.open_groups("e1")
        return next(group for group in groups if group["data_centre"] == data_centre)


class TestRequests(_FleetCase):
    """The caller interface, used with an unmodified client library."""

    def test_responses_are_complete_and_invalid_requests_run_nothing(self) -> None:
        fleet, client = self.fleet, _client(self.fleet, "e1")
        self.assertEqual(_stream_text(client, "hello", 12), _expected("hello", 12))
        completion = client.chat.completions.create(
            model=MODEL, messages=[{"role": "user", "content": "hi"}], max_tokens=5
        )
        self.assertEqual(completion.choices[0].message.content, _expected("hi", 5))
        text = client.completions.create(model=MODEL, prompt="plain", max_tokens=4)
        self.assertEqual(text.choices[0].text, "".join(expected_tokens("plain", 4)))
        self.assertEqual([model.id for model in client.models.list()], [MODEL])
        engines = [member for group in fleet.groups("e1") for member in group["members"]]
        before = fleet.runs(*engines)
        self._send_bad_requests()
        self.assertEqual(fleet.runs(*engines), before)

    def _send_bad_requests(self) -> None:
        url = f"{self.fleet.url('e1')}/v1/chat/completions"
        good = {"model": MODEL, "messages": [{"role": "user", "content": "x"}]}
        key = {"authorization": f"Bearer {CUSTOMER_KEY}"}
        cases: list[tuple[Any, dict[str, str], int]] = [
            ("not an object", key, 400),
            ({**good, "model": "unknown"}, key, 404),
            ({**good, "messages": []}, key, 400),
            ({**good, "max_tokens": "many"}, key, 400),
            ({**good, "user": "x" * 2_000_000}, key, 413),
            (good, {"authorization": "Bearer wrong"}, 401),
            (good, {}, 401),
            (good, {**key, "x-timeout-ms": "-1"}, 400),
            (good, {**key, "last-event-id": "nonsense"}, 400),
        ]
        for body, headers, status in cases:
            response = call("POST", url, body, headers)
            with self.subTest(status=status, headers=headers):
                self.assertEqual(response.status, status)
                self.assertEqual(response.headers["content-type"], "application/problem+json")
                self.assertEqual(response.json()["outcome"], "not_run")
                self.assertTrue(response.json()["detail"])

    def test_a_killed_member_ends_its_group_and_no_response_is_truncated(self) -> None:
        fleet, group = self.fleet, self.group_in("a")
        for name in group["members"]:
            fleet.control(name, token_ms=30)
        threads = self.begin_streams("long", 100, 4, group["members"][0])
        fleet.kill(group["members"][2])
        for thread, results in threads:
            thread.join()
            self.assertEqual(results, [_expected("long", 100)])
        ids = wait_for(
            lambda: (
                {g["id"] for g in fleet.open_groups("e1") if g["data_centre"] == "a"}
                - {group["id"]}
            ),
            "the replacement group",
        )
        members = next(g["members"] for g in fleet.groups("e1") if g["id"] in ids)
        self.assertNotIn(group["members"][2], members)

    def test_after_losing_a_fabric_domain_the_other_data_centre_serves(self) -> None:
        fleet = self.fleet
        for number in range(fleet.members_a):
            fleet.kill(f"a{number}")
        wait_for(
            lambda: {g["data_centre"] for g in fleet.open_groups("e1")} == {"b"},
            "the loss of the groups in a",
        )
        self.assertEqual(_stream_text(_client(fleet, "e1"), "dark", 9), _expected("dark", 9))

    def test_a_paused_leader_is_replaced_and_no_longer_serves_its_old_group(self) -> None:
        fleet, group = self.fleet, self.group_in("a")
        leader = group["members"][0]
        for other in fleet.open_groups("e1"):
            fleet.control(other["members"][0], token_ms=30)
        streams = self.begin_streams("paused", 80, 3, leader)
        generation = fleet.status("e1")["placements"]["a"]
        fleet.signal(leader, signal.SIGSTOP)
        for thread, results in streams:
            thread.join()
            self.assertEqual(results, [_expected("paused", 80)])
        wait_for(lambda: not self._is_open(group), "the group to close")
        wait_for(lambda: fleet.status("e1")["placements"]["a"] > generation, "a new placement")
        members = wait_for(lambda: self._replacement_of(group), "the replacement group")
        self.assertNotIn(leader, members)
        ran = sum(fleet.runs(*members).values())
        fleet.signal(leader, signal.SIGCONT)
        before = sum(fleet.runs(leader).values())
        for number in range(6):
            self.assertEqual(fleet.chat("e1", f"awake {number}").status, 200)
        self.assertEqual(sum(fleet.runs(leader).values()), before)
        self.assertFalse(self._is_open(group))
        self.assertNotIn(leader, self._replacement_of(group))
        self.assertGreater(sum(fleet.runs(*members).values()), ran)

    def _is_open(self, group: Any) -> bool:
        return any(found["id"] == group["id"] for found in self.fleet.open_groups("e1"))

    def _replacement_of(self, lost: Any) -> list[str]:
        """Return the members of the open group that replaced a lost one in its data centre."""
        for group in self.fleet.open_groups("e1"):
            if group["data_centre"] == lost["data_centre"] and group["id"] != lost["id"]:
                return list(group["members"])
        return []

    def test_reordered_duplicated_and_broken_streams_give_complete_responses(self) -> None:
        for group in self.fleet.groups("e1"):
            self.fleet.control(group["members"][0], shuffle=True, break_after=3)
        text = _stream_text(_client(self.fleet, "e1"), "odd", 10)
        self.assertEqual(text, _expected("odd", 10))

    def test_a_disconnect_cancels_the_request_at_the_engine(self) -> None:
        fleet = self.fleet
        leaders = [group["members"][0] for group in fleet.open_groups("e1")]
        for name in leaders:
            fleet.control(name, token_ms=100)
        stream = _client(fleet, "e1").chat.completions.create(
            model=MODEL,
            messages=[{"role": "user", "content": "forget it"}],
            max_tokens=1000,
            stream=True,
        )
        next(iter(stream))
        stream.response.close()
        wait_for(
            lambda: any(
                call("GET", f"{fleet.url(name)}/control/runs").json()["cancelled"]
                for name in leaders
            ),
            "the cancellation",
        )


class TestEntryHosts(_FleetCase):
    """Entry hosts that are killed, paused, stopped and replaced."""

    def test_an_unsafe_call_runs_once_although_its_entry_host_is_killed(self) -> None:
        fleet = self.fleet
        fleet.control("sa", delay_ms=6000)
        fleet.control("sb", delay_ms=6000)
        send = (fleet.service, "e1", "POST", "update/1")
        thread, _ = self.in_background(lambda: send[0](*send[1:], idempotency_key="k1"))
        wait_for(lambda: fleet.runs("sa", "sb").get("k1"), "the call at the endpoint")
        fleet.kill("e1")
        thread.join()
        retried = fleet.service("e2", "POST", "update/1", idempotency_key="k1")
        self.assertEqual(retried.json()["outcome"], "unknown")
        self.assertIn("retry-after", retried.headers)
        self.assertEqual(fleet.runs("sa", "sb")["k1"], 1)

    def test_a_lost_response_of_an_unsafe_call_is_unknown_and_not_retried(self) -> None:
        fleet = self.fleet
        for name in ("sa", "sb"):
            fleet.control(name, drop_answers=5)
        response = fleet.service("e1", "POST", "update/2", idempotency_key="k2")
        self.assertEqual(response.json()["outcome"], "unknown")
        self.assertEqual(fleet.runs("sa", "sb")["k2"], 1)
        retried = fleet.service("e3", "POST", "update/2", idempotency_key="k2")
        self.assertEqual(retried.json()["outcome"], "unknown")
        self.assertEqual(fleet.runs("sa", "sb")["k2"], 1)

    def test_a_planned_stop_cuts_off_no_request(self) -> None:
        fleet = self.fleet
        leaders = [group["members"][0] for group in fleet.open_groups("e1")]
        for leader in leaders:
            fleet.control(leader, token_ms=20)
        thread, results = self.in_background(_stream_text, _client(fleet, "e1"), "calm", 150)
        wait_for(lambda: fleet.runs(*leaders), "the stream at an engine")
        fleet.signal("e1", signal.SIGTERM)
        wait_for(
            lambda: call("GET", f"{fleet.url('e1')}/readyz").status == 503, "failing readiness"
        )
        thread.join()
        self.assertEqual(results, [_expected("calm", 150)])
        self.assertEqual(fleet.programs["e1"].process.wait(timeout=30), 0)

    def test_a_paused_coordinator_is_replaced_and_changes_nothing_when_resumed(self) -> None:
        fleet = self.fleet
        coordinator = wait_for(self._coordinator, "a coordinator")
        other = "e2" if coordinator == "e1" else "e1"
        fleet.signal(coordinator, signal.SIGSTOP)
        wait_for(lambda: self._is_coordinator(other), "another coordinator")
        generation = fleet.status(other)["placements"]["a"]
        victim = self._group_seen_by(other)["members"][1]
        fleet.kill(victim)
        wait_for(lambda: fleet.status(other)["placements"]["a"] > generation, "a new placement")
        latest = fleet.status(other)["placements"]["a"]
        log_length = len(fleet.log_text(coordinator))
        fleet.signal(coordinator, signal.SIGCONT)
        wait_for(
            lambda: fleet.status(coordinator)["placements"]["a"] >= latest, "the new placement"
        )
        self.assertTrue(self._is_coordinator(other))
        self.assertFalse(self._is_coordinator(coordinator))
        new_log_text = fleet.log_text(coordinator)[log_length:]
        self.assertIn('"placement applied"', new_log_text)
        self.assertNotIn('"event": "placed"', new_log_text)
        self.assertNotIn('"is_holding": true', new_log_text)

    def test_a_replacement_entry_host_serves_during_a_platform_outage(self) -> None:
        fleet = self.fleet
        # Only live hosts lend their shares: during an outage a dead host's share stays unused.
        wait_for(lambda: self._share("e1"), "the granted share")
        fleet.control("platform", outage=True)
        fleet.kill("e2")
        fleet.start_entry("e4", "a", allocate_port())
        wait_for(lambda: call("GET", f"{fleet.url('e4')}/readyz").status == 200, "readiness")
        wait_for(lambda: fleet.open_groups("e4"), "open groups")
        wait_for(
            lambda: fleet.chat("e4", "still here").status == 200, "a response with a borrowed share"
        )
        unsafe = fleet.service("e4", "POST", "update/3", idempotency_key="k3")
        self.assertEqual(unsafe.json()["outcome"], "not_run")
        self.assertEqual(fleet.runs("sa", "sb").get("k3", 0), 0)
        members = wait_for(lambda: self._members("e1") == {"e1", "e3", "e4"}, "membership")
        self.assertTrue(members)

    def test_a_suspended_platform_blocks_only_unsafe_calls_which_do_not_run(self) -> None:
        fleet = self.fleet
        fleet.signal("platform", signal.SIGSTOP)
        self.assertEqual(fleet.chat("e1", "frozen").status, 200)
        for number in range(3):
            key = f"frozen-{number}"
            response = fleet.service("e1", "POST", "update/4", idempotency_key=key)
            self.assertEqual(response.json()["outcome"], "not_run")
            self.assertEqual(fleet.runs("sa", "sb").get(key, 0), 0)
        fleet.signal("platform", signal.SIGCONT)
        wait_for(
            lambda: self._is_unsafe_call_run("thawed"), "an unsafe call after the platform resumed"
        )

    def _is_unsafe_call_run(self, key: str) -> bool:
        response = self.fleet.service("e1", "POST", "update/5", idempotency_key=key)
        return response.status == 200

    def test_a_dead_hosts_share_is_reassigned_only_once_it_is_unlisted(self) -> None:
        fleet, total_share = self.fleet, 50
        equal = (total_share // 2, total_share // 2)
        wait_for(lambda: (self._share("e1"), self._share("e2")) == equal, "the equal shares")
        fleet.kill("e2")
        wait_for(lambda: self._members("e1") == {"e1", "e3"}, "membership")
        self.assertEqual(self._share("e1"), total_share // 2)
        fleet.list_entry("e2", "gone")
        wait_for(lambda: self._share("e1") == total_share, "the complete share")

    def _share(self, entry: str) -> int:
        return int(self.fleet.status(entry)["shares"]["c"])

    def _members(self, entry: str) -> set[str]:
        return {member["id"] for member in self.fleet.status(entry)["members"]}

    def _group_seen_by(self, entry: str) -> Any:
        return next(g for g in self.fleet.groups(entry) if g["data_centre"] == "a")

    def _coordinator(self) -> str | None:
        return next((name for name in ("e1", "e2") if self._is_coordinator(name)), None)

    def _is_coordinator(self, name: str) -> bool:
        text = call("GET", f"{self.fleet.url(name)}/metrics").body.decode()
        return "yewloom_is_coordinator 1.0" in text


class TestTable(_FleetCase):
    """Table changes that propagate to every entry host."""

    def test_a_change_reaches_a_data_centre_disconnected_from_the_platform(self) -> None:
        fleet = self.fleet
        fleet.control("platform", cut_ports=[fleet.platform_ports["b"]])
        self._cli("table", "set", "customer/c", "weight=3")
        version = 2
        for entry in ("e1", "e2", "e3"):
            self._wait_for_version(entry, "customer/c", version)
        self.assertEqual(fleet.chat("e3", "cut off").status, 200)
        conflict = self._cli(
            "table", "set", "customer/c", "weight=4", "--expect-version", "1", code=3
        )
        self.assertIn("weight=3.0", conflict)

    def test_a_leaving_endpoint_gets_no_new_work_and_its_group_is_drained(self) -> None:
        fleet, group = self.fleet, self.group_in("a")
        leader = group["members"][0]
        fleet.control(group["members"][3], leaving=True)
        wait_for(lambda: self._is_closed_everywhere(group["id"]), "closed groups")
        before = sum(fleet.runs(leader).values())
        for number in range(6):
            self.assertEqual(fleet.chat("e1", f"after {number}").status, 200)
        self.assertEqual(sum(fleet.runs(leader).values()), before)
        wait_for(
            lambda: all(g["id"] != group["id"] for g in fleet.groups("e1")), "the dissolved group"
        )

    def test_an_experiment_splits_sessions_and_is_compared(self) -> None:
        fleet = self.fleet
        self._cli("table", "set", "policy/q", f"model={MODEL}", "max_groups=0", "round_robin=")
        cells = [f"model={MODEL}", "policy_a=p", "policy_b=q", "share_b=0.5"]
        self._cli("table", "set", "experiment/x", *cells)
        for entry in ("e1", "e2", "e3"):
            self._wait_for_version(entry, "experiment/x", 1)
        for number in range(24):
            entry = f"e{number % 3 + 1}"
            response = fleet.chat(entry, "compared", 3, x_session_id=f"session-{number // 2}")
            self.assertEqual(response.status, 200)
        hosts = [part for entry in ("e1", "e2", "e3") for part in ("--host", fleet.url(entry))]
        text = self._cli("compare", "x", *hosts)
        self.assertIn("12 sessions", self._sum_of_sessions(text))
        self.assertIn("not established", text)

    def _sum_of_sessions(self, text: str) -> str:
        counts = [int(words.split()[-2]) for words in text.splitlines() if "sessions" in words]
        return f"{sum(counts)} sessions"

    def _wait_for_version(self, entry: str, row: str, version: int) -> None:
        wait_for(lambda: self.fleet.status(entry)["rows"][row] == version, f"{row} at {entry}")

    def _is_closed_everywhere(self, group_id: str) -> bool:
        entries = ("e1", "e2", "e3")
        return not any(g["id"] == group_id for e in entries for g in self.fleet.open_groups(e))

    def _cli(self, *arguments: str, code: int = 0) -> str:

        platform = f"http://127.0.0.1:{self.fleet.platform_ports['a']}"
        command = [sys.executable, "-m", "yewloom.cli", *arguments, "--platform", platform]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, code, done.stderr)
        return done.stdout + done.stderr
