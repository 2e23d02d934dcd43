"""Removal of a mechanism from a copy of the source tree, for mutation tests and ablation."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True)
class Removal:
    """A mechanism, and the source text of a module to replace in order to disable it."""

    mechanism: str
    module: str
    text: str
    replacement: str


@dataclass(frozen=True)
class Mutation(Removal):
    """A removal with the tests that must detect it and the number of occurrences of its text."""

    tests: str
    times: int = 1


def apply_removal(removal: Removal, tree: Path, times: int = 1) -> None:
    """Replace a removal's text in a copy of the tree; it must occur the given number of times."""
    path = tree / "yewloom" / f"{removal.module}.py"
    text = path.read_text(encoding="utf-8")
    found = text.count(removal.text)
    if found != times:
        raise SystemExit(
            f"{removal.mechanism}: its text occurs {found} times in {removal.module}.py, "
            f"expected {times}; update the removal."
        )
    path.write_text(text.replace(removal.text, removal.replacement), encoding="utf-8")
