"""What the commands of the operators' tool share: options, exit codes, calls and printing.

Exit codes: 0 done, 1 failed, 2 wrong use, 3 conflict with another edit, 4 not in force everywhere.
"""

import json
import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, NoReturn, TypeVar

import trio
import typer
from result import Err, Ok, Result

from yewloom.http_calls import HttpCaller, HttpCallError
from yewloom.ids import RowName
from yewloom.operations import (
    OperationError,
    cells_text,
    flat_cells,
    get_row,
    read_entry_host,
)
from yewloom.platforms import HttpPlatform, Platform
from yewloom.schema.table_pb2 import VersionedRow
from yewloom.tables import parse_row_name

CONNECT_TIMEOUT_S = 3.0
"""Longest wait for a connection, and for an answer of the platform: an operator is waiting."""

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_LAGGING = 4

T = TypeVar("T")

_tls: list[ssl.SSLContext] = []
"""The authority that entry hosts are checked against, if the operator names one."""

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


def check_by(authority_file: Path) -> None:
    """Check entry hosts against an authority."""
    _tls.append(ssl.create_default_context(cafile=authority_file))


def call_entry_host(method: str, url: str, body: dict[str, Any], headers: dict[str, str]) -> Any:
    """Send a call to an entry host and return its answer; end the program if there is none."""

    async def call() -> Any:
        caller = new_caller()
        return await caller.call(method, url, 120.0, json.dumps(body).encode(), headers)

    try:
        return trio.run(call)
    except HttpCallError as error:
        fail(f"The entry host at {url} did not answer ({error}).", EXIT_FAILED)


def read_row(platform: str, row: str) -> VersionedRow:
    """Return a row; end the program if there is none."""
    name = row_name(row)
    found = on_platform(platform, lambda api: get_row(api, name))
    if found is None or found.row.deleted:
        fail(f"There is no row {name}; see `yewloom table list`.", EXIT_FAILED)
    return found


def row_name(text: str) -> RowName:
    """Return the name of a row; end the program if the text is none."""
    match parse_row_name(text):
        case Ok(name):
            return name
        case Err(error):
            fail(str(error), EXIT_USAGE)


def on_platform(
    url: str, run: Callable[[Platform], Awaitable[Result[T, OperationError]]], token: str = ""
) -> T:
    """Run one operation on the platform; end the program with a sentence if it fails."""

    async def call() -> Result[T, OperationError]:
        return await run(
            HttpPlatform(new_caller(), url, CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_S, token)
        )

    return value_of(trio.run(call))


def read_status(host: str, path: str = "/status") -> dict[str, Any]:
    """Return what an entry host tells of itself; end the program if it tells nothing."""

    async def call() -> Result[dict[str, Any], OperationError]:
        return await read_entry_host(new_caller(), host, path)

    return value_of(trio.run(call))


def new_caller() -> HttpCaller:
    """Return a caller that checks entry hosts as the operator asked for."""
    return HttpCaller(CONNECT_TIMEOUT_S, tls=_tls[0] if _tls else None)


def value_of(result: Result[T, OperationError]) -> T:
    """Return the value of an operation; end the program with its sentence if it failed."""
    match result:
        case Ok(value):
            return value
        case Err(error):
            fail(str(error), EXIT_CONFLICT if error.is_conflict else EXIT_FAILED)


def row_fields(row: VersionedRow) -> dict[str, Any]:
    """Return a row as JSON for scripts."""
    return {"name": row.name, "version": row.version, "cells": flat_cells(row)}


def row_text(row: VersionedRow) -> str:
    """Return a row as one line."""
    return f"{row.name} version {row.version}: {cells_text(row)}"


def print_answer(as_json: bool, fields: Any, lines: list[str]) -> None:
    """Print what was asked for, for scripts or for people."""
    typer.echo(json.dumps(fields) if as_json else "\n".join(lines))


def fail(sentence: str, code: int) -> NoReturn:
    """End the program with a sentence and an exit code."""
    typer.echo(f"yewloom: {sentence}", err=True)
    raise typer.Exit(code)
