"""Typed access to decoded JSON; every problem names the field."""

import json
from typing import Any


class WrongFormatError(Exception):
    """Bytes or fields that don't have the form of the platform's pages."""


def parse_object(data: bytes) -> dict[str, Any]:
    """Returns the object that bytes hold.

    Raises:
        WrongFormatError: They hold none.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise WrongFormatError(f"no JSON ({error}); ask its writer") from error
    if not isinstance(value, dict):
        raise WrongFormatError("no JSON object; ask its writer")
    return value


def text(fields: dict[str, Any], name: str, default: str | None = None) -> str:
    """Returns a field that holds text."""
    value = fields.get(name, default)
    if isinstance(value, str):
        return value
    raise _wrong_type(name, "text", value)


def integer(
    fields: dict[str, Any], name: str, default: int | None = None
) -> int:
    """Returns a field that holds a whole number of 0 or more."""
    value = fields.get(name, default)
    if type(value) is int and value >= 0:
        return value
    raise _wrong_type(name, "a whole number", value)


def number(
    fields: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Returns a field that holds a number of 0 or more."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _wrong_type(name, "a number", value)
    if 0 <= value < float("inf"):
        return float(value)
    raise _wrong_type(name, "a number", value)


def flag(fields: dict[str, Any], name: str) -> bool:
    """Returns a field that is true or false; false if it is absent."""
    value = fields.get(name, False)
    if isinstance(value, bool):
        return value
    raise _wrong_type(name, "true or false", value)


def array(fields: dict[str, Any], name: str) -> list[Any]:
    """Returns a field that holds a list; empty if it is absent."""
    value = fields.get(name, [])
    if isinstance(value, list):
        return value
    raise _wrong_type(name, "a list", value)


def mapping(fields: dict[str, Any], name: str) -> dict[str, Any]:
    """Returns a field that holds an object; empty if it is absent."""
    value = fields.get(name, {})
    if isinstance(value, dict):
        return value
    raise _wrong_type(name, "an object", value)


def _wrong_type(name: str, wanted: str, value: object) -> WrongFormatError:
    return WrongFormatError(
        f"{name} is {type(value).__name__}, not {wanted}; ask its writer"
    )
