"""Runs a host that a soak can tell by its address, and whose clocks it sets.

The host's connections come from its own loopback address, so that upstreams
know the sender of an order. With relays, it dials each address 127.A.B.C as
127.(A+1).B.C, where a relay listens.
"""

import os
import pathlib
import random
import signal
import socket
import sys
import time

from godwitnotch.core.leased import model
from godwitnotch.core.leased import run_lists
from godwitnotch.net import http_server
from godwitnotch.net import leased_api
from godwitnotch.platform import __main__ as platform_main

IP_VARIABLE = "SOAK_HOST_IP"
RELAY_VARIABLE = "SOAK_RELAYED"
CLOCK_FILE_VARIABLE = "SOAK_CLOCK_FILE"
DEFECT_VARIABLE = "SOAK_DEFECT"
_IP_BIND_ADDRESS_NO_PORT = 24


class _BoundSocket(socket.socket):
    """A socket that connects from the host's own address."""

    def connect(self, address: tuple[str, int]) -> None:
        """Binds to the host's address, then connects."""
        if self.family == socket.AF_INET:
            option = (socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
            self.setsockopt(*option)
            if self.getsockname()[0] == "0.0.0.0":
                self.bind((os.environ[IP_VARIABLE], 0))
            if os.environ[RELAY_VARIABLE]:
                address = (relay_ip(address[0]), address[1])
        super().connect(address)


class _Clocks:
    """The clocks of a host, as a file says at the start and on SIGUSR1.

    The file holds the seconds that the steady clock has not counted, and the
    seconds that the time of day is ahead.
    """

    def __init__(self, file: pathlib.Path) -> None:
        self._file = file
        monotonic, unix_time = time.monotonic, time.time
        time.monotonic = lambda: monotonic() - self._suspended_s
        time.time = lambda: unix_time() + self._ahead_s
        self._read()
        signal.signal(signal.SIGUSR1, lambda *_: self._read())

    def _read(self) -> None:
        numbers = self._file.read_text().split()
        self._suspended_s, self._ahead_s = map(float, numbers)


def relay_ip(ip: str) -> str:
    """Returns the address of the relay to an address."""
    first, second, rest = ip.split(".", 2)
    return f"{first}.{int(second) + 1}.{rest}"


def _add_defect(defect: str) -> None:
    """Adds a defect that the checks must see."""
    if defect == "starts_twice":
        run_lists.missing_runs = lambda lease, *_, **__: [
            run for run in lease.runs.values() if random.random() < 0.01
        ]
    elif defect == "refuses_after_running":
        leased_api._STATUS_CODES[model.JobEnd.COMPLETED] = 503
    elif defect == "answers_twice":
        respond = http_server._Connection._respond

        def respond_twice(connection, *arguments, **named) -> None:
            respond(connection, *arguments, **named)
            connection._transport.write(b"HTTP/1.1 200 OK\r\n\r\n")

        http_server._Connection._respond = respond_twice


if __name__ == "__main__":
    _Clocks(pathlib.Path(os.environ[CLOCK_FILE_VARIABLE]))
    _add_defect(os.environ[DEFECT_VARIABLE])
    socket.socket = _BoundSocket  # type: ignore[misc]
    sys.exit(platform_main.main())
