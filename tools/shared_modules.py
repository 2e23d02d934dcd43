"""Show how much code the two programs share: the modules and lines that each of them imports.

Follows imports through the package, except for generated code and ``__init__`` files.
"""

import ast
from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROGRAMS = ("yewloom.platform.program", "yewloom.daemon")


def module_path(module: str) -> Path | None:
    """Return a module's file; None for packages, generated code and names inside modules."""
    path = ROOT.joinpath(*module.split(".")).with_suffix(".py")
    return path if path.exists() and "_pb2" not in path.name else None


def imported_names(path: Path) -> set[str]:
    """Return the names that a module imports from the package."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("yewloom"):
            names.add(str(node.module))
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names if alias.name.startswith("yewloom")}
    return names


def reachable_modules(program: str) -> set[str]:
    """Return the modules that a program imports directly or indirectly, including itself."""
    seen: set[str] = set()
    pending = [program]
    while pending:
        module = pending.pop()
        path = module_path(module)
        if path is not None and module not in seen:
            seen.add(module)
            pending += imported_names(path)
    return seen


def count_lines(modules: Iterable[str]) -> int:
    """Return the total number of lines of the modules."""
    paths = (module_path(module) for module in modules)
    return sum(len(path.read_text(encoding="utf-8").splitlines()) for path in paths if path)


def main() -> None:
    """Print the numbers of modules and lines of each program, and those that they share."""
    by_program = {program: reachable_modules(program) for program in PROGRAMS}
    shared = set.intersection(*by_program.values())
    for program, modules in by_program.items():
        part = count_lines(shared) / count_lines(modules)
        print(f"{program}: {len(modules)} modules, {count_lines(modules)} lines, {part:.0%} shared")
    print(
        f"shared: {len(shared)} modules, {count_lines(shared)} lines: {', '.join(sorted(shared))}"
    )


if __name__ == "__main__":
    main()
