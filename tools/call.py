"""Send one call to a plain service through an entry host and print the answer."""

from typing import Annotated

import trio
import typer

from yewloom.http_calls import HttpClient


def main(
    method: str,
    url: str,
    key: Annotated[str, typer.Option(help="Idempotency key.")] = "",
    customer_key: Annotated[str, typer.Option(envvar="YEWLOOM_KEY")] = "",
) -> None:
    """Send a call; exit with code 1 unless the answer has status 200."""
    headers = {"authorization": f"Bearer {customer_key}"}
    if key:
        headers["idempotency-key"] = key

    async def call() -> int:
        answer = await HttpClient(3.0).call(method, url, 30.0, b"", headers)
        print(answer.status, answer.headers.get("x-outcome", ""), answer.body.decode())
        return 0 if answer.status == 200 else 1

    raise typer.Exit(trio.run(call))


if __name__ == "__main__":
    typer.run(main)
