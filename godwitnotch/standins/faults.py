"""Fault injection into a running stand-in.

`POST /faults` with a JSON object sets the named faults and returns all faults;
`GET /faults` returns all faults. Faults don't affect the path /faults itself.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import fields

from godwitnotch.net import http_server
from godwitnotch.net import http_types

PATH = "/faults"
_NOT_STARTED_REASONS = ("", "full", "leaving")


@dataclass(slots=True)
class Faults:
    """Current faults of a stand-in.

    Attributes:
        down: Whether requests have no effect and their connections are closed.
        slow_s: Delay of each response, after the request took effect; an
            upstream's slot stays occupied during the delay.
        lose_answers: Number of responses to drop after their requests took
            effect; -1 to drop all.
        silent: Whether requests have no effect and never get a response.
        fail_fast: Whether an upstream fails every task immediately.
        not_started: Reason with which an upstream refuses every task: full or
            leaving; empty to refuse none.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    silent: bool = False
    fail_fast: bool = False
    not_started: str = ""

    def change(self, values: dict[str, object]) -> None:
        """Sets the named faults.

        Raises:
            ValueError: A name is unknown or a value is not allowed.
        """
        kinds = {item.name: type(item.default) for item in fields(self)}
        for name, value in values.items():
            if name not in kinds:
                raise ValueError(
                    f"unknown fault {name!r}; use {', '.join(kinds)}"
                )
            if kinds[name] is float and type(value) is int:
                value = float(value)
            if type(value) is not kinds[name]:
                raise ValueError(
                    f"fault {name} takes a {kinds[name].__name__}, "
                    f"not {value!r}"
                )
        if values.get("not_started", "") not in _NOT_STARTED_REASONS:
            raise ValueError("not_started is full, leaving or empty")
        for name, value in values.items():
            setattr(self, name, value)

    def take_response_drop(self) -> bool:
        """Returns whether to drop the next response.

        Decrements `lose_answers` if it is positive.
        """
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return True
        return self.lose_answers < 0


def with_faults(
    handler: http_types.Handler,
    faults: Callable[[], Faults],
    *,
    exempt_paths: frozenset[str] = frozenset(),
    adds_delay: bool = True,
) -> http_types.Handler:
    """Wraps a handler so that it injects faults and serves `PATH`.

    Args:
        handler: Handles the requests.
        faults: Returns the current faults.
        exempt_paths: Paths that are served without faults.
        adds_delay: Whether to delay responses by `slow_s`; False if the
            handler does so itself.
    """

    async def handle(
        request: http_types.HttpRequest,
    ) -> http_types.HttpResponse:
        if request.path == PATH:
            return _handle_control(request, faults())
        if request.path in exempt_paths:
            return await handler(request)
        return await _apply_faults(request, handler, faults(), adds_delay)

    return handle


async def _apply_faults(
    request: http_types.HttpRequest,
    handler: http_types.Handler,
    faults: Faults,
    adds_delay: bool,
) -> http_types.HttpResponse:
    if faults.down:
        raise http_server.DropConnection
    if faults.silent:
        await asyncio.Event().wait()
    response = await handler(request)
    if adds_delay and faults.slow_s:
        await asyncio.sleep(faults.slow_s)
    if faults.take_response_drop():
        raise http_server.DropConnection
    return response


def _handle_control(
    request: http_types.HttpRequest, faults: Faults
) -> http_types.HttpResponse:
    if request.method == "POST":
        try:
            values = json.loads(request.body)
            if not isinstance(values, dict):
                raise ValueError("send a JSON object of fault names")
            faults.change(values)
        except ValueError as error:
            return http_server.error_response(400, "bad_fault", str(error))
    return http_types.HttpResponse(200, json.dumps(asdict(faults)).encode())
