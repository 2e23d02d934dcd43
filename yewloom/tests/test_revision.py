"""Tests of the revision of the code that runs."""

import re
import subprocess
import tempfile
import unittest
from pathlib import Path

from prometheus_client import generate_latest

from yewloom.forward_metrics import ForwardMetrics
from yewloom.revision import UNKNOWN_REVISION, read_revision

ROOT = Path(__file__).parent.parent.parent


class TestRevision(unittest.TestCase):
    """Logs and metrics tell which code has produced them."""

    def test_the_revision_of_a_checkout_can_be_read_back(self) -> None:
        """Guards against a record of older code that can't be told from one of this code."""
        printed = subprocess.run(
            ["bash", "tools/revision.sh"], cwd=ROOT, check=True, capture_output=True, text=True
        ).stdout
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "revision"
            path.write_text(printed, encoding="ascii")
            self.assertTrue(re.fullmatch(r"[0-9a-f]{12}", read_revision(path)))

    def test_code_without_a_recorded_revision_is_unknown(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "revision"
            self.assertEqual(read_revision(path), UNKNOWN_REVISION)
            path.write_bytes(b"\xff")
            self.assertEqual(read_revision(path), UNKNOWN_REVISION)

    def test_the_metrics_tell_the_revision(self) -> None:
        metrics = ForwardMetrics()
        metrics.set_revision("0123456789ab")
        text = generate_latest(metrics.registry).decode()
        self.assertIn('yewloom_build_info{revision="0123456789ab"} 1.0', text)
