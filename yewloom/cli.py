"""``yewloom``: the operators' command line.

Exit codes: 0 done, 1 failed, 2 wrong use, 3 conflict with another edit, 4 not in force everywhere.
"""

import getpass
import json
import random
import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, NoReturn, TypeVar

import trio
import typer
from result import Err, Ok, Result

from yewloom import comparison
from yewloom.experiments import join_records, record_from
from yewloom.explanation import Story
from yewloom.http_calls import HttpCaller, HttpCallError
from yewloom.ids import RowName
from yewloom.node import unix_ms
from yewloom.operations import (
    Edit,
    OperationError,
    apply_edit,
    cells_text,
    flat_cells,
    get_row,
    list_rows,
    read_entry_host,
)
from yewloom.platforms import HttpPlatform, Platform
from yewloom.reports import comparison_fields, comparison_lines
from yewloom.schema.table_pb2 import VersionedRow
from yewloom.settings import read_settings
from yewloom.states import RowKind
from yewloom.tables import parse_row_name

_CONNECT_TIMEOUT_S = 3.0

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_LAGGING = 4

T = TypeVar("T")

_tls: list[ssl.SSLContext] = []
"""The authority that entry hosts are checked against, if the operator names one."""

app = typer.Typer(no_args_is_help=True, add_completion=False, help="Operate yewloom.")
table_app = typer.Typer(no_args_is_help=True, help="Read and edit the table of weights and limits.")
app.add_typer(table_app, name="table")

PlatformOption = Annotated[
    str, typer.Option("--platform", envvar="YEWLOOM_PLATFORM", help="Address of the platform.")
]
TokenOption = Annotated[
    str, typer.Option("--token", envvar="YEWLOOM_TOKEN", help="Operator's token at the platform.")
]
HostOption = Annotated[
    str, typer.Option("--host", envvar="YEWLOOM_HOST", help="Address of one entry host.")
]
AuthorityOption = Annotated[
    Path | None,
    typer.Option(
        "--authority-file", envvar="YEWLOOM_AUTHORITY_FILE", help="PEM authority of entry hosts."
    ),
]
HostsOption = Annotated[
    list[str], typer.Option("--host", envvar="YEWLOOM_HOSTS", help="Address; may be repeated.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]
RowArgument = Annotated[str, typer.Argument(help="Row as KIND/NAME, for example policy/hotel.")]
ExpectOption = Annotated[
    int | None, typer.Option("--expect-version", help="Fail unless the row has this version.")
]


@app.callback()
def set_up(authority_file: AuthorityOption = None) -> None:
    """Operate yewloom."""
    if authority_file is not None:
        _tls.append(ssl.create_default_context(cafile=authority_file))


@app.command("check-config")
def check_config(
    path: Annotated[Path, typer.Argument(help="Settings file of an entry host.")],
) -> None:
    """Check a settings file.  Example: yewloom check-config entry-1.ini"""
    match read_settings(path):
        case Ok():
            typer.echo(f"{path}: the settings are complete and within their bounds.")
        case Err(error):
            _fail(str(error), EXIT_USAGE)


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[list[Path], typer.Argument(help="Log files of entry hosts.")],
) -> None:
    """Print what the logs of entry hosts tell of one request, in order of time."""
    story = Story(request_id)
    for path in files:
        try:
            with path.open(encoding="utf-8", errors="replace") as lines:
                story.read(lines)
        except OSError as error:
            _fail(f"{path} can't be read ({error}); name a log file.", EXIT_USAGE)
    typer.echo("\n".join(story.lines()))
    if not story.is_known:
        _fail(f"No line of these files names the request {request_id!r}.", EXIT_FAILED)


@table_app.command("list")
def table_list(platform: PlatformOption, as_json: JsonOption = False) -> None:
    """Print all rows.  Example: yewloom table list"""
    rows = _on_platform(platform, list_rows)
    _print(as_json, [_row_fields(row) for row in rows], [_row_text(row) for row in rows])


@table_app.command("get")
def table_get(row: RowArgument, platform: PlatformOption, as_json: JsonOption = False) -> None:
    """Print one row.  Example: yewloom table get policy/hotel"""
    found = _read_row(platform, row)
    lines = [f"{cell} = {value}" for cell, value in flat_cells(found).items()]
    _print(as_json, _row_fields(found), [f"{found.name} version {found.version}", *lines])


@table_app.command("set")
def table_set(
    row: RowArgument,
    cells: Annotated[list[str], typer.Argument(help="Cells as CELL=VALUE.")],
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
            _fail(f"{cell!r} is not of the form CELL=VALUE.", EXIT_USAGE)
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
        for c in _read_row(platform, row).row.history
    ]
    lines = [f"{c['edited_unix_ms']} {c['editor']}: {c['summary']}" for c in changes]
    _print(as_json, changes, lines)


@table_app.command("status")
def table_status(platform: PlatformOption, hosts: HostsOption, as_json: JsonOption = False) -> None:
    """Show which entry hosts have every row in force; exit code 4 if one lags."""
    rows = {row.name: row.version for row in _on_platform(platform, list_rows)}
    states = [_status(host) for host in hosts]
    lags = {
        state["entry_host"]: sorted(
            name for name, version in rows.items() if state["rows"].get(name, 0) < version
        )
        for state in states
    }
    lines = [
        f"{host}: " + (f"behind in {', '.join(names)}" if names else "all rows in force")
        for host, names in lags.items()
    ]
    _print(as_json, {"rows": rows, "behind": lags}, lines)
    if any(lags.values()):
        raise typer.Exit(EXIT_LAGGING)


@app.command()
def groups(host: HostOption, as_json: JsonOption = False) -> None:
    """Print the groups as one entry host sees them.  Example: yewloom groups"""
    found = _status(host)["groups"]
    lines = [
        f"{g['id']} {g['state']} generation {g['generation']} "
        f"running {g['running']}/{g['capacity']} members {' '.join(g['members'])}"
        for g in found
    ]
    _print(as_json, found, lines)


@app.command()
def hosts(host: HostOption, as_json: JsonOption = False) -> None:
    """Print the entry hosts that one entry host sees.  Example: yewloom hosts"""
    members = _status(host)["members"]
    lines = [
        f"{m['id']} {m['data_centre']}{' leaving' if m['is_leaving'] else ''}" for m in members
    ]
    _print(as_json, members, lines)


@app.command()
def compare(
    experiment: Annotated[str, typer.Argument(help="Name of the experiment's row.")],
    platform: PlatformOption,
    hosts: HostsOption,
    as_json: JsonOption = False,
) -> None:
    """Compare the two sides of an experiment.  Example: yewloom compare prefixes"""
    row = _read_row(platform, f"{RowKind.EXPERIMENT.value}/{experiment}").row.experiment
    records = [record_from(_status(host, f"/experiments/{experiment}")) for host in hosts]
    found = comparison.compare(join_records(records), row.share_b, random.Random(experiment))
    _print(as_json, comparison_fields(found), comparison_lines(found, row))


@app.command()
def request(
    prompt: Annotated[str, typer.Argument(help="Text of the user's message.")],
    host: HostOption,
    model: Annotated[str, typer.Option(help="Model to ask.")],
    key: Annotated[str, typer.Option(envvar="YEWLOOM_KEY", help="Customer's key.")],
    max_tokens: Annotated[int, typer.Option(help="Most tokens in the answer.")] = 32,
    as_json: JsonOption = False,
) -> None:
    """Send one chat request and print its stream.  Example: yewloom request Hello --model m"""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": not as_json,
    }
    headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
    answer = _call("POST", f"{host.rstrip('/')}/v1/chat/completions", body, headers)
    if answer.status != 200:
        _fail(f"The request was refused: {answer.body.decode(errors='replace')}", EXIT_FAILED)
    typer.echo(answer.body.decode())


def _call(method: str, url: str, body: dict[str, Any], headers: dict[str, str]) -> Any:
    async def call() -> Any:
        caller = _caller()
        return await caller.call(method, url, 120.0, json.dumps(body).encode(), headers)

    try:
        return trio.run(call)
    except HttpCallError as error:
        _fail(f"The entry host at {url} did not answer ({error}).", EXIT_FAILED)


def _edit(
    platform: str,
    token: str,
    row: str,
    cells: dict[str, str],
    expect_version: int | None,
    is_deletion: bool,
    as_json: bool,
) -> None:
    edit = Edit(_row_name(row), getpass.getuser(), unix_ms(), cells, expect_version, is_deletion)
    written = _on_platform(platform, lambda api: apply_edit(api, edit), token)
    text = f"{written.name} accepted as version {written.version}: {cells_text(written)}"
    _print(as_json, _row_fields(written), [text])


def _read_row(platform: str, row: str) -> VersionedRow:
    name = _row_name(row)
    found = _on_platform(platform, lambda api: get_row(api, name))
    if found is None or found.row.deleted:
        _fail(f"There is no row {name}; see `yewloom table list`.", EXIT_FAILED)
    return found


def _row_name(text: str) -> RowName:
    match parse_row_name(text):
        case Ok(name):
            return name
        case Err(error):
            _fail(str(error), EXIT_USAGE)


def _on_platform(
    url: str, run: Callable[[Platform], Awaitable[Result[T, OperationError]]], token: str = ""
) -> T:
    """Run one operation on the platform; end the program with a sentence if it fails."""

    async def call() -> Result[T, OperationError]:
        return await run(HttpPlatform(_caller(), url, 3.0, 3.0, token))

    return _value(trio.run(call))


def _status(host: str, path: str = "/status") -> dict[str, Any]:
    async def call() -> Result[dict[str, Any], OperationError]:
        return await read_entry_host(_caller(), host, path)

    return _value(trio.run(call))


def _caller() -> HttpCaller:
    return HttpCaller(_CONNECT_TIMEOUT_S, tls=_tls[0] if _tls else None)


def _value(result: Result[T, OperationError]) -> T:
    match result:
        case Ok(value):
            return value
        case Err(error):
            _fail(str(error), EXIT_CONFLICT if error.is_conflict else EXIT_FAILED)


def _row_fields(row: VersionedRow) -> dict[str, Any]:
    return {"name": row.name, "version": row.version, "cells": flat_cells(row)}


def _row_text(row: VersionedRow) -> str:
    return f"{row.name} version {row.version}: {cells_text(row)}"


def _print(as_json: bool, fields: Any, lines: list[str]) -> None:
    typer.echo(json.dumps(fields) if as_json else "\n".join(lines))


def _fail(sentence: str, code: int) -> NoReturn:
    typer.echo(f"yewloom: {sentence}", err=True)
    raise typer.Exit(code)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
