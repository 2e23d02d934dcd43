"""Tests of the story of one request."""

import json
import tempfile
import unittest
from pathlib import Path

from typer.testing import CliRunner

from yewloom.cli import app
from yewloom.cli_calls import EXIT_FAILED, EXIT_USAGE
from yewloom.explanation import CONTEXT_LINES, Story


def _line(time_s: int, host: str, event: str, **fields: object) -> str:
    stamp = f"2026-01-01T00:00:{time_s:02d}Z"
    return json.dumps({**fields, "event": event, "host": host, "timestamp": stamp})


class TestStory(unittest.TestCase):
    """Lines of one request over several hosts, with what went before."""

    def test_lines_come_in_order_of_time_whatever_file_they_are_in(self) -> None:
        story = Story("r1")
        story.read([_line(5, "b", "request", request_id="r1", outcome="answered")])
        story.read([_line(3, "a", "attempt failed", request_id="r1", outcome="stalled")])
        story.read([_line(4, "a", "request", request_id="r2")])
        self.assertEqual([line.split()[1] for line in story.lines()], ["a", "b"])
        self.assertIn("outcome=stalled", story.lines()[0])

    def test_what_the_same_host_lost_before_is_shown(self) -> None:
        story = Story("r1")
        story.read(
            [
                _line(1, "a", "platform lost", reason="down"),
                _line(2, "b", "platform lost", reason="elsewhere"),
                _line(3, "a", "request", request_id="r1"),
                _line(4, "a", "platform regained"),
            ]
        )
        text = "\n".join(story.lines())
        self.assertIn("reason=down", text)
        self.assertNotIn("elsewhere", text)
        self.assertNotIn("regained", text)

    def test_context_is_bounded(self) -> None:
        story = Story("r1")
        story.read(_line(n, "a", "endpoint gone", endpoint=f"e{n}") for n in range(30))
        story.read([_line(40, "a", "request", request_id="r1")])
        self.assertEqual(sum("endpoint gone" in line for line in story.lines()), CONTEXT_LINES)

    def test_lines_that_can_not_be_read_are_counted(self) -> None:
        story = Story("r1")
        story.read(["{cut off", "7", "", _line(1, "a", "request", request_id="r1")])
        self.assertIn("(2 lines", story.lines()[-1])


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
