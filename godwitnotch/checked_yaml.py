"""Checks YAML documents against pydantic models, all problems at once."""

import difflib
import pathlib
import types
import typing
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from typing import TypeVar

import pydantic
import pydantic_core
import yaml
from pydantic import fields
from returns.result import Failure
from returns.result import Result
from returns.result import Success

Path = tuple[str | int, ...]

_MAX_SHOWN_CHARS = 60
_KEY_MARKER = "[key]"  # How pydantic marks a problem of a mapping's key itself.


class StrictDocument(pydantic.BaseModel):
    """Base of all checked documents: strict types, no unknown keys.

    Each field states what is allowed in its description and gives an example.
    """

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, strict=True, hide_input_in_errors=True
    )


Model = TypeVar("Model", bound=StrictDocument)


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem of a document.

    Attributes:
        source: Name of the file, or of the request that carried the document.
        line: Line in the file, from 1; None where there is no file.
        key: Path of the key, joined by dots; empty for the whole document.
        found: What was found there; never a secret.
        allowed: What is allowed there.
        remedy: What to do.
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


@dataclass(frozen=True, slots=True)
class InvalidDocument:
    """Every problem of a document, in the order of its lines."""

    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


def read_text(
    path: pathlib.Path,
) -> Result[str, InvalidDocument]:
    """Reads a file, or returns the problem of reading it."""
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


def check_text(
    text: str, model: type[Model], *, source: str
) -> Result[Model, InvalidDocument]:
    """Reads a YAML document and checks it against a model."""
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
    lines: dict[Path, int] = {}
    repeated = tuple(_index_lines(root, (), lines, source, set()))
    checked = check_value(data, model, source=source, lines=lines)
    if not repeated:
        return checked
    return Failure(
        checked.swap()
        .map(lambda invalid: _sorted_by_line(repeated + invalid.problems))
        .value_or(_sorted_by_line(repeated))
    )


def check_value(
    value: object,
    model: type[Model],
    *,
    source: str,
    lines: Mapping[Path, int] | None = None,
) -> Result[Model, InvalidDocument]:
    """Checks a value, already read, against a model."""
    try:
        return Success(model.model_validate(value))
    except pydantic.ValidationError as error:
        details = error.errors(include_url=False)
    problems = [_to_problem(model, detail, source, lines) for detail in details]
    return Failure(_sorted_by_line(problems))


def not_allowed_error(allowed: str) -> pydantic_core.PydanticCustomError:
    """Returns the error that a validator raises for a value not allowed."""
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
    path: Path,
    lines: dict[Path, int],
    source: str,
    visited: set[int],
) -> Iterator[Problem]:
    """Fills the line of each path, and yields a problem a repeated key."""
    lines.setdefault(path, node.start_mark.line + 1)
    if id(node) in visited:  # An alias may lead back to its own anchor.
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
        inner = (*path, str(key_node.value))
        line = key_node.start_mark.line + 1
        if inner in lines:
            yield _repeated_key(source, line, inner, lines[inner])
        lines[inner] = line
        yield from _index_lines(value_node, inner, lines, source, visited)


def _repeated_key(source: str, line: int, path: Path, first: int) -> Problem:
    return Problem(
        source,
        line,
        _join_path(path),
        f"the key again, first given in line {first}",
        "each key once",
        "remove one of the two",
    )


@dataclass(slots=True)
class _PathInfo:
    """What a model says about one path."""

    field: fields.FieldInfo | None
    siblings: tuple[str, ...]
    hidden: bool


def _to_problem(
    model: type[StrictDocument],
    detail: pydantic_core.ErrorDetails,
    source: str,
    lines: Mapping[Path, int] | None,
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
    source: str, line: int | None, path: Path, info: _PathInfo
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


def _find_line(path: Path, lines: Mapping[Path, int]) -> int:
    """Returns the line of a path, or of the nearest one around it."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)


def _join_path(path: Path) -> str:
    return ".".join(str(part) for part in path)


def _path_info(model: type[StrictDocument], path: Path) -> _PathInfo:
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
