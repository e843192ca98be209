"""Decodes the rows by which operators evacuate failure domains.

The row `evacuate/ZONE` in the operators' table evacuates a failure domain, which
the platform calls a zone, until the row is removed.
"""

import msgspec

from godwitnotch.core import ids
from godwitnotch.platform import fields

KEY_PREFIX = "evacuate/"
# Longer keys are errors: the set of domains has to fit into a peer message.
MAX_DOMAIN_CHARS = 128


class EvacuationRow(msgspec.Struct, frozen=True):
    """A row that evacuates a failure domain.

    Attributes:
        domain: The failure domain; None if the key names none.
        problem: Why the row is malformed, with the remedy; empty if it isn't. A
            malformed row counts if its key names a domain.
    """

    domain: ids.DomainId | None
    problem: str = ""


def is_evacuation(key: str) -> bool:
    """Returns whether a key is that of an evacuation."""
    return key.startswith(KEY_PREFIX)


def decode_row(key: str, value: bytes) -> EvacuationRow:
    """Decodes a row whose key is that of an evacuation."""
    name = key.removeprefix(KEY_PREFIX)
    if not name or len(name) > MAX_DOMAIN_CHARS or not fields.is_unicode(name):
        return EvacuationRow(
            None,
            "the key names no failure domain; remove the row and write "
            f"{KEY_PREFIX}ZONE",
        )
    try:
        fields.parse_object(value)
    except fields.WrongFormatError as error:
        return EvacuationRow(
            ids.DomainId(name),
            f"{error}; the domain counts as evacuated; write the value {{}}, "
            "or remove the row",
        )
    return EvacuationRow(ids.DomainId(name))
