"""Reads typed fields of decoded JSON; each error names the field."""

import json
from typing import Any

from godwitnotch.net import addresses

# Larger integers can't all be converted to floating-point numbers.
MAX_INTEGER = 2**63 - 1


class WrongFormatError(Exception):
    """Data doesn't have the format that the platform documents."""


def parse_object(data: bytes) -> dict[str, Any]:
    """Decodes a JSON object.

    Raises:
        WrongFormatError: The data isn't JSON, or isn't an object.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise WrongFormatError(f"no JSON ({error}); ask its writer") from error
    if not isinstance(value, dict):
        raise WrongFormatError("no JSON object; ask its writer")
    return value


def is_unicode(value: str) -> bool:
    """Returns whether a text can be encoded; JSON may have lone surrogates.

    Neither a message to a peer nor the log can carry other texts.
    """
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def text(fields: dict[str, Any], name: str, default: str | None = None) -> str:
    """Returns a text field.

    Raises:
        WrongFormatError: The field is absent without a default, or not Unicode
            text.
    """
    value = fields.get(name, default)
    if isinstance(value, str) and is_unicode(value):
        return value
    raise _wrong_type(name, "Unicode text", value)


def integer(
    fields: dict[str, Any], name: str, default: int | None = None
) -> int:
    """Returns an integer field that is at least 0.

    Raises:
        WrongFormatError: The field is absent without a default, not an
            integer, negative, or above MAX_INTEGER.
    """
    value = fields.get(name, default)
    if type(value) is int and 0 <= value <= MAX_INTEGER:
        return value
    raise _wrong_type(name, "a whole number", value)


def number(
    fields: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Returns a finite number field that is at least 0.

    Raises:
        WrongFormatError: The field is absent without a default, not a number,
            negative, not finite, or an integer above MAX_INTEGER.
    """
    value = fields.get(name, default)
    if type(value) is int and 0 <= value <= MAX_INTEGER:
        return float(value)
    if type(value) is float and 0 <= value < float("inf"):
        return value
    raise _wrong_type(name, "a number", value)


def flag(fields: dict[str, Any], name: str) -> bool:
    """Returns a boolean field; False if it is absent.

    Raises:
        WrongFormatError: The field is not a boolean.
    """
    value = fields.get(name, False)
    if isinstance(value, bool):
        return value
    raise _wrong_type(name, "true or false", value)


def array(fields: dict[str, Any], name: str) -> list[Any]:
    """Returns an array field; empty if it is absent.

    Raises:
        WrongFormatError: The field is not an array.
    """
    value = fields.get(name, [])
    if isinstance(value, list):
        return value
    raise _wrong_type(name, "a list", value)


def mapping(fields: dict[str, Any], name: str) -> dict[str, Any]:
    """Returns an object field as a dict; empty if it is absent.

    Raises:
        WrongFormatError: The field is not an object.
    """
    value = fields.get(name, {})
    if isinstance(value, dict):
        return value
    raise _wrong_type(name, "an object", value)


def address(fields: dict[str, Any], name: str) -> str:
    """Returns a text field that holds an IP address and port.

    Raises:
        WrongFormatError: The field is absent or no such address.
    """
    value = text(fields, name)
    try:
        addresses.parse(value)
    except ValueError as error:
        raise WrongFormatError(
            f"{name} is no IP address and port ({error}); ask its writer"
        ) from error
    return value


def _wrong_type(name: str, wanted: str, value: object) -> WrongFormatError:
    return WrongFormatError(
        f"{name} is {type(value).__name__}, not {wanted}; ask its writer"
    )
