"""Sockets that wait for connections."""

import socket

BACKLOG = 1_024  # Connections that wait to be accepted.


def bind(ip: str, port: int) -> socket.socket:
    """Returns a listening socket; port 0 selects any free port.

    Raises:
        OSError: The address can't be bound.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    return socket.create_server((ip, port), family=family, backlog=BACKLOG)


def bind_address(address: str) -> socket.socket:
    """Returns a listening socket at an address of the form IP:PORT.

    Raises:
        OSError: The address can't be bound.
    """
    ip, _, port = address.rpartition(":")
    return bind(ip, int(port))
