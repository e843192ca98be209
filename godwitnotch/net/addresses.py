"""Parses the addresses of servers, which others write: an IP address and a port."""

import ipaddress
import socket

import msgspec

MAX_PORT = 65_535


class SocketAddress(msgspec.Struct, frozen=True):
    """An IP address and port.

    Attributes:
        ip: The IP address, without brackets.
        port: The port, from 1 to MAX_PORT.
        family: Address family of a socket for it.
    """

    ip: str
    port: int
    family: socket.AddressFamily


def parse(text: str) -> SocketAddress:
    """Parses IP:PORT or [IP]:PORT.

    Names are no addresses: to resolve one would need a thread.

    Raises:
        ValueError: The text is no such address.
    """
    ip_text, separator, port_text = text.rpartition(":")
    if ip_text.startswith("[") and ip_text.endswith("]"):
        ip_text = ip_text[1:-1]
    digits = len(port_text) <= len(str(MAX_PORT)) and port_text.isascii()
    if not separator or not digits or not port_text.isdigit():
        raise ValueError("no port after the last colon")
    port = int(port_text)
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"port {port} is not from 1 to {MAX_PORT}")
    ip = ipaddress.ip_address(ip_text)
    family = socket.AF_INET6 if ip.version == 6 else socket.AF_INET
    return SocketAddress(str(ip), port, family)


def is_address(text: str) -> bool:
    """Returns whether a text is IP:PORT or [IP]:PORT."""
    try:
        parse(text)
    except ValueError:
        return False
    return True
