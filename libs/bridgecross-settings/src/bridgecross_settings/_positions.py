"""JSON with comments to plain values, with the line of every path."""

from typing import Any
from typing import NamedTuple

from json5 import model
from json5 import parser
from json5 import utils

from bridgecross_core import findings

Path = tuple[str, ...]
"""The way from the root to a value: field names and list indices."""


class Located(NamedTuple):
    """A document with the place of each of its values."""

    document: Any
    lines: dict[Path, int]
    repeated: list[Path]


class NotJsonError(ValueError):
    """The text is not JSON with comments."""

    def __init__(self, finding: findings.Finding) -> None:
        """Keeps the one finding that ends the reading."""
        self.finding = finding
        super().__init__(str(finding))


def render_path(path: Path) -> str:
    """Returns a path as text, with dots between its parts."""
    return ".".join(path)


def read_located(text: str, source: str) -> Located:
    """Reads JSON with comments.

    Args:
        text: The document's text.
        source: Where the text comes from, for the finding.

    Raises:
        NotJsonError: The text cannot be parsed; it names line and column.
    """
    try:
        root = parser.parse_source(text).value
    except utils.JSON5DecodeError as error:
        raise NotJsonError(_describe_syntax_error(error, source)) from error
    located = Located(None, {(): 1}, [])
    document = _convert(root, (), located)
    return located._replace(document=document)


def _describe_syntax_error(
    error: utils.JSON5DecodeError, source: str
) -> findings.Finding:
    """Returns the finding for a text that cannot be parsed."""
    line = getattr(error, "lineno", 0) or 0
    problem = str(error).splitlines()[0]
    return findings.Finding(
        findings.Place(source, line), f"not JSON with comments: {problem}"
    )


def _convert(node: Any, path: Path, located: Located) -> Any:
    """Returns the plain value of a node and notes the lines below it."""
    if isinstance(node, model.JSONObject):
        return _convert_object(node, path, located)
    if isinstance(node, model.JSONArray):
        return _convert_array(node, path, located)
    return _convert_scalar(node)


def _convert_object(
    node: model.JSONObject, path: Path, located: Located
) -> dict[str, Any]:
    """Returns an object; a repeated field is noted and the last one kept."""
    result: dict[str, Any] = {}
    for pair in node.key_value_pairs:
        name = str(_convert_scalar(pair.key))
        child = (*path, name)
        if name in result:
            located.repeated.append(child)
        located.lines[child] = pair.key.lineno or 0
        result[name] = _convert(pair.value, child, located)
    return result


def _convert_array(
    node: model.JSONArray, path: Path, located: Located
) -> list[Any]:
    """Returns a list."""
    result = []
    for index, value in enumerate(node.values):
        child = (*path, str(index))
        located.lines[child] = value.lineno or 0
        result.append(_convert(value, child, located))
    return result


def _convert_scalar(node: Any) -> Any:
    """Returns a string, number, boolean or null."""
    match node:
        case model.String() as text:
            return text.characters
        case model.Identifier() as name:
            return name.name
        case model.Integer() | model.Float() as number:
            return number.value
        case model.BooleanLiteral() as truth:
            return truth.value
        case model.NullLiteral():
            return None
        case model.UnaryOp(op=sign, value=number):
            value = _convert_scalar(number)
            return -value if sign == "-" else value
    raise TypeError(f"unexpected JSON node {type(node).__name__}")
