"""Runs a host whose connections come from its own loopback address.

The upstreams' records then name the host that sent an order. With relays, the
host dials each address 127.A.B.C as 127.(A+1).B.C, where a relay listens.
"""

import os
import socket
import sys

from godwitnotch.platform import __main__ as platform_main

IP_VARIABLE = "SOAK_HOST_IP"
RELAY_VARIABLE = "SOAK_RELAYED"
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


def relay_ip(ip: str) -> str:
    """Returns the address of the relay to an address."""
    first, second, rest = ip.split(".", 2)
    return f"{first}.{int(second) + 1}.{rest}"


if __name__ == "__main__":
    socket.socket = _BoundSocket  # type: ignore[misc]
    sys.exit(platform_main.main())
