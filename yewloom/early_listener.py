"""The socket for callers, opened before the program's long imports.

A host that starts needs a second until it serves: half a second of processor time on half a core,
nearly all of it for imports. A caller that is refused a connection meanwhile has spent one of its
few tries; one whose connection waits is answered once the host serves.
"""

import configparser
import socket
from pathlib import Path

from yewloom.addresses import split_address
from yewloom.ini_files import new_parser

LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted; a full queue costs a caller seconds."""


def open_early(settings: Path) -> socket.socket | None:
    """Listen at the callers' address of a settings file; None if that can't be done yet.

    The program reads and checks the settings later, and listens itself where this did not.
    """
    address = _caller_address(settings)
    if address is None:
        return None
    try:
        return listen(address)
    except (OSError, ValueError):
        return None  # The program tries again, and tells why it can't.


def listen(address: str) -> socket.socket:
    """Open a socket that listens at ``ip:port``; raises OSError, and ValueError if it is none."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(split_address(address))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def _caller_address(settings: Path) -> str | None:
    parser = new_parser()
    try:
        parser.read_string(settings.read_text(encoding="utf-8"))
        return parser.get("host", "caller_address")
    except (OSError, ValueError, configparser.Error):
        return None  # As above.
