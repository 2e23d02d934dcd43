"""Tests of the settings file."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from yewloom.schema.settings_pb2 import Settings
from yewloom.settings import parse_entry_settings, parse_settings

VALID = """
[host]
id = entry-1
data_centre = hall-a
caller_port = 8080
peer_port = 8081
[limits]
data_centres = hall-a hall-b
[platform]
url = http://127.0.0.1:7100
"""


def _error(text: str) -> str:
    match parse_settings(text, "x.ini"):
        case Err(error):
            return str(error)
        case Ok():
            raise AssertionError("the settings were accepted")


class TestSettings(unittest.TestCase):
    """What is accepted, and the error message for what is not."""

    def test_missing_keys_get_defaults(self) -> None:
        settings = parse_settings(VALID, "x.ini").unwrap()
        self.assertEqual(settings.lease.duration_ms, 6000)
        self.assertEqual(settings.host.listen_ip, "127.0.0.1")

    def test_each_error_names_file_section_key_and_remedy(self) -> None:
        cases = {
            VALID + "[hosts]\n": ["[hosts]", "use one of"],
            VALID + "colour = red\n": ["[platform]", "colour", "use one of"],
            VALID.replace("8080", "many"): ["[host]", "caller_port", "from 0 to 65535"],
            VALID.replace("8080", "70000"): ["[host]", "caller_port", "from 0 to 65535"],
            VALID.replace("id = entry-1\n", ""): ["[host]", "id", "is missing"],
            VALID.replace("entry-1", ""): ["[host]", "id", "is empty"],
            VALID + "[lease]\nmargin_ms = 3000\n": ["[lease]", "duration_ms", "set it above"],
            VALID + "[groups]\ngive_up_ms = 100\n": ["[groups]", "give_up_ms", "or more"],
            VALID.replace("hall-a hall-b", "hall-b"): ["[limits]", "data_centres", "name 'hall-a'"],
            VALID.replace("data_centres = hall-a hall-b\n", ""): ["[limits]", "is missing"],
            VALID + "[tls]\nkey_file = k\n": ["[tls]", "certificate_file", "both or none"],
            "no section": ["not an INI file"],
        }
        for text, words in cases.items():
            with self.subTest(words=words):
                sentence = _error(text)
                self.assertIn("x.ini", sentence)
                self.assertNotIn("\n", sentence)
                for word in words:
                    self.assertIn(word, sentence)

    @given(st.text(max_size=200))
    def test_any_text_gives_settings_or_an_error_message(self, text: str) -> None:
        result = parse_settings(text, "x.ini")
        self.assertTrue(isinstance(result.ok(), Settings) or str(result.err()))


ENTRY = """
[host]
id = e1
data_centre = hall-a
caller_address = 10.0.0.1:80
readiness_address = 10.0.0.1:81
peer_address = 10.0.0.1:82
[store]
address = 10.0.0.9:80
"""


class TestEntrySettings(unittest.TestCase):
    """The settings of an entry host on the users' platform."""

    def test_missing_keys_get_defaults(self) -> None:
        settings = parse_entry_settings(ENTRY, "e.ini").unwrap()
        self.assertEqual(settings.bounds.key_revocation_ms, 5000)
        self.assertFalse(settings.host.is_first_start)

    def test_each_error_names_section_key_and_remedy(self) -> None:
        cases = {
            ENTRY.replace("peer_address = 10.0.0.1:82\n", ""): ["[host]", "peer_address"],
            ENTRY + "[lease]\nduration_ms = 100\n": ["[lease]", "set it above"],
            ENTRY + "[bounds]\nstall_ms = x\n": ["[bounds]", "stall_ms"],
            ENTRY + "[table]\n": ["[table]", "use one of"],
        }
        for text, words in cases.items():
            with self.subTest(words=words):
                sentence = str(parse_entry_settings(text, "e.ini").err())
                for word in ["e.ini", *words]:
                    self.assertIn(word, sentence)
