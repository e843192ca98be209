"""Encodes and decodes the rows under which hosts find each other."""

import json

from godwitnotch.core import ids
from godwitnotch.core.leased import model
from godwitnotch.net import addresses
from godwitnotch.platform import fields

_DOMAIN_FIELD = "domain"


def encode_host(host: model.KnownHost) -> bytes:
    """Returns the value of a host's row; its key is the id of the host."""
    return json.dumps({_DOMAIN_FIELD: host.domain}).encode()


def decode_host(key: str, value: bytes) -> model.KnownHost:
    """Decodes the row of a host.

    Raises:
        WrongFormatError: The key is no address, or the value is malformed.
    """
    if not addresses.is_address(key):
        raise fields.WrongFormatError(
            "the key is no IP address and port; remove the row"
        )
    domain = fields.text(fields.parse_object(value), _DOMAIN_FIELD)
    return model.KnownHost(ids.HostId(key), ids.DomainId(domain))
