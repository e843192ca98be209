"""Commands that run stand-ins of the platform and of upstreams."""

import asyncio
import json
import pathlib
import signal
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Annotated

import typer

from godwitnotch.commands import options

app = typer.Typer(
    no_args_is_help=True,
    help="Runs in-memory stand-ins of the platform and upstreams, for tests.",
)

Listen = Annotated[
    str,
    typer.Option(
        metavar="IP:PORT",
        help="Address to listen on; port 0 for any free port.",
    ),
]


@app.command()
def platform(
    listen: Listen = "127.0.0.1:0",
    upstreams: Annotated[
        pathlib.Path | None,
        typer.Option(
            metavar="FILE",
            exists=True,
            dir_okay=False,
            help="YAML list of upstreams, each with the keys upstream, "
            "domain, rack, address, slots and connections.",
        ),
    ] = None,
) -> None:
    """Runs a stand-in of the platform until SIGTERM.

    Prints listening=IP:PORT. Inject faults with `standin faults`.

    Example: godwitnotch standin platform --listen 127.0.0.1:9000
    --upstreams upstreams.yaml
    """
    from godwitnotch.standins import platform as platform_standin

    text = upstreams.read_text() if upstreams is not None else ""
    try:
        entries = platform_standin.read_upstreams(text)
    except ValueError as error:
        options.fail(f"{upstreams}: {error}", options.ExitCode.USAGE)

    async def run() -> None:
        standin = platform_standin.Platform(entries)
        await _serve(listen, standin.start, standin.stop)

    asyncio.run(run())


@app.command()
def upstream(
    listen: Listen = "127.0.0.1:0",
    slots: Annotated[
        int, typer.Option(min=1, help="Maximum number of concurrent tasks.")
    ] = 8,
    speed: Annotated[
        float,
        typer.Option(min=0.001, help="Factor by which tasks run faster."),
    ] = 1.0,
) -> None:
    """Runs a stand-in of an upstream until SIGTERM.

    A task {"sleep_ms": 100} sleeps for 100 ms divided by the speed, and the
    response has the task's own body. A task {"fail": true} fails.

    Example: godwitnotch standin upstream --listen 127.0.0.1:9101 --speed 0.5
    """
    from godwitnotch.standins import upstream as upstream_standin

    async def run() -> None:
        standin = upstream_standin.Upstream(slots=slots, speed=speed)
        await _serve(listen, standin.start, standin.stop)

    asyncio.run(run())


@app.command()
def faults(
    address: Annotated[str, typer.Argument(metavar="IP:PORT")],
    changes: Annotated[
        list[str] | None,
        typer.Argument(metavar="NAME=VALUE", help="Faults to set."),
    ] = None,
) -> None:
    """Sets faults of a running stand-in, and prints all faults.

    Names: down, slow_s (seconds), lose_answers (a number, -1 for all), silent,
    fail_fast, not_started (full, leaving or "").

    Example: godwitnotch standin faults 127.0.0.1:9000 down=true
    """
    from godwitnotch import host_client

    client = host_client.HostClient(address, "")
    changed_faults = dict(_read_change(change) for change in changes or ())
    method = "POST" if changed_faults else "GET"
    response = options.call(
        client, method, "/faults", value=changed_faults or None
    )
    if not response.ok:
        options.fail(response.error, options.ExitCode.REFUSED)
    print(json.dumps(response.value))


def _read_change(text: str) -> tuple[str, object]:
    name, separator, value = text.partition("=")
    if not separator:
        options.fail(
            f"{text!r} is not NAME=VALUE; write it like down=true",
            options.ExitCode.USAGE,
        )
    try:
        return name, json.loads(value)
    except ValueError:
        return name, value


async def _serve(
    listen: str,
    start: Callable[[str, int], Awaitable[int]],
    stop: Callable[[], Awaitable[None]],
) -> None:
    """Serves until SIGTERM or SIGINT."""
    from godwitnotch import settings

    try:
        address = settings.parse_address(listen)
    except ValueError as error:
        options.fail(f"--listen: {error}", options.ExitCode.USAGE)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopping.set)
    port = await start(address.ip, address.port)
    print(f"listening={settings.Address(address.ip, port)}", flush=True)
    await stopping.wait()
    await stop()
