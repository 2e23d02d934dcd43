"""Send a request through an entry host on the users' platform and print the answer."""

from typing import Annotated

import trio
import typer

from yewloom.endpoint_calls import ExchangeError, OutgoingRequest, open_exchange


def main(
    address: Annotated[str, typer.Argument(help="ip:port of the entry host.")],
    path: Annotated[str, typer.Argument(help="Path of the request.")],
    request_id: Annotated[str, typer.Option(help="Id of the request.")] = "demo-1",
    key: Annotated[str, typer.Option(help="API key.")] = "demo-key",
) -> None:
    """Send a request; exit with code 1 unless the answer has status 200."""
    headers = [
        (b"host", b"demo.example"),
        (b"yewloom-request-id", request_id.encode()),
        (b"yewloom-model", b"plates"),
        (b"authorization", f"Token {key}".encode()),
        (b"content-length", b"0"),
    ]

    async def send() -> int:
        try:
            async with open_exchange(address, 1.0) as exchange:
                await exchange.send(OutgoingRequest(b"POST", path.encode(), headers, b""))
                head = await exchange.read_head()
                body = await exchange.read_body()
        except ExchangeError as error:
            print(f"no answer: {error}")
            return 1
        print(head.status, body.decode().replace("\n\n", " | ").replace("\n", " "))
        return 0 if head.status == 200 else 1

    raise typer.Exit(trio.run(send))


if __name__ == "__main__":
    typer.run(main)
