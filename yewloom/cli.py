"""``yewloom``: the command-line tool for operators; ``cli_calls`` defines its exit codes."""

import random
from pathlib import Path
from typing import Annotated

import typer
from result import Err, Ok

from yewloom import comparison
from yewloom.cli_calls import (
    EXIT_FAILED,
    EXIT_USAGE,
    AuthorityOption,
    HostOption,
    HostsOption,
    JsonOption,
    PlatformOption,
    call_entry_host_or_exit,
    exit_with_error,
    print_result,
    read_row_or_exit,
    read_status_or_exit,
    trust_authority,
)
from yewloom.cli_table import table_app
from yewloom.experiments import merge_records, record_from_fields
from yewloom.explanation import RequestHistory
from yewloom.reports import comparison_fields, comparison_lines
from yewloom.settings import read_settings
from yewloom.states import RowKind

app = typer.Typer(no_args_is_help=True, add_completion=False, help="Operate yewloom.")
app.add_typer(table_app, name="table")


@app.callback()
def configure(authority_file: AuthorityOption = None) -> None:
    """Operate yewloom."""
    if authority_file is not None:
        trust_authority(authority_file)


@app.command("check-config")
def check_config(
    path: Annotated[Path, typer.Argument(help="Settings file of an entry host.")],
) -> None:
    """Check a settings file.  Example: yewloom check-config entry-1.ini"""
    match read_settings(path):
        case Ok():
            typer.echo(f"{path}: all settings are present and within their bounds.")
        case Err(error):
            exit_with_error(str(error), EXIT_USAGE)


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[list[Path], typer.Argument(help="Log files of entry hosts.")],
) -> None:
    """Print the log lines of entry hosts about one request, in chronological order."""
    history = RequestHistory(request_id)
    for path in files:
        try:
            with path.open(encoding="utf-8", errors="replace") as lines:
                history.read(lines)
        except OSError as error:
            exit_with_error(f"Cannot read {path} ({error}); pass a readable log file.", EXIT_USAGE)
    typer.echo("\n".join(history.lines()))
    if not history.is_known:
        exit_with_error(f"No log line in these files mentions request {request_id!r}.", EXIT_FAILED)


@app.command()
def groups(host: HostOption, as_json: JsonOption = False) -> None:
    """Print the groups that one entry host knows.  Example: yewloom groups"""
    group_statuses = read_status_or_exit(host)["groups"]
    lines = [
        f"{g['id']} {g['state']} generation {g['generation']} "
        f"running {g['running']}/{g['capacity']} members {' '.join(g['members'])}"
        for g in group_statuses
    ]
    print_result(as_json, group_statuses, lines)


@app.command()
def hosts(host: HostOption, as_json: JsonOption = False) -> None:
    """Print the entry hosts that one entry host knows.  Example: yewloom hosts"""
    members = read_status_or_exit(host)["members"]
    lines = [
        f"{m['id']} {m['data_centre']}{' leaving' if m['is_leaving'] else ''}" for m in members
    ]
    print_result(as_json, members, lines)


@app.command()
def compare(
    experiment: Annotated[str, typer.Argument(help="Name of the experiment.")],
    platform: PlatformOption,
    hosts: HostsOption,
    as_json: JsonOption = False,
) -> None:
    """Compare the two policies of an experiment.  Example: yewloom compare prefixes"""
    row = read_row_or_exit(platform, f"{RowKind.EXPERIMENT.value}/{experiment}").row.experiment
    records = [
        record_from_fields(read_status_or_exit(host, f"/experiments/{experiment}"))
        for host in hosts
    ]
    result = comparison.compare(merge_records(records), row.share_b, random.Random(experiment))
    print_result(as_json, comparison_fields(result), comparison_lines(result, row))


@app.command()
def request(
    prompt: Annotated[str, typer.Argument(help="Text of the user's message.")],
    host: HostOption,
    model: Annotated[str, typer.Option(help="Model to ask.")],
    key: Annotated[str, typer.Option(envvar="YEWLOOM_KEY", help="API key of the customer.")],
    max_tokens: Annotated[int, typer.Option(help="Maximum number of tokens to generate.")] = 32,
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
    response = call_entry_host_or_exit(
        "POST", f"{host.rstrip('/')}/v1/chat/completions", body, headers
    )
    if response.status != 200:
        exit_with_error(
            f"The request failed: {response.body.decode(errors='replace')}", EXIT_FAILED
        )
    typer.echo(response.body.decode())


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
