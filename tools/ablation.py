"""Measure how much each mechanism of the entry host contributes, by removing it.

Removes one mechanism at a time from a copy of the tree, runs scenarios ("days") with each copy and
with an unchanged one, and prints a table of the differences in score. The command that runs a
scenario is given on the command line; it runs in the copy and prints a line that begins with
``worth`` and the score. For example:

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

from removals import Removal, apply_removal

ROOT = Path(__file__).resolve().parent.parent
COPIED = ("yewloom", "deploy", "target", ".gitignore")
SCORE_LINE = re.compile(r"^worth (-?[0-9.]+)", re.MULTILINE)
RUN_TIMEOUT_S = 900


UNCHANGED = "nothing"

REMOVALS = (
    Removal(
        "the last known keys are accepted in an outage",
        "key_trust",
        "return not self._requires_confirmation and not self._configuration_state.is_outdated",
        "return False",
    ),
    Removal(
        "the last holder renews its lease immediately after an outage",
        "leases",
        "self._is_interrupted = True",
        "return",
    ),
    Removal(
        "engines that still hold a model can form groups of it",
        "directory",
        "return model in self.staged or model in self.models",
        "return model in self.staged",
    ),
    Removal(
        "peers forward configurations",
        "peer_configurations",
        "if self._configuration_state.is_outdated:\n"
        "                await trio.sleep(STORE_HEAD_START_S)",
        "if False:\n                await trio.sleep(STORE_HEAD_START_S)",
    ),
    Removal(
        "the large model's weights are staged on hosts of small groups",
        "replica_supply",
        "self._load_spare_weights(groups, now_s)",
        "pass",
    ),
    Removal(
        "groups are dissolved in favour of a group of another model",
        "replica_supply",
        "chosen = self._exchanges.find_best(free, groups, need)",
        "chosen = None",
    ),
    Removal(
        "demand is estimated from running requests",
        "model_need",
        "model: self._average.get(model, 0.0) + PRIOR_REQUESTS * share / total",
        "model: PRIOR_REQUESTS * share / total",
    ),
    Removal(
        "a data centre that is cut off is detected",
        "reachability",
        "return len(failed) >= CUT_OFF_THRESHOLD",
        "return False",
    ),
    Removal(
        "unreachable endpoints are avoided",
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
        "endpoints in the same data centre are preferred",
        "selection",
        "REMOTE_PENALTY = 0.25",
        "REMOTE_PENALTY = 0.0",
    ),
    Removal(
        "groups without all members are chosen last",
        "selection",
        "INCOMPLETE_PENALTY = 0.5",
        "INCOMPLETE_PENALTY = 0.0",
    ),
    Removal(
        "groups with a leaving member are chosen last",
        "selection",
        "LEAVING_PENALTY = 0.3",
        "LEAVING_PENALTY = 0.0",
    ),
    Removal(
        "slow groups get few requests",
        "selection",
        "SLOW_PENALTY = 0.6",
        "SLOW_PENALTY = 0.0",
    ),
    Removal(
        "full endpoints are avoided",
        "endpoint_exchanges",
        "FULL_AVOIDANCE_S = 0.15",
        "FULL_AVOIDANCE_S = 0.0",
    ),
    Removal(
        "another endpoint is asked beside a stalled group",
        "stalls",
        "return now_s - activity.last_read_s >= timeout_s",
        "return False",
    ),
    Removal(
        "a peer's report that a group is stalled is considered",
        "stalls",
        "if self._stalled_by_peers.has(leader, now_s):",
        "if False:",
    ),
    Removal(
        "callers may connect before the program has started",
        "platform/__main__",
        "listener = open_early_listener(settings, DEADLINE_HEADER, lambda: signals.requested_s)",
        "listener = None",
    ),
    Removal(
        "requests wait for the first configuration",
        "entry_servers",
        "FIRST_CONFIGURATION_WAIT_S = 0.5",
        "FIRST_CONFIGURATION_WAIT_S = 0.0",
    ),
)


@dataclass(frozen=True)
class ScenarioRun:
    """A scenario to run with one copy of the tree."""

    mechanism: str
    tree: Path
    day: str
    seed: str


def _copy_without(removal: Removal | None, folder: Path) -> Path:
    """Copy the tree and remove a mechanism, if one is given; return the copy."""
    for name in COPIED:
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
        elif source.exists():
            shutil.copy(source, folder / name)
    subprocess.run(["git", "init", "--quiet"], cwd=folder, check=True)
    if removal is not None:
        apply_removal(removal, folder)
    return folder


def _run_scenario(command: str, run: ScenarioRun) -> float | None:
    """Run a scenario; return its score, or None if the command printed none."""
    words = shlex.split(command.format(day=run.day, seed=run.seed))
    done = subprocess.run(
        words, cwd=run.tree, capture_output=True, text=True, timeout=RUN_TIMEOUT_S, check=False
    )
    found = SCORE_LINE.search(done.stdout)
    return float(found[1]) if found else None


def _difference(scores_without: list[float | None], scores_unchanged: list[float | None]) -> str:
    """Return the loss of score by a removal over the same runs: mean and greatest deviation."""
    losses = [
        a - b
        for a, b in zip(scores_unchanged, scores_without, strict=True)
        if a is not None and b is not None
    ]
    if not losses:
        return "no scores"
    mean = statistics.fmean(losses)
    spread = max(abs(loss - mean) for loss in losses)
    return f"{mean:+.3f} ± {spread:.3f} ({len(losses)} runs)"


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--play", required=True, help="command with {day} and {seed}")
    parser.add_argument("--days", required=True, help="scenarios, separated by commas")
    parser.add_argument("--seeds", required=True, help="seeds, separated by commas")
    parser.add_argument("--jobs", type=int, default=2, help="number of concurrent runs")
    parser.add_argument(
        "--only", default="", help="run only mechanisms whose names contain this text"
    )
    parser.add_argument(
        "--folder",
        type=Path,
        help="parent folder of the copies; by default that of temporary files",
    )
    return parser.parse_args()


def main() -> int:
    """Run all scenarios with each mechanism removed in turn, and print what each contributes."""
    arguments = _arguments()
    removals = [removal for removal in REMOVALS if arguments.only in removal.mechanism]
    names = [UNCHANGED, *(removal.mechanism for removal in removals)]
    with tempfile.TemporaryDirectory(dir=arguments.folder) as base:
        trees = {UNCHANGED: _copy_without(None, Path(base) / "whole")}
        for number, removal in enumerate(removals):
            trees[removal.mechanism] = _copy_without(removal, Path(base) / str(number))
        runs = [
            ScenarioRun(name, trees[name], day, seed)
            for day in arguments.days.split(",")
            for seed in arguments.seeds.split(",")
            for name in names
        ]
        scores: defaultdict[str, list[float | None]] = defaultdict(list)
        with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
            results = pool.map(lambda run: _run_scenario(arguments.play, run), runs)
            for run, result in zip(runs, results, strict=True):
                scores[run.mechanism].append(result)
                print(f"{run.day} {run.seed} without {run.mechanism}: {result}", flush=True)
        for name in trees:
            _copy_journal_entries(trees[name])
    print("\n| removed mechanism | loss of score |\n|---|---|")
    for name in names[1:]:
        print(f"| {name} | {_difference(scores[name], scores[UNCHANGED])} |")
    return 0


def _copy_journal_entries(tree: Path) -> None:
    """Copy the journal entries that the runs wrote in a copy of the tree to this tree."""
    for entry in (tree / "journal").glob("**/*"):
        target = ROOT / "journal" / entry.relative_to(tree / "journal")
        if entry.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(entry, target)


if __name__ == "__main__":
    raise SystemExit(main())
