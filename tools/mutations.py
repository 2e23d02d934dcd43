"""Mutation tests: show that tests fail when the mechanism that they check is removed.

Removes one mechanism at a time from a copy of the tree and runs the tests that should detect it.
Prints a table; the exit code is 1 if any removal is not detected.
"""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import mutations_answers
import mutations_contact
import mutations_crashes
import mutations_departures
import mutations_entry
import mutations_groups
import mutations_lateness
import mutations_limits
import mutations_outliers
import mutations_pauses
import mutations_relays
import mutations_returns
import mutations_size
import mutations_yewloomd
from removals import Mutation, apply_removal

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 240

MUTATIONS = (
    *mutations_answers.MUTATIONS,
    *mutations_yewloomd.MUTATIONS,
    *mutations_groups.MUTATIONS,
    *mutations_departures.MUTATIONS,
    *mutations_entry.MUTATIONS,
    *mutations_size.MUTATIONS,
    *mutations_lateness.MUTATIONS,
    *mutations_contact.MUTATIONS,
    *mutations_crashes.MUTATIONS,
    *mutations_limits.MUTATIONS,
    *mutations_outliers.MUTATIONS,
    *mutations_pauses.MUTATIONS,
    *mutations_relays.MUTATIONS,
    *mutations_returns.MUTATIONS,
)


def _failure_without(mutation: Mutation) -> str:
    """Return the name of the first test that fails without the mechanism; empty if all pass."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "tree"
        shutil.copytree(ROOT / "yewloom", copy / "yewloom", ignore=_ignored)
        apply_removal(mutation, copy, mutation.times)
        return _first_failure(copy, mutation.tests)


def _ignored(folder: str, names: list[str]) -> list[str]:
    return [name for name in names if name == "__pycache__"]


def _first_failure(folder: Path, tests: str) -> str:
    command = [sys.executable, "-m", "nose2", "-s", "yewloom/tests", "-t", "."]
    done = subprocess.run(
        [*command, f"yewloom.tests.{tests}"],
        cwd=folder,
        env={"PYTHONPATH": str(folder), "PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    if done.returncode == 0:
        return ""
    lines = [line for line in done.stderr.splitlines() if line.startswith(("FAIL:", "ERROR:"))]
    return lines[0].split()[1] if lines else "no test ran"


def main() -> int:
    """Remove each mechanism in turn, or only those whose names contain the argument."""
    name_filter = sys.argv[1] if len(sys.argv) > 1 else ""
    undetected = 0
    for mutation in MUTATIONS:
        if name_filter not in mutation.mechanism:
            continue
        failure = _failure_without(mutation)
        undetected += not failure
        print(f"| {mutation.mechanism} | {failure or 'NOT DETECTED'} |", flush=True)
    print(f"{undetected} removals not detected")
    return 1 if undetected else 0


if __name__ == "__main__":
    raise SystemExit(main())
