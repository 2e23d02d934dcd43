"""Tests of the history of one request."""

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from yewloom.cli import app
from yewloom.cli_calls import EXIT_FAILED, EXIT_USAGE
from yewloom.explanation import MAX_CONTEXT_LINES, RequestHistory


def _line(time_s: int, host: str, event: str, **fields: object) -> str:
    timestamp = f"2026-01-01T00:00:{time_s:02d}Z"
    return json.dumps({**fields, "event": event, "host": host, "timestamp": timestamp})


class TestRequestHistory(unittest.TestCase):
    """Events of one request on several hosts, with their context."""

    def test_events_of_several_files_are_sorted_by_time(self) -> None:
        history = RequestHistory("r1")
        history.read([_line(5, "b", "request", request_id="r1", outcome="answered")])
        history.read([_line(3, "a", "attempt failed", request_id="r1", outcome="stalled")])
        history.read([_line(4, "a", "request", request_id="r2")])
        self.assertEqual([line.split()[1] for line in history.lines()], ["a", "b"])
        self.assertIn("outcome=stalled", history.lines()[0])

    def test_earlier_events_of_the_same_host_are_shown(self) -> None:
        history = RequestHistory("r1")
        history.read(
            [
                _line(1, "a", "platform unreachable", reason="down"),
                _line(2, "b", "platform unreachable", reason="elsewhere"),
                _line(3, "a", "request", request_id="r1"),
                _line(4, "a", "platform reachable again"),
            ]
        )
        text = "\n".join(history.lines())
        self.assertIn("reason=down", text)
        self.assertNotIn("elsewhere", text)
        self.assertNotIn("reachable again", text)

    def test_context_is_bounded(self) -> None:
        history = RequestHistory("r1")
        history.read(_line(n, "a", "endpoint removed", endpoint=f"e{n}") for n in range(30))
        history.read([_line(40, "a", "request", request_id="r1")])
        self.assertEqual(
            sum("endpoint removed" in line for line in history.lines()), MAX_CONTEXT_LINES
        )

    def test_invalid_lines_are_counted(self) -> None:
        history = RequestHistory("r1")
        history.read(["{cut off", "7", "", _line(1, "a", "request", request_id="r1")])
        self.assertIn("(2 lines", history.lines()[-1])


class TestCommand(unittest.TestCase):
    """``yewloom explain``."""

    def test_exit_codes(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            path.write_text(_line(1, "a", "request", request_id="r1") + "\n")
            runner = CliRunner()
            self.assertEqual(runner.invoke(app, ["explain", "r1", str(path)]).exit_code, 0)
            unknown = runner.invoke(app, ["explain", "r2", str(path)])
            self.assertEqual(unknown.exit_code, EXIT_FAILED)
            missing = runner.invoke(app, ["explain", "r1", str(path) + "x"])
            self.assertEqual(missing.exit_code, EXIT_USAGE)
