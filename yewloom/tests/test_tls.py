"""Tests of TLS and tokens through real processes."""

import ssl
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import httpcore
import trustme

from yewloom.tests import processes
from yewloom.tests.processes import ENTRY_SETTINGS, Fleet, call, wait_for

TOKEN = "operator-token"


class TestTls(unittest.TestCase):
    """Callers and peers use TLS; table edits need an operator token."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        authority = trustme.CA()
        certificate = authority.issue_cert("127.0.0.1")
        authority.cert_pem.write_to_path(str(self.folder / "authority.pem"))
        certificate.private_key_pem.write_to_path(str(self.folder / "key.pem"))
        for number, blob in enumerate(certificate.cert_chain_pems):
            blob.write_to_path(str(self.folder / "certificate.pem"), append=number > 0)
        context = ssl.create_default_context()
        authority.configure_trust(context)
        processes.TLS.append(context)
        self.addCleanup(processes.TLS.clear)
        self._start_fleet()

    def _start_fleet(self) -> None:
        names = {
            "certificate_file": "certificate",
            "key_file": "key",
            "authority_file": "authority",
        }
        lines = [f"{key} = {self.folder / name}.pem\n" for key, name in names.items()]
        self.fleet = Fleet(
            scheme="https",
            settings=ENTRY_SETTINGS + "[tls]\n" + "".join(lines),
            platform_options=("--operator-token", TOKEN),
        )
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def test_callers_and_peers_use_tls_and_edits_need_a_token(self) -> None:
        fleet = self.fleet
        self.assertEqual(fleet.chat("e1", "hello").status, 200)
        names = wait_for(
            lambda: {m["id"] for m in fleet.status("e1")["members"]} == {"e1", "e2", "e3"}, "peers"
        )
        self.assertTrue(names)
        with self.assertRaises((httpcore.NetworkError, httpcore.ProtocolError)):
            call("GET", fleet.url("e1").replace("https", "http") + "/healthz")
        rejected = self._cli("table", "set", "customer/c", "weight=3")
        self.assertEqual(rejected.returncode, 1)
        self.assertIn("token", rejected.stderr)
        self.assertNotIn("Traceback", rejected.stderr)
        accepted = self._cli("table", "set", "customer/c", "weight=3", "--token", TOKEN)
        self.assertEqual(accepted.returncode, 0, accepted.stderr)
        wait_for(lambda: fleet.status("e3")["rows"]["customer/c"] == 2, "the change")

    def test_the_command_line_verifies_the_certificate_authority(self) -> None:
        host = ["groups", "--host", self.fleet.url("e1")]
        authority = ["--authority-file", str(self.folder / "authority.pem")]
        trusted = self._run(*authority, *host)
        self.assertEqual(trusted.returncode, 0, trusted.stderr)
        untrusted = self._run(*host)
        self.assertEqual(untrusted.returncode, 1)
        self.assertIn("did not answer", untrusted.stderr)

    def _cli(self, *arguments: str) -> "subprocess.CompletedProcess[str]":
        platform = f"http://127.0.0.1:{self.fleet.platform_ports['a']}"
        return self._run(*arguments, "--platform", platform)

    def _run(self, *arguments: str) -> "subprocess.CompletedProcess[str]":
        command = [sys.executable, "-m", "yewloom.cli", *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)
