"""Options, exit codes, remote calls and output shared by the commands of the ``yewloom`` tool.

Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with another edit, 4 an entry host has
not applied every row of the table yet.
"""

import json
import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, NoReturn, TypeVar

import trio
import typer
from result import Err, Ok, Result

from yewloom.http_calls import HttpCallError, HttpClient
from yewloom.ids import RowName
from yewloom.operations import (
    OperationError,
    cells_by_path,
    format_cells,
    get_row,
    read_entry_host,
)
from yewloom.platforms import HttpPlatform, Platform
from yewloom.schema.table_pb2 import VersionedRow
from yewloom.tables import parse_row_name

CONNECT_TIMEOUT_S = 3.0
"""Time-out for connecting, and for responses of the platform; short, as an operator waits."""

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_NOT_APPLIED = 4

T = TypeVar("T")

_tls_contexts: list[ssl.SSLContext] = []
"""TLS context that verifies entry hosts against the operator's CA; empty without one."""

PlatformOption = Annotated[
    str, typer.Option("--platform", envvar="YEWLOOM_PLATFORM", help="URL of the platform.")
]
TokenOption = Annotated[
    str, typer.Option("--token", envvar="YEWLOOM_TOKEN", help="Operator's token for the platform.")
]
HostOption = Annotated[
    str, typer.Option("--host", envvar="YEWLOOM_HOST", help="URL of one entry host.")
]
AuthorityOption = Annotated[
    Path | None,
    typer.Option(
        "--authority-file",
        envvar="YEWLOOM_AUTHORITY_FILE",
        help="PEM file of the CA of entry hosts.",
    ),
]
HostsOption = Annotated[
    list[str],
    typer.Option("--host", envvar="YEWLOOM_HOSTS", help="URL of an entry host; may be repeated."),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
RowArgument = Annotated[str, typer.Argument(help="Row as KIND/NAME, for example policy/hotel.")]
ExpectOption = Annotated[
    int | None, typer.Option("--expect-version", help="Fail unless the row has this version.")
]


def trust_authority(authority_file: Path) -> None:
    """Verify the certificates of entry hosts against a CA."""
    _tls_contexts.append(ssl.create_default_context(cafile=authority_file))


def call_entry_host_or_exit(
    method: str, url: str, body: dict[str, Any], headers: dict[str, str]
) -> Any:
    """Call an entry host and return its response; exit if there is none."""

    async def call() -> Any:
        client = create_client()
        return await client.call(method, url, 120.0, json.dumps(body).encode(), headers)

    try:
        return trio.run(call)
    except HttpCallError as error:
        exit_with_error(f"The entry host at {url} did not answer ({error}).", EXIT_FAILED)


def read_row_or_exit(platform: str, row: str) -> VersionedRow:
    """Read a row; exit if it does not exist."""
    name = row_name_or_exit(row)
    versioned_row = run_on_platform(platform, lambda api: get_row(api, name))
    if versioned_row is None or versioned_row.row.deleted:
        exit_with_error(f"There is no row {name}; see `yewloom table list`.", EXIT_FAILED)
    return versioned_row


def row_name_or_exit(text: str) -> RowName:
    """Parse a row name; exit if it is invalid."""
    match parse_row_name(text):
        case Ok(name):
            return name
        case Err(error):
            exit_with_error(str(error), EXIT_USAGE)


def run_on_platform(
    url: str, run: Callable[[Platform], Awaitable[Result[T, OperationError]]], token: str = ""
) -> T:
    """Run one operation on the platform; exit with its error message if it fails."""

    async def call() -> Result[T, OperationError]:
        return await run(
            HttpPlatform(create_client(), url, CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_S, token)
        )

    return value_or_exit(trio.run(call))


def read_status_or_exit(host: str, path: str = "/status") -> dict[str, Any]:
    """Read a JSON page of an entry host; exit if there is no valid response."""

    async def call() -> Result[dict[str, Any], OperationError]:
        return await read_entry_host(create_client(), host, path)

    return value_or_exit(trio.run(call))


def create_client() -> HttpClient:
    """Create an HTTP client that verifies entry hosts as configured by the operator."""
    return HttpClient(CONNECT_TIMEOUT_S, tls=_tls_contexts[0] if _tls_contexts else None)


def value_or_exit(result: Result[T, OperationError]) -> T:
    """Return the value of an operation's result; exit with the error message if it failed."""
    match result:
        case Ok(value):
            return value
        case Err(error):
            exit_with_error(str(error), EXIT_CONFLICT if error.is_conflict else EXIT_FAILED)


def row_fields(row: VersionedRow) -> dict[str, Any]:
    """Return a row as JSON fields."""
    return {"name": row.name, "version": row.version, "cells": cells_by_path(row)}


def format_row(row: VersionedRow) -> str:
    """Format a row as one line of text."""
    return f"{row.name} version {row.version}: {format_cells(row)}"


def print_result(as_json: bool, fields: Any, lines: list[str]) -> None:
    """Print a result as JSON or as lines of text."""
    typer.echo(json.dumps(fields) if as_json else "\n".join(lines))


def exit_with_error(message: str, code: int) -> NoReturn:
    """Print an error message to standard error and exit with a code."""
    typer.echo(f"yewloom: {message}", err=True)
    raise typer.Exit(code)
