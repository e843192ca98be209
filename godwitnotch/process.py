"""Incarnation ids and logs of unexpected exceptions, for all hosts."""

import asyncio
import secrets
import time
from collections.abc import Callable
from typing import Any

from godwitnotch import log
from godwitnotch.core import ids

_RANDOM_BYTES = 8

OnFault = Callable[[str, BaseException], None]
LoopExceptionHandler = Callable[
    [asyncio.AbstractEventLoop, dict[str, Any]], None
]


def new_incarnation() -> ids.Incarnation:
    """Returns a unique id for this process that sorts by start time."""
    milliseconds = int(time.time() * 1_000)
    random_part = secrets.token_hex(_RANDOM_BYTES)
    return ids.Incarnation(f"{milliseconds:011x}-{random_part}")


def log_fault(where: str, error: BaseException) -> None:
    """Logs an unexpected exception with its traceback."""
    log.logger.error(
        f"where={log.format_value(where)} error={log.format_value(error)}",
        extra={"event": "internal_fault"},
        exc_info=error,
    )


def loop_exception_handler(on_fault: OnFault) -> LoopExceptionHandler:
    """Returns an exception handler for event loops that calls `on_fault`."""

    def handle(
        loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        message = context["message"]
        on_fault(message, context.get("exception") or RuntimeError(message))

    return handle
