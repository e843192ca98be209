"""Serves an HTTP handler while a test runs its client."""

import asyncio
import contextlib
import threading
from collections.abc import Iterator

from godwitnotch.net import http_server
from godwitnotch.net import http_types


@contextlib.contextmanager
def serving(handler: http_types.Handler) -> Iterator[str]:
    """Serves a handler on a separate thread; yields the address."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    def run(coroutine: object) -> object:
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result(10)

    server = http_server.HttpServer(handler, limits=http_types.HttpLimits())
    port = run(server.start("127.0.0.1", 0))
    try:
        yield f"127.0.0.1:{port}"
    finally:
        run(server.stop(deadline=loop.time()))
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()
