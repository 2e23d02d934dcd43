"""Show how much code the two entry programs share: modules and lines reached from each.

Follows imports through the package; generated code and ``__init__`` files are left out.
"""

import ast
from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROGRAMS = ("yewloom.platform.program", "yewloom.daemon")


def module_path(module: str) -> Path | None:
    """Return a module's file; None for packages, generated code and names within modules."""
    path = ROOT.joinpath(*module.split(".")).with_suffix(".py")
    return path if path.exists() and "_pb2" not in path.name else None


def imported(path: Path) -> set[str]:
    """Return the names in the package that a module imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("yewloom"):
            names.add(str(node.module))
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names if alias.name.startswith("yewloom")}
    return names


def reached(program: str) -> set[str]:
    """Return the modules that a program reaches, itself among them."""
    seen: set[str] = set()
    todo = [program]
    while todo:
        module = todo.pop()
        path = module_path(module)
        if path is not None and module not in seen:
            seen.add(module)
            todo += imported(path)
    return seen


def lines(modules: Iterable[str]) -> int:
    """Return the lines of some modules."""
    paths = (module_path(module) for module in modules)
    return sum(len(path.read_text(encoding="utf-8").splitlines()) for path in paths if path)


def main() -> None:
    """Print modules and lines of each program, and what they share."""
    by_program = {program: reached(program) for program in PROGRAMS}
    shared = set.intersection(*by_program.values())
    for program, modules in by_program.items():
        part = lines(shared) / lines(modules)
        print(f"{program}: {len(modules)} modules, {lines(modules)} lines, {part:.0%} shared")
    print(f"shared: {len(shared)} modules, {lines(shared)} lines: {', '.join(sorted(shared))}")


if __name__ == "__main__":
    main()
