"""Measure what each mechanism of the entry host is worth, by taking it out.

Removes one mechanism at a time from a copy of the tree, has days played with each copy and with the
whole, and prints a table of the differences. The command that plays a day is given on the command
line; it runs in the copy and prints a line that begins with ``worth`` and a figure. For example:

    python tools/ablation.py --days scale-1,trouble-3 --seeds 11,12 --jobs 4 \\
        --play 'PLAYER run SITE {day} --seed {seed}'
"""

import argparse
import concurrent.futures
import re
import shlex
import shutil
import statistics
import subprocess
import tempfile
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

from removals import Removal, take_out

ROOT = Path(__file__).resolve().parent.parent
COPIED = ("yewloom", "deploy", "target", ".gitignore")
WORTH = re.compile(r"^worth (-?[0-9.]+)", re.MULTILINE)
PLAY_LIMIT_S = 900


WHOLE = "nothing"

REMOVALS = (
    Removal(
        "keys last known are accepted in an outage",
        "key_trust",
        "return not self._needs_proof and not self._book.is_outdated",
        "return False",
    ),
    Removal(
        "the last holder renews its lease at once after an outage",
        "leases",
        "self._is_interrupted = True",
        "return",
    ),
    Removal(
        "groups of the model that an engine still holds",
        "directory",
        "return model in self.staged or model in self.models",
        "return model in self.staged",
    ),
    Removal(
        "peers pass configurations on",
        "peer_configurations",
        "if self._book.is_outdated:\n                await trio.sleep(STORE_HEAD_START_S)",
        "if False:\n                await trio.sleep(STORE_HEAD_START_S)",
    ),
    Removal(
        "the large model's weights on hosts of small groups",
        "replica_supply",
        "self._load_spare_weights(groups, now_s)",
        "pass",
    ),
    Removal(
        "groups given up for one of another model",
        "replica_supply",
        "chosen = self._exchanges.find_best(free, groups, need)",
        "chosen = None",
    ),
    Removal(
        "demand by what runs",
        "model_need",
        "model: self._average.get(model, 0.0) + PRIOR_REQUESTS * part / total",
        "model: PRIOR_REQUESTS * part / total",
    ),
    Removal(
        "a data centre found to be cut off",
        "reachability",
        "return len(failed) >= CUT_OFF_THRESHOLD",
        "return False",
    ),
    Removal(
        "endpoints that can't be reached are avoided",
        "reachability",
        "return endpoint.id in self._unreachable or endpoint.data_centre in self._cut_off",
        "return False",
    ),
    Removal(
        "peers' requests count as load",
        "selection",
        "self._running.get(endpoint.id, 0) + self._peers.running(endpoint.id)",
        "self._running.get(endpoint.id, 0)",
    ),
    Removal(
        "near endpoints first",
        "selection",
        "REMOTE_PENALTY = 0.25",
        "REMOTE_PENALTY = 0.0",
    ),
    Removal(
        "groups without all members come later",
        "selection",
        "INCOMPLETE_PENALTY = 0.5",
        "INCOMPLETE_PENALTY = 0.0",
    ),
    Removal(
        "groups with a leaving member come later",
        "selection",
        "LEAVING_PENALTY = 0.3",
        "LEAVING_PENALTY = 0.0",
    ),
    Removal(
        "slow groups get little",
        "selection",
        "SLOW_PENALTY = 0.6",
        "SLOW_PENALTY = 0.0",
    ),
    Removal(
        "full endpoints are avoided",
        "endpoint_attempts",
        "AVOID_FULL_S = 0.15",
        "AVOID_FULL_S = 0.0",
    ),
    Removal(
        "groups that stand still are left",
        "stalls",
        "return now_s - activity.last_read_s >= (\n"
        "            PEER_REPORTED_QUIET_S if is_reported_by_peer else activity.quiet_limit_s\n"
        "        )",
        "return False",
    ),
    Removal(
        "a peer's word that a group stands still",
        "stalls",
        "is_reported_by_peer = self._stalled_by_peers.has(leader, now_s)",
        "is_reported_by_peer = False",
    ),
    Removal(
        "callers may connect from the first moment",
        "platform/__main__",
        "listener = open_early(settings, DEADLINE_HEADER)",
        "listener = None",
    ),
    Removal(
        "callers wait for the first configuration",
        "entry_servers",
        "FIRST_CONFIGURATION_WAIT_S = 0.5",
        "FIRST_CONFIGURATION_WAIT_S = 0.0",
    ),
)


@dataclass(frozen=True)
class Play:
    """A day to play with one copy of the tree."""

    mechanism: str
    tree: Path
    day: str
    seed: str


def _copy_without(removal: Removal | None, folder: Path) -> Path:
    """Return a copy of the tree, without a mechanism if one is given."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
        elif source.exists():
            shutil.copy(source, folder / name)
    subprocess.run(["git", "init", "--quiet"], cwd=folder, check=True)
    if removal is not None:
        take_out(removal, folder)
    return folder


def _worth(command: str, play: Play) -> float | None:
    """Play a day; return its worth, or None if it has none."""
    words = shlex.split(command.format(day=play.day, seed=play.seed))
    done = subprocess.run(
        words, cwd=play.tree, capture_output=True, text=True, timeout=PLAY_LIMIT_S, check=False
    )
    found = WORTH.search(done.stdout)
    return float(found[1]) if found else None


def _difference(without: list[float | None], whole: list[float | None]) -> str:
    """Return what a removal costs over the same plays: mean and greatest distance from it."""
    pairs = [a - b for a, b in zip(whole, without, strict=True) if a is not None and b is not None]
    if not pairs:
        return "not played"
    mean = statistics.fmean(pairs)
    spread = max(abs(pair - mean) for pair in pairs)
    return f"{mean:+.3f} ± {spread:.3f} ({len(pairs)} plays)"


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--play", required=True, help="command with {day} and {seed}")
    parser.add_argument("--days", required=True, help="days, with commas")
    parser.add_argument("--seeds", required=True, help="seeds, with commas")
    parser.add_argument("--jobs", type=int, default=2, help="plays at once")
    parser.add_argument("--only", default="", help="part of the mechanisms' names")
    parser.add_argument("--folder", type=Path, help="where the copies go; a temporary one if none")
    return parser.parse_args()


def main() -> int:
    """Play all days with each mechanism taken out in turn, and print what each is worth."""
    arguments = _arguments()
    removals = [removal for removal in REMOVALS if arguments.only in removal.mechanism]
    names = [WHOLE, *(removal.mechanism for removal in removals)]
    with tempfile.TemporaryDirectory(dir=arguments.folder) as base:
        trees = {WHOLE: _copy_without(None, Path(base) / "whole")}
        for number, removal in enumerate(removals):
            trees[removal.mechanism] = _copy_without(removal, Path(base) / str(number))
        plays = [
            Play(name, trees[name], day, seed)
            for day in arguments.days.split(",")
            for seed in arguments.seeds.split(",")
            for name in names
        ]
        worth: defaultdict[str, list[float | None]] = defaultdict(list)
        with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
            results = pool.map(lambda play: _worth(arguments.play, play), plays)
            for play, result in zip(plays, results, strict=True):
                worth[play.mechanism].append(result)
                print(f"{play.day} {play.seed} without {play.mechanism}: {result}", flush=True)
        for name in trees:
            _keep_journal(trees[name])
    print("\n| taken out | what it is worth |\n|---|---|")
    for name in names[1:]:
        print(f"| {name} | {_difference(worth[name], worth[WHOLE])} |")
    return 0


def _keep_journal(tree: Path) -> None:
    """Bring the entries that the plays left home."""
    for entry in (tree / "journal").glob("**/*"):
        home = ROOT / "journal" / entry.relative_to(tree / "journal")
        if entry.is_file() and not home.exists():
            home.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(entry, home)


if __name__ == "__main__":
    raise SystemExit(main())
