"""Validates YAML documents against pydantic models, reporting all problems."""

import difflib
import pathlib
import types
import typing
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import TypeVar

import msgspec
import pydantic
import pydantic_core
import yaml
from pydantic import fields
from returns.result import Failure
from returns.result import Result
from returns.result import Success

KeyPath = tuple[str | int, ...]

_MAX_SHOWN_CHARS = 60
# pydantic appends this part to the location of a rejected key of a mapping.
_KEY_MARKER = "[key]"


class StrictDocument(pydantic.BaseModel):
    """Base class of documents: strict types, no unknown keys.

    The description of each field states the allowed values, and its examples
    hold one of them. A problem of the field shows both to the user.
    """

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, strict=True, hide_input_in_errors=True
    )


Model = TypeVar("Model", bound=StrictDocument)


class Problem(msgspec.Struct, frozen=True):
    """A problem of a document.

    Attributes:
        source: Name of the file, or of the request with the document.
        line: Line in the file, from 1; None if there is no file.
        key: Path of the key, joined by dots; empty for the whole document.
        found: Description of the value or key in the document; never a secret.
        allowed: Description of the allowed values or keys.
        remedy: How to solve the problem.
    """

    source: str
    line: int | None
    key: str
    found: str
    allowed: str
    remedy: str

    def __str__(self) -> str:
        location = (
            self.source if self.line is None else f"{self.source}:{self.line}"
        )
        key = self.key or "(document)"
        return (
            f"{location}: {key}: found {self.found}; "
            f"allowed: {self.allowed}; remedy: {self.remedy}"
        )


class InvalidDocument(msgspec.Struct, frozen=True):
    """All problems of a document, ordered by line."""

    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


def read_text(
    path: pathlib.Path,
) -> Result[str, InvalidDocument]:
    """Reads a UTF-8 file; returns the problem if it can't be read."""
    try:
        return Success(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(
            str(path),
            None,
            "",
            str(error),
            "a readable file in UTF-8",
            "check the path and its permissions",
        )
        return Failure(InvalidDocument((problem,)))


def validate_text(
    text: str, model: type[Model], *, source: str
) -> Result[Model, InvalidDocument]:
    """Parses a YAML document and validates it against a model."""
    try:
        loader = yaml.SafeLoader(text)
        root = loader.get_single_node()
        data = loader.construct_document(root) if root is not None else None
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        return Failure(
            _single_problem(source, line, str(error.problem), "valid YAML")
        )
    except (yaml.YAMLError, ValueError, TypeError, RecursionError) as error:
        found = str(error).splitlines()[0]
        return Failure(_single_problem(source, 1, found, "valid YAML"))
    if root is None:
        return Failure(_single_problem(source, 1, "nothing", "a YAML mapping"))
    lines: dict[KeyPath, int] = {}
    duplicates = tuple(_index_lines(root, (), lines, source, set()))
    validated = validate_value(data, model, source=source, lines=lines)
    if not duplicates:
        return validated
    return Failure(
        validated.swap()
        .map(lambda invalid: _sorted_by_line(duplicates + invalid.problems))
        .value_or(_sorted_by_line(duplicates))
    )


def validate_value(
    value: object,
    model: type[Model],
    *,
    source: str,
    lines: Mapping[KeyPath, int] | None = None,
) -> Result[Model, InvalidDocument]:
    """Validates a parsed document against a model.

    Args:
        value: The parsed document.
        model: Model to validate against.
        source: Name of the file or request, for the problems.
        lines: Line of each path in the file, if there is a file.
    """
    try:
        return Success(model.model_validate(value))
    except pydantic.ValidationError as error:
        details = error.errors(include_url=False)
    problems = [_to_problem(model, detail, source, lines) for detail in details]
    return Failure(_sorted_by_line(problems))


def not_allowed_error(allowed: str) -> pydantic_core.PydanticCustomError:
    """Returns the error that a validator raises for a disallowed value."""
    return pydantic_core.PydanticCustomError(
        "not_allowed", "{allowed}", {"allowed": allowed}
    )


def _single_problem(
    source: str, line: int, found: str, allowed: str
) -> InvalidDocument:
    problem = Problem(
        source, line, "", found, allowed, "correct this line and check again"
    )
    return InvalidDocument((problem,))


def _sorted_by_line(problems: Sequence[Problem]) -> InvalidDocument:
    return InvalidDocument(
        tuple(sorted(problems, key=lambda problem: problem.line or 0))
    )


def _index_lines(
    node: yaml.Node,
    path: KeyPath,
    lines: dict[KeyPath, int],
    source: str,
    visited: set[int],
) -> Iterator[Problem]:
    """Adds the line of each path to `lines`; yields each duplicate key.

    Args:
        node: Node to index, with all nodes below.
        path: Path of the node.
        lines: Line of each path, from 1.
        source: Name of the file, for the problems.
        visited: Values of `id` of the nodes that are already indexed.
    """
    lines.setdefault(path, node.start_mark.line + 1)
    if id(node) in visited:  # An alias can point to a node that contains it.
        return
    visited.add(id(node))
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            yield from _index_lines(
                item, (*path, index), lines, source, visited
            )
    if not isinstance(node, yaml.MappingNode):
        return
    for key_node, value_node in node.value:
        child_path = (*path, str(key_node.value))
        line = key_node.start_mark.line + 1
        if child_path in lines:
            yield _duplicate_key(source, line, child_path, lines[child_path])
        lines[child_path] = line
        yield from _index_lines(value_node, child_path, lines, source, visited)


def _duplicate_key(
    source: str, line: int, path: KeyPath, first: int
) -> Problem:
    return Problem(
        source,
        line,
        _join_path(path),
        f"a duplicate of the key in line {first}",
        "each key once",
        "remove one of the two",
    )


class _PathInfo(msgspec.Struct):
    """The part of a model's declaration that applies to one path.

    Attributes:
        field: The field at the path, if the model has one.
        siblings: Names of all fields of the innermost model on the path.
        hidden: Whether values at the path may be secret.
    """

    field: fields.FieldInfo | None
    siblings: tuple[str, ...]
    hidden: bool


def _to_problem(
    model: type[StrictDocument],
    detail: pydantic_core.ErrorDetails,
    source: str,
    lines: Mapping[KeyPath, int] | None,
) -> Problem:
    path = tuple(part for part in detail["loc"] if part != _KEY_MARKER)
    info = _path_info(model, path)
    line = _find_line(path, lines) if lines is not None else None
    if detail["type"] == "extra_forbidden":
        return _unknown_key(source, line, path, info)
    allowed = _allowed_text(detail, info)
    if detail["type"] == "missing":
        remedy = f"add the key{_example_text(info)}"
        return Problem(
            source, line, _join_path(path), "nothing", allowed, remedy
        )
    found = "a value (not shown)" if info.hidden else _shorten(detail["input"])
    remedy = f"give an allowed value{_example_text(info)}"
    return Problem(source, line, _join_path(path), found, allowed, remedy)


def _unknown_key(
    source: str, line: int | None, path: KeyPath, info: _PathInfo
) -> Problem:
    nearest = difflib.get_close_matches(str(path[-1]), info.siblings, n=1)
    remedy = f"write {nearest[0]!r}" if nearest else "remove it"
    return Problem(
        source,
        line,
        _join_path(path),
        "an unknown key",
        f"the keys {', '.join(info.siblings)}",
        remedy,
    )


def _allowed_text(detail: pydantic_core.ErrorDetails, info: _PathInfo) -> str:
    if detail["type"] == "not_allowed":
        return str(detail["msg"])
    if info.field is not None and info.field.description:
        return info.field.description
    return str(detail["msg"]).removeprefix("Input should be ")


def _example_text(info: _PathInfo) -> str:
    examples = info.field.examples if info.field is not None else None
    if not examples:
        return ""
    return f", for example {examples[0]!r}"


def _shorten(value: object) -> str:
    text = repr(value)
    if len(text) > _MAX_SHOWN_CHARS:
        return text[:_MAX_SHOWN_CHARS] + "..."
    return text


def _find_line(path: KeyPath, lines: Mapping[KeyPath, int]) -> int:
    """Returns the line of a path, or of its nearest known ancestor."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)


def _join_path(path: KeyPath) -> str:
    return ".".join(str(part) for part in path)


def _path_info(model: type[StrictDocument], path: KeyPath) -> _PathInfo:
    info = _PathInfo(None, (), False)
    annotation: Any = model
    for part in path:
        annotation = _without_none(annotation)
        if _is_model(annotation):
            known = annotation.model_fields
            info.siblings = tuple(known)
            info.field = known.get(str(part))
            if info.field is None:
                break
            info.hidden |= _is_hidden(info.field)
            annotation = info.field.annotation
        else:
            arguments = typing.get_args(annotation)
            annotation = arguments[-1] if arguments else None
    return info


def _without_none(annotation: Any) -> Any:
    if typing.get_origin(annotation) not in (typing.Union, types.UnionType):
        return annotation
    return next(
        argument
        for argument in typing.get_args(annotation)
        if argument is not type(None)
    )


def _is_model(annotation: Any) -> bool:
    return isinstance(annotation, type) and issubclass(
        annotation, pydantic.BaseModel
    )


def _is_hidden(field: fields.FieldInfo) -> bool:
    extra = field.json_schema_extra
    return isinstance(extra, dict) and bool(extra.get("hidden"))
