"""Parses JSON with comments into plain values and their line numbers."""

from typing import Any
from typing import NamedTuple

from json5 import model
from json5 import parser
from json5 import utils

from bridgecross_core import findings

Path = tuple[str, ...]
"""The field names and list indices from the root to a value."""


class ParsedDocument(NamedTuple):
    """A parsed document.

    ``lines`` are the line numbers of its values by path, and ``duplicates`` are
    the paths of fields that occur more than once in their object.
    """

    document: Any
    lines: dict[Path, int]
    duplicates: list[Path]


class JsonSyntaxError(ValueError):
    """The text is not JSON with comments."""

    def __init__(self, finding: findings.Finding) -> None:
        """Stores the finding that describes the syntax error."""
        self.finding = finding
        super().__init__(str(finding))


def render_path(path: Path) -> str:
    """Returns a path as text, with dots between its parts."""
    return ".".join(path)


def parse(text: str, source: str) -> ParsedDocument:
    """Parses JSON with comments.

    Args:
        text: The document's text.
        source: The origin of the text, used in the finding.

    Raises:
        JsonSyntaxError: The text cannot be parsed; the message contains the
            line and column.
    """
    try:
        root = parser.parse_source(text).value
    except utils.JSON5DecodeError as error:
        raise JsonSyntaxError(_describe_syntax_error(error, source)) from error
    parsed = ParsedDocument(None, {(): 1}, [])
    document = _convert(root, (), parsed)
    return parsed._replace(document=document)


def _describe_syntax_error(
    error: utils.JSON5DecodeError, source: str
) -> findings.Finding:
    """Returns the finding for a text that cannot be parsed."""
    line = getattr(error, "lineno", 0) or 0
    problem = str(error).splitlines()[0]
    return findings.Finding(
        findings.Place(source, line), f"not JSON with comments: {problem}"
    )


def _convert(node: Any, path: Path, parsed: ParsedDocument) -> Any:
    """Returns the plain value of a node; stores the lines of its children."""
    if isinstance(node, model.JSONObject):
        return _convert_object(node, path, parsed)
    if isinstance(node, model.JSONArray):
        return _convert_array(node, path, parsed)
    return _convert_scalar(node)


def _convert_object(
    node: model.JSONObject, path: Path, parsed: ParsedDocument
) -> dict[str, Any]:
    """Returns a plain object; of duplicate fields, the last one is kept."""
    result: dict[str, Any] = {}
    for pair in node.key_value_pairs:
        name = str(_convert_scalar(pair.key))
        child = (*path, name)
        if name in result:
            parsed.duplicates.append(child)
        parsed.lines[child] = pair.key.lineno or 0
        result[name] = _convert(pair.value, child, parsed)
    return result


def _convert_array(
    node: model.JSONArray, path: Path, parsed: ParsedDocument
) -> list[Any]:
    """Returns the plain list of an array node."""
    result = []
    for index, value in enumerate(node.values):
        child = (*path, str(index))
        parsed.lines[child] = value.lineno or 0
        result.append(_convert(value, child, parsed))
    return result


def _convert_scalar(node: Any) -> Any:
    """Returns the string, number, boolean or null of a scalar node."""
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
