"""``yewloom``: the operators' command line; the exit codes are those of ``cli_calls``."""

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
    call_entry_host,
    check_by,
    fail,
    print_answer,
    read_row,
    read_status,
)
from yewloom.cli_table import table_app
from yewloom.experiments import join_records, record_from
from yewloom.explanation import Story
from yewloom.reports import comparison_fields, comparison_lines
from yewloom.settings import read_settings
from yewloom.states import RowKind

app = typer.Typer(no_args_is_help=True, add_completion=False, help="Operate yewloom.")
app.add_typer(table_app, name="table")


@app.callback()
def set_up(authority_file: AuthorityOption = None) -> None:
    """Operate yewloom."""
    if authority_file is not None:
        check_by(authority_file)


@app.command("check-config")
def check_config(
    path: Annotated[Path, typer.Argument(help="Settings file of an entry host.")],
) -> None:
    """Check a settings file.  Example: yewloom check-config entry-1.ini"""
    match read_settings(path):
        case Ok():
            typer.echo(f"{path}: the settings are complete and within their bounds.")
        case Err(error):
            fail(str(error), EXIT_USAGE)


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
            fail(f"{path} can't be read ({error}); name a log file.", EXIT_USAGE)
    typer.echo("\n".join(story.lines()))
    if not story.is_known:
        fail(f"No line of these files names the request {request_id!r}.", EXIT_FAILED)


@app.command()
def groups(host: HostOption, as_json: JsonOption = False) -> None:
    """Print the groups as one entry host sees them.  Example: yewloom groups"""
    found = read_status(host)["groups"]
    lines = [
        f"{g['id']} {g['state']} generation {g['generation']} "
        f"running {g['running']}/{g['capacity']} members {' '.join(g['members'])}"
        for g in found
    ]
    print_answer(as_json, found, lines)


@app.command()
def hosts(host: HostOption, as_json: JsonOption = False) -> None:
    """Print the entry hosts that one entry host sees.  Example: yewloom hosts"""
    members = read_status(host)["members"]
    lines = [
        f"{m['id']} {m['data_centre']}{' leaving' if m['is_leaving'] else ''}" for m in members
    ]
    print_answer(as_json, members, lines)


@app.command()
def compare(
    experiment: Annotated[str, typer.Argument(help="Name of the experiment's row.")],
    platform: PlatformOption,
    hosts: HostsOption,
    as_json: JsonOption = False,
) -> None:
    """Compare the two sides of an experiment.  Example: yewloom compare prefixes"""
    row = read_row(platform, f"{RowKind.EXPERIMENT.value}/{experiment}").row.experiment
    records = [record_from(read_status(host, f"/experiments/{experiment}")) for host in hosts]
    found = comparison.compare(join_records(records), row.share_b, random.Random(experiment))
    print_answer(as_json, comparison_fields(found), comparison_lines(found, row))


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
    answer = call_entry_host("POST", f"{host.rstrip('/')}/v1/chat/completions", body, headers)
    if answer.status != 200:
        fail(f"The request was refused: {answer.body.decode(errors='replace')}", EXIT_FAILED)
    typer.echo(answer.body.decode())


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
