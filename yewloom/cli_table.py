"""``yewloom table``: commands that read and edit the table of weights and limits."""

import getpass
from typing import Annotated

import typer

from yewloom.cli_calls import (
    EXIT_NOT_APPLIED,
    EXIT_USAGE,
    ExpectOption,
    HostsOption,
    JsonOption,
    PlatformOption,
    RowArgument,
    TokenOption,
    exit_with_error,
    format_row,
    print_result,
    read_row_or_exit,
    read_status_or_exit,
    row_fields,
    row_name_or_exit,
    run_on_platform,
)
from yewloom.node import unix_now_ms
from yewloom.operations import Edit, apply_edit, cells_by_path, format_cells, list_rows

table_app = typer.Typer(no_args_is_help=True, help="Read and edit the table of weights and limits.")


@table_app.command("list")
def table_list(platform: PlatformOption, as_json: JsonOption = False) -> None:
    """Print all rows.  Example: yewloom table list"""
    rows = run_on_platform(platform, list_rows)
    print_result(as_json, [row_fields(row) for row in rows], [format_row(row) for row in rows])


@table_app.command("get")
def table_get(row: RowArgument, platform: PlatformOption, as_json: JsonOption = False) -> None:
    """Print one row.  Example: yewloom table get policy/hotel"""
    versioned_row = read_row_or_exit(platform, row)
    lines = [f"{cell} = {value}" for cell, value in cells_by_path(versioned_row).items()]
    print_result(
        as_json,
        row_fields(versioned_row),
        [f"{versioned_row.name} version {versioned_row.version}", *lines],
    )


@table_app.command("set")
def table_set(
    row: RowArgument,
    cells: Annotated[list[str], typer.Argument(help="Cells to set, as CELL=VALUE.")],
    platform: PlatformOption,
    token: TokenOption = "",
    expect_version: ExpectOption = None,
    as_json: JsonOption = False,
) -> None:
    """Set cells of a row.  Example: yewloom table set policy/hotel downtime.spare_hosts=2"""
    values = {}
    for cell in cells:
        name, separator, value = cell.partition("=")
        if not separator:
            exit_with_error(f"{cell!r} is not of the form CELL=VALUE.", EXIT_USAGE)
        values[name] = value
    _edit(platform, token, row, values, expect_version, False, as_json)


@table_app.command("delete")
def table_delete(
    row: RowArgument,
    platform: PlatformOption,
    token: TokenOption = "",
    expect_version: ExpectOption = None,
    as_json: JsonOption = False,
) -> None:
    """Delete a row.  Example: yewloom table delete policy/old"""
    _edit(platform, token, row, {}, expect_version, True, as_json)


@table_app.command("history")
def table_history(row: RowArgument, platform: PlatformOption, as_json: JsonOption = False) -> None:
    """Print the latest edits of a row.  Example: yewloom table history customer/hotel-1"""
    changes = [
        {"editor": c.editor, "edited_unix_ms": c.edited_unix_ms, "summary": c.summary}
        for c in read_row_or_exit(platform, row).row.history
    ]
    lines = [f"{c['edited_unix_ms']} {c['editor']}: {c['summary']}" for c in changes]
    print_result(as_json, changes, lines)


@table_app.command("status")
def table_status(platform: PlatformOption, hosts: HostsOption, as_json: JsonOption = False) -> None:
    """Show which entry hosts have applied every row; exit code 4 if one has not."""
    rows = {row.name: row.version for row in run_on_platform(platform, list_rows)}
    statuses = [read_status_or_exit(host) for host in hosts]
    outdated_rows = {
        status["entry_host"]: sorted(
            name for name, version in rows.items() if status["rows"].get(name, 0) < version
        )
        for status in statuses
    }
    lines = [
        f"{host}: " + (f"behind in {', '.join(names)}" if names else "all rows applied")
        for host, names in outdated_rows.items()
    ]
    print_result(as_json, {"rows": rows, "behind": outdated_rows}, lines)
    if any(outdated_rows.values()):
        raise typer.Exit(EXIT_NOT_APPLIED)


def _edit(
    platform: str,
    token: str,
    row: str,
    cells: dict[str, str],
    expect_version: int | None,
    is_deletion: bool,
    as_json: bool,
) -> None:
    edit = Edit(
        row_name_or_exit(row), getpass.getuser(), unix_now_ms(), cells, expect_version, is_deletion
    )
    written = run_on_platform(platform, lambda api: apply_edit(api, edit), token)
    text = f"{written.name} accepted as version {written.version}: {format_cells(written)}"
    print_result(as_json, row_fields(written), [text])
