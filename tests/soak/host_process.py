"""Runs a host whose connections come from its own loopback address.

The upstreams' records then name the host that sent an order. With relays, the
host dials each address 127.A.B.C as 127.(A+1).B.C, where a relay listens.
"""

import os
import pathlib
import signal
import socket
import sys
import time

from godwitnotch.platform import __main__ as platform_main

IP_VARIABLE = "SOAK_HOST_IP"
RELAY_VARIABLE = "SOAK_RELAYED"
CLOCK_FILE_VARIABLE = "SOAK_CLOCK_FILE"
_IP_BIND_ADDRESS_NO_PORT = 24


class _BoundSocket(socket.socket):
    """A socket that connects from the host's own address."""

    def connect(self, address: tuple[str, int]) -> None:
        """Binds to the host's address, then connects."""
        if self.family == socket.AF_INET:
            with_no_port = (socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
            self.setsockopt(*with_no_port)
            if self.getsockname()[0] == "0.0.0.0":
                self.bind((os.environ[IP_VARIABLE], 0))
            if os.environ.get(RELAY_VARIABLE):
                address = (relay_ip(address[0]), address[1])
        super().connect(address)


class _Clocks:
    """The clocks of a host, as a file says on SIGUSR1.

    The file holds the seconds that the steady clock has not counted, and the
    seconds that the time of day is ahead.
    """

    def __init__(self, file: pathlib.Path) -> None:
        self._file = file
        self._monotonic, self._time = time.monotonic, time.time
        self._suspended_s = self._ahead_s = 0.0
        self.read()
        time.monotonic = lambda: self._monotonic() - self._suspended_s
        time.time = lambda: self._time() + self._ahead_s
        signal.signal(signal.SIGUSR1, lambda *_: self.read())

    def read(self) -> None:
        """Reads the file."""
        if self._file.exists():
            numbers = self._file.read_text().split()
            self._suspended_s, self._ahead_s = map(float, numbers)


def relay_ip(ip: str) -> str:
    """Returns the address of the relay to an address."""
    first, second, rest = ip.split(".", 2)
    return f"{first}.{int(second) + 1}.{rest}"


if __name__ == "__main__":
    _Clocks(pathlib.Path(os.environ[CLOCK_FILE_VARIABLE]))
    socket.socket = _BoundSocket  # type: ignore[misc]
    sys.exit(platform_main.main())
