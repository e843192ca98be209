"""Encodes typed messages as CBOR and decodes them with strict checks.

A message is the array `[version, kind, [field, ...]]`, with the fields in the
order of the struct. Nested structs are encoded as arrays of their fields, sets
as sorted arrays, and enum members as their values. Any change of a message
requires a new protocol version.
"""

import enum
import io
import math
import re
import types
import typing
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from operator import attrgetter
from typing import Any
from typing import Generic
from typing import TypeVar

import cbor2
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from godwitnotch.core import messages

_MESSAGE_ITEM_COUNT = 3
_MAX_DETAIL_CHARS = 120
_MAX_NESTING_DEPTH = 16
_MAX_FLOAT_INTEGER = 2**64

_T = TypeVar("_T", bound=msgspec.Struct)
_Converter = Callable[[Any], Any]


class CodecProblem(enum.Enum):
    """Why received bytes were rejected."""

    NOT_CBOR = "not_cbor"
    NOT_A_MESSAGE = "not_a_message"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_KIND = "unknown_kind"
    WRONG_FIELDS = "wrong_fields"


class CodecError(msgspec.Struct, frozen=True):
    """Why received bytes were rejected, with details."""

    problem: CodecProblem
    detail: str

    def __str__(self) -> str:
        return (
            f"peer message rejected: {self.problem.value}: {self.detail}; "
            "run the same release on all hosts"
        )


class Codec(Generic[_T]):
    """Encodes and decodes a fixed set of message classes.

    Args:
        kinds: The message classes, without the classes of nested fields.
        version: Protocol version of encoded messages; messages of other
            versions are rejected.
    """

    def __init__(self, kinds: Sequence[type[_T]], *, version: int) -> None:
        self._version = version
        self._names = {kind: _kind_name(kind) for kind in kinds}
        self._kinds = {name: kind for kind, name in self._names.items()}
        # Made when a kind is first sent or received: most kinds never are in
        # the first seconds of a process, in which callers wait for it.
        self._encoders: dict[type[_T], tuple[str, _Converter]] = {}
        self._decoders: dict[str, _Converter] = {}

    def encode(self, message: _T) -> bytes:
        """Returns the encoded message."""
        kind = type(message)
        encoder = self._encoders.get(kind)
        if encoder is None:
            encoder = (self._names[kind], _struct_encoder(kind))
            self._encoders[kind] = encoder
        name, convert = encoder
        return cbor2.dumps((self._version, name, convert(message)))

    def decode(self, data: bytes) -> Result[_T, CodecError]:
        """Returns the message or why it was rejected; never raises."""
        try:
            items = _decode_cbor(data)
        except Exception as error:  # cbor2 raises many types on invalid bytes.
            return _failure(CodecProblem.NOT_CBOR, repr(error))
        if not isinstance(items, list) or len(items) != _MESSAGE_ITEM_COUNT:
            return _failure(
                CodecProblem.NOT_A_MESSAGE, "not [version, kind, fields]"
            )
        version, name, values = items
        if type(version) is not int or version != self._version:
            return _failure(CodecProblem.UNKNOWN_VERSION, repr(version))
        decoder = self._decoder_of(name) if isinstance(name, str) else None
        if decoder is None:
            return _failure(CodecProblem.UNKNOWN_KIND, repr(name))
        try:
            return Success(decoder(values))
        except _WrongFieldsError as error:
            return _failure(CodecProblem.WRONG_FIELDS, f"{name}: {error}")

    def _decoder_of(self, name: str) -> _Converter | None:
        """Returns the decoder of a kind, None if there is no such kind."""
        decoder = self._decoders.get(name)
        if decoder is None and name in self._kinds:
            decoder = _struct_decoder(self._kinds[name])
            self._decoders[name] = decoder
        return decoder


def _decode_cbor(data: bytes) -> Any:
    stream = io.BytesIO(data)
    decoder = cbor2.CBORDecoder(
        stream,
        max_depth=_MAX_NESTING_DEPTH,
        allow_indefinite=False,
        allow_duplicate_keys=False,
        strict_hashable_types=True,
    )
    value = decoder.decode()
    if stream.tell() != len(data):
        raise ValueError("bytes after the message")
    return value


class _WrongFieldsError(Exception):
    """Raised when a value does not have the type of its field."""


def _failure(problem: CodecProblem, detail: str) -> Failure[CodecError]:
    return Failure(CodecError(problem, detail[:_MAX_DETAIL_CHARS]))


def _kind_name(kind: type) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", kind.__name__).lower()


def _struct_encoder(kind: type[msgspec.Struct]) -> _Converter:
    hints = typing.get_type_hints(kind)
    names = kind.__struct_fields__
    converters = [_encoder(hints[name]) for name in names]
    if not names:
        return lambda _: ()
    if len(names) == 1:
        return _single_encoder(attrgetter(names[0]), converters[0])
    getter = attrgetter(*names)
    field_converters = [
        (index, converter)
        for index, converter in enumerate(converters)
        if converter is not None
    ]
    if not field_converters:
        return getter

    def encode(value: Any) -> list[Any]:
        values = list(getter(value))
        for index, converter in field_converters:
            values[index] = converter(values[index])
        return values

    return encode


def _single_encoder(
    getter: Callable[[Any], Any], converter: _Converter | None
) -> _Converter:
    if converter is None:
        return lambda value: (getter(value),)
    return lambda value: (converter(getter(value)),)


def _encoder(hint: Any) -> _Converter | None:
    """Returns the converter of a type, or None if no conversion is needed."""
    hint = _resolve_new_type(hint)
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return _optional_encoder(_encoder(_optional_type(hint)))
    if origin is tuple:
        return _sequence_encoder(_encoder(typing.get_args(hint)[0]))
    if origin is frozenset:
        return sorted
    if origin is Mapping:
        return _mapping_encoder(_encoder(typing.get_args(hint)[1]))
    if _is_struct(hint):
        return _struct_encoder(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return attrgetter("value")
    return None


def _optional_encoder(converter: _Converter | None) -> _Converter | None:
    if converter is None:
        return None
    return lambda value: None if value is None else converter(value)


def _sequence_encoder(converter: _Converter | None) -> _Converter | None:
    if converter is None:
        return None
    return lambda value: [converter(item) for item in value]


def _mapping_encoder(converter: _Converter | None) -> _Converter:
    if converter is None:
        return dict
    return lambda value: {key: converter(item) for key, item in value.items()}


def _struct_decoder(kind: type[msgspec.Struct]) -> _Converter:
    hints = typing.get_type_hints(kind)
    names = kind.__struct_fields__
    decoders = [_decoder(hints[name]) for name in names]
    count = len(names)

    def decode(values: Any) -> Any:
        if type(values) is not list or len(values) != count:
            raise _WrongFieldsError(f"{kind.__name__} takes {count} fields")
        return kind(
            *[
                decoder(value)
                for decoder, value in zip(decoders, values, strict=True)
            ]
        )

    return decode


def _decoder(hint: Any) -> _Converter:
    hint = _resolve_new_type(hint)
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return _optional_decoder(_decoder(_optional_type(hint)))
    if origin is tuple:
        return _sequence_decoder(tuple, _decoder(typing.get_args(hint)[0]))
    if origin is frozenset:
        return _sequence_decoder(frozenset, _decoder(typing.get_args(hint)[0]))
    if origin is Mapping:
        key_type, value_type = typing.get_args(hint)
        return _mapping_decoder(_decoder(key_type), _decoder(value_type))
    if _is_struct(hint):
        return _struct_decoder(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _enum_decoder(hint)
    return _SCALAR_DECODERS[hint]


def _optional_decoder(decoder: _Converter) -> _Converter:
    return lambda value: None if value is None else decoder(value)


def _sequence_decoder(
    container: Callable[[Any], Any], decoder: _Converter
) -> _Converter:
    def decode(value: Any) -> Any:
        if type(value) is not list:
            raise _wrong_type("array", value)
        return container(decoder(item) for item in value)

    return decode


def _mapping_decoder(
    key_decoder: _Converter, item_decoder: _Converter
) -> _Converter:
    def decode(value: Any) -> dict[Any, Any]:
        if type(value) is not dict:
            raise _wrong_type("map", value)
        return {
            key_decoder(key): item_decoder(item) for key, item in value.items()
        }

    return decode


def _enum_decoder(kind: type[enum.Enum]) -> _Converter:
    members = {member.value: member for member in kind}

    def decode(value: Any) -> enum.Enum:
        if type(value) is str and value in members:
            return members[value]
        raise _wrong_type(kind.__name__, value)

    return decode


def _exact_decoder(kind: type) -> _Converter:
    def decode(value: Any) -> Any:
        if type(value) is kind:
            return value
        raise _wrong_type(kind.__name__, value)

    return decode


def _decode_float(value: Any) -> float:
    # A larger integer may not fit into a float.
    if type(value) is int and abs(value) < _MAX_FLOAT_INTEGER:
        return float(value)
    if type(value) is float and math.isfinite(value):
        return value
    raise _wrong_type("finite number", value)


_SCALAR_DECODERS: dict[Any, _Converter] = {
    str: _exact_decoder(str),
    bytes: _exact_decoder(bytes),
    int: _exact_decoder(int),
    bool: _exact_decoder(bool),
    float: _decode_float,
}


def _is_struct(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, msgspec.Struct)


def _wrong_type(expected: str, value: Any) -> _WrongFieldsError:
    return _WrongFieldsError(
        f"{expected} expected, {type(value).__name__} found"
    )


def _resolve_new_type(hint: Any) -> Any:
    """Returns the type that a NewType is based on."""
    while isinstance(hint, typing.NewType):
        hint = hint.__supertype__
    return hint


def _optional_type(hint: Any) -> Any:
    members = [
        part for part in typing.get_args(hint) if part is not types.NoneType
    ]
    if len(members) != 1:
        raise TypeError(f"a field may be optional but not a union: {hint}")
    return members[0]


MESSAGES: Codec[messages.LinkMessage] = Codec(
    typing.get_args(messages.LinkMessage), version=messages.PROTOCOL_VERSION
)
