"""Faults that can be ordered from a stand-in while it runs.

`POST /faults` with a JSON object changes the named faults and returns all of
them; `GET /faults` returns them. The path itself is never with_faults.
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
    """The faults now in force.

    Attributes:
        down: Connections are closed at each request, which has no effect.
        slow_s: Seconds added before each answer, after its effect; an
            upstream's slot stays taken.
        lose_answers: How many answers are lost after their effect; -1 for
            all to come.
        silent: Requests have no effect and are never answered.
        fail_fast: An upstream fails every task at once.
        not_started: An upstream's refusal of every task: full, leaving, or
            empty for none.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    silent: bool = False
    fail_fast: bool = False
    not_started: str = ""

    def change(self, values: dict[str, object]) -> None:
        """Changes the named faults.

        Raises:
            ValueError: A name or value is not one of the above.
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

    def consume_lost_answer(self) -> bool:
        """Returns whether the next answer is to be lost, and counts it."""
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
    """Returns a handler that also suffers and changes the faults.

    Args:
        handler: Answers the requests.
        faults: Returns the faults now in force.
        exempt_paths: Paths that are served in spite of faults.
        adds_delay: Whether to add `slow_s`; False if the handler does.
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
    if faults.consume_lost_answer():
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
