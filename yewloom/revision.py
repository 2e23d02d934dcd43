"""The revision of the code that runs: a digest of its sources, recorded when the system is built.

``tools/revision.sh`` prints that of a checkout, so that logs and metrics can be matched to it.
"""

from pathlib import Path

REVISION_FILE = Path(__file__).parent.parent / "target" / "revision"
"""File that the build writes."""

UNKNOWN_REVISION = "unknown"
"""Revision of code that was not built, such as a checkout in development."""


def read_revision(path: Path = REVISION_FILE) -> str:
    """Return the recorded revision, or UNKNOWN_REVISION if there is none."""
    try:
        return path.read_text(encoding="ascii").strip() or UNKNOWN_REVISION
    except (OSError, UnicodeDecodeError):
        return UNKNOWN_REVISION
