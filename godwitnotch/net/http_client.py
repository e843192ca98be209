"""HTTP/1.1 client that keeps connections, and may identify who serves them."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

import msgspec

from godwitnotch.net import http_connection
from godwitnotch.net import http_types

DEFAULT_MAX_CONNECTIONS = 64
# An idle connection can fail without notice, so it is reused only for this long
# after its last response.
DEFAULT_MAX_IDLE_S = 2.0
DEFAULT_CONNECT_TIMEOUT_S = 1.0


class Greeting(msgspec.Struct, frozen=True):
    """Makes sure that a connection leads to one process of a server.

    A connection ends with the process that has accepted it, so that a process
    needs to be identified once on each connection.

    Attributes:
        request: A request that changes nothing at the server.
        identify: Returns the process from a response to this request, or to
            the request that it precedes; 0 if the response doesn't tell.
        expected: The process to send the request to; 0 for any.
    """

    request: http_types.HttpRequest
    identify: Callable[[http_types.HttpResponse], int]
    expected: int


class OtherProcessError(Exception):
    """Raised when another process has responded to a greeting.

    Attributes:
        response: The response; the request itself was not sent.
    """

    def __init__(self, address: str, response: http_types.HttpResponse) -> None:
        super().__init__(
            f"another process than the expected one serves {address}; find out "
            "which one before the next request"
        )
        self.response = response


class HttpClient:
    """Sends requests over persistent connections, without pipelining.

    Args:
        max_connections: Maximum number of connections to an address, unless
            `set_max_connections` sets another number.
        max_idle_s: Maximum idle time of a connection that is reused, in
            seconds.
        connect_timeout_s: Maximum time in seconds to open a connection.
    """

    def __init__(
        self,
        *,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        max_idle_s: float = DEFAULT_MAX_IDLE_S,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
    ) -> None:
        self._max_connections = max_connections
        self._max_idle_s = max_idle_s
        self._connect_timeout_s = connect_timeout_s
        self._pools: dict[str, _Pool] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None

    def set_max_connections(self, address: str, max_connections: int) -> None:
        """Sets the maximum number of connections to an address."""
        self._pool(address).set_max_connections(max_connections)

    def remove_pool(self, address: str) -> bool:
        """Closes the idle connections to an address and removes its pool.

        Returns:
            Whether the pool was removed; a pool that is in use is kept.
        """
        pool = self._pool(address)
        pool.close_idle()
        if pool.in_use or pool.waiters:
            return False
        del self._pools[address]
        return True

    def idle_connections(self, address: str) -> int:
        """Returns the number of idle connections to an address."""
        return len(self._pool(address).idle)

    async def request(
        self,
        address: str,
        request: http_types.HttpRequest,
        *,
        deadline: float,
        max_body_bytes: int,
        greeting: Greeting | None = None,
    ) -> http_types.HttpResponse:
        """Sends a request and returns the whole response.

        Cancellation closes the connection, so that it is never reused.

        Args:
            address: IP address and port of the server.
            request: Request to send.
            deadline: Loop time at which the exchange fails.
            max_body_bytes: Maximum size of the response body.
            greeting: Sent before the request on a connection that is not known
                to lead to the expected process; None for no such check.

        Raises:
            ExchangeError: The whole response did not arrive.
            OtherProcessError: Another process has responded to the greeting.
        """
        pool = self._pool(address)
        await self._acquire(pool, deadline)
        try:
            return await self._exchange(
                pool, request, deadline, max_body_bytes, greeting
            )
        except http_connection.ExchangeError as error:
            if (
                error.cause is http_connection.Cause.TIMED_OUT
                and error.progress is http_connection.Progress.SENT
            ):
                pool.close_idle()
            raise
        finally:
            pool.release()

    async def close(self) -> None:
        """Closes all idle connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        for pool in self._pools.values():
            pool.close_idle()
        await asyncio.sleep(0)

    def _pool(self, address: str) -> "_Pool":
        pool = self._pools.get(address)
        if pool is None:
            pool = _Pool(address, self._max_connections)
            self._pools[address] = pool
        return pool

    async def _acquire(self, pool: "_Pool", deadline: float) -> None:
        if pool.try_acquire():
            return
        try:
            async with asyncio.timeout_at(deadline):
                await pool.acquire()
        except TimeoutError:
            raise http_connection.ExchangeError(
                pool.address,
                http_connection.Progress.NOTHING_SENT,
                http_connection.Cause.TIMED_OUT,
                "all connections are in use; raise the limit or send fewer "
                "requests",
            ) from None

    async def _exchange(
        self,
        pool: "_Pool",
        request: http_types.HttpRequest,
        deadline: float,
        max_body_bytes: int,
        greeting: Greeting | None,
    ) -> http_types.HttpResponse:
        while True:
            reused = pool.take_idle(self._max_idle_s)
            connection = reused or await self._connect(pool, deadline)
            try:
                if greeting is not None:
                    await _greet(connection, greeting, deadline, max_body_bytes)
                response = await connection.exchange(
                    request, deadline, max_body_bytes
                )
            except OtherProcessError:
                self._put_back(pool, connection)
                raise
            except http_connection.ExchangeError as error:
                connection.abort()
                if reused and _closed_before_send(error):
                    continue
                raise
            except BaseException:
                connection.abort()
                raise
            if greeting is not None:
                process = greeting.identify(response)
                connection.process = process or connection.process
            self._put_back(pool, connection)
            return response

    def _put_back(
        self, pool: "_Pool", connection: http_connection.Connection
    ) -> None:
        """Keeps a connection for the next request, if it can carry one."""
        if connection.reusable:
            pool.idle.append(connection)
            self._schedule_sweep()
        else:
            connection.abort()

    async def _connect(
        self, pool: "_Pool", deadline: float
    ) -> http_connection.Connection:
        loop = asyncio.get_running_loop()
        connect_deadline = min(deadline, loop.time() + self._connect_timeout_s)
        try:
            async with asyncio.timeout_at(connect_deadline):
                return await http_connection.connect(pool.address)
        except TimeoutError:
            raise http_connection.ExchangeError(
                pool.address,
                http_connection.Progress.NOTHING_SENT,
                http_connection.Cause.TIMED_OUT,
                "the server accepted no connection in time; check that it runs",
            ) from None
        except (OSError, ValueError, OverflowError) as error:
            raise http_connection.ExchangeError(
                pool.address,
                http_connection.Progress.CONNECT_REFUSED,
                http_connection.Cause.CONNECT_FAILED,
                "check that the address is an IP address and port, and that "
                f"the server listens there ({error})",
            ) from error

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(self._max_idle_s, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timer = None
        for pool in self._pools.values():
            pool.close_expired(self._max_idle_s)
        if any(pool.idle for pool in self._pools.values()):
            self._schedule_sweep()


async def _greet(
    connection: http_connection.Connection,
    greeting: Greeting,
    deadline: float,
    max_body_bytes: int,
) -> None:
    """Makes sure that a connection leads to the expected process."""
    if greeting.expected in (0, connection.process):
        return
    try:
        response = await connection.exchange(
            greeting.request, deadline, max_body_bytes
        )
    except http_connection.ExchangeError as error:
        raise http_connection.ExchangeError(
            error.address,
            http_connection.Progress.NOTHING_SENT,
            error.cause,
            "the server did not respond to the greeting",
        ) from error
    connection.process = greeting.identify(response)
    if connection.process != greeting.expected:
        raise OtherProcessError(connection.address, response)


def _closed_before_send(error: http_connection.ExchangeError) -> bool:
    return (
        error.progress is http_connection.Progress.NOTHING_SENT
        and error.cause is http_connection.Cause.CLOSED
    )


class _Pool(msgspec.Struct):
    address: str
    max_connections: int
    in_use: int = 0
    idle: list[http_connection.Connection] = msgspec.field(default_factory=list)
    waiters: deque[asyncio.Future[None]] = msgspec.field(default_factory=deque)

    def set_max_connections(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._wake()

    def try_acquire(self) -> bool:
        if self.in_use >= self.max_connections or self.waiters:
            return False
        self.in_use += 1
        return True

    async def acquire(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            else:
                # A release may have removed the cancelled waiter already.
                with contextlib.suppress(ValueError):
                    self.waiters.remove(waiter)
            raise

    def release(self) -> None:
        self.in_use -= 1
        self._wake()

    def take_idle(self, max_idle_s: float) -> http_connection.Connection | None:
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle.pop()
            if (
                now - connection.idle_since <= max_idle_s
                and connection.usable()
            ):
                return connection
            connection.abort()
        return None

    def close_idle(self) -> None:
        for connection in self.idle:
            connection.abort()
        self.idle.clear()

    def close_expired(self, max_idle_s: float) -> None:
        now = asyncio.get_running_loop().time()
        remaining = []
        for connection in self.idle:
            if now - connection.idle_since < max_idle_s:
                remaining.append(connection)
            else:
                connection.abort()
        self.idle = remaining

    def _wake(self) -> None:
        while self.waiters and self.in_use < self.max_connections:
            waiter = self.waiters.popleft()
            if not waiter.done():
                self.in_use += 1
                waiter.set_result(None)
