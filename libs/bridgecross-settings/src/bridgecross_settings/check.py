"""Parses and validates settings, and reports all findings together."""

from collections.abc import Iterator
import difflib
import functools
from typing import Any
from typing import TypeVar

import jsonschema
import msgspec

from bridgecross_core import findings
from bridgecross_settings import _positions
from bridgecross_settings import _schema
from bridgecross_settings import tree

T = TypeVar("T")


def check_text(text: str, source: str) -> tree.House:
    """Parses and validates the settings of a house.

    Args:
        text: JSON with comments.
        source: The file's name, used in findings.

    Returns:
        A view of the document.

    Raises:
        findings.FindingsError: The document is invalid; contains every problem
            with its line.
    """
    parsed = _parse(text, source)
    found = _list_duplicates(parsed, source)
    found.extend(_list_document_findings(parsed, source))
    if found:
        raise findings.FindingsError(_sort_by_position(found))
    return tree.House(parsed.document)


def check_document(document: Any, source: str) -> tree.House:
    """Validates a parsed document without line numbers, such as a record's.

    Raises:
        findings.FindingsError: The document is invalid; contains every problem
            with its path.
    """
    parsed = _positions.ParsedDocument(document, {}, [])
    found = list(_list_document_findings(parsed, source))
    if found:
        raise findings.FindingsError(_sort_by_position(found))
    return tree.House(document)


def check_dataclass(text: str, source: str, value_type: type[T]) -> T:
    """Parses a flat document and validates it against a dataclass.

    Args:
        text: JSON with comments.
        source: The file's name, used in findings.
        value_type: The dataclass; its ``msgspec.Meta`` annotations define the
            ranges.

    Raises:
        findings.FindingsError: The document is invalid; contains every problem
            with its line.
    """
    parsed = _parse(text, source)
    validator = jsonschema.Draft202012Validator(
        _schema.build_dataclass_schema(value_type)
    )
    found = _list_duplicates(parsed, source)
    for error in validator.iter_errors(parsed.document):
        found.extend(_convert_schema_error(error, parsed, source))
    if found:
        raise findings.FindingsError(_sort_by_position(found))
    return msgspec.convert(parsed.document, value_type)


def _parse(text: str, source: str) -> _positions.ParsedDocument:
    """Parses JSON with comments; a syntax error is raised as a finding."""
    try:
        return _positions.parse(text, source)
    except _positions.JsonSyntaxError as error:
        raise findings.FindingsError([error.finding]) from error


def _list_duplicates(
    parsed: _positions.ParsedDocument, source: str
) -> list[findings.Finding]:
    """Returns a finding for each duplicate field."""
    return [
        _make_finding(parsed, source, path, "the field appears twice", "")
        for path in parsed.duplicates
    ]


@functools.cache
def _validator() -> jsonschema.Draft202012Validator:
    """Returns the validator of house documents."""
    return jsonschema.Draft202012Validator(_schema.build_house_schema())


def _list_document_findings(
    parsed: _positions.ParsedDocument, source: str
) -> Iterator[findings.Finding]:
    """Yields a finding for each problem except duplicate fields."""
    has_schema_errors = False
    for error in _validator().iter_errors(parsed.document):
        has_schema_errors = True
        yield from _convert_schema_error(error, parsed, source)
    if not has_schema_errors or isinstance(parsed.document, dict):
        yield from _list_reference_findings(parsed, source)


def _convert_schema_error(
    error: jsonschema.ValidationError,
    parsed: _positions.ParsedDocument,
    source: str,
) -> Iterator[findings.Finding]:
    """Yields the findings for one schema error."""
    path = tuple(str(part) for part in error.absolute_path)
    if error.validator == "additionalProperties":
        schema: Any = error.schema
        known = list(schema["properties"])
        instance: Any = error.instance
        for name in instance:
            if name not in known:
                yield _make_unknown_field_finding(
                    parsed, source, (*path, name), known
                )
        return
    hint = ""
    problem = error.message
    if error.validator == "pattern":
        hint = f"must match {error.validator_value}"
        problem = f"{error.instance!r} is not well formed"
    yield _make_finding(parsed, source, path, problem, hint)


def _make_unknown_field_finding(
    parsed: _positions.ParsedDocument,
    source: str,
    path: _positions.Path,
    known: list[str],
) -> findings.Finding:
    """Returns a finding for an unknown field, with the closest known name."""
    name = path[-1]
    close = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    hint = f"did you mean {close[0]}?" if close else ""
    problem = f"unknown field {name!r} at this level"
    return _make_finding(parsed, source, path, problem, hint)


def _list_reference_findings(
    parsed: _positions.ParsedDocument, source: str
) -> Iterator[findings.Finding]:
    """Yields a finding for each tier of a caller that does not exist.

    Credentials that several callers share are reported as well.
    """
    document = parsed.document
    tiers = _collect_tiers(document)
    for caller, node in _items(document.get("callers")):
        tiers_by_service = node.get("tiers") if isinstance(node, dict) else None
        for service, tier in _items(tiers_by_service):
            path = ("callers", caller, "tiers", service)
            if service not in tiers:
                hint = f"known: {', '.join(sorted(tiers)) or 'none'}"
                problem = f"no service {service!r}"
                yield _make_finding(parsed, source, path, problem, hint)
            elif tier not in tiers[service]:
                hint = f"known: {', '.join(sorted(tiers[service])) or 'none'}"
                problem = f"service {service!r} has no tier {tier!r}"
                yield _make_finding(parsed, source, path, problem, hint)
    yield from _list_shared_credentials(parsed, source)


def _list_shared_credentials(
    parsed: _positions.ParsedDocument, source: str
) -> Iterator[findings.Finding]:
    """Yields a finding for each credential that an earlier caller also has."""
    caller_by_digest: dict[str, str] = {}
    for caller, node in _items(parsed.document.get("callers")):
        digest = node.get("credential_sha256") if isinstance(node, dict) else 0
        if not isinstance(digest, str):
            continue
        if digest in caller_by_digest:
            path = ("callers", caller, "credential_sha256")
            problem = (
                f"the credential is also that of {caller_by_digest[digest]!r}"
            )
            yield _make_finding(parsed, source, path, problem, "")
        caller_by_digest.setdefault(digest, caller)


def _collect_tiers(document: dict[str, Any]) -> dict[str, set[str]]:
    """Returns the tiers by ``place/service``; malformed nodes are skipped."""
    tiers: dict[str, set[str]] = {}
    for place, place_node in _items(document.get("places")):
        services = (
            place_node.get("services") if isinstance(place_node, dict) else None
        )
        for service, node in _items(services):
            names = node.get("tiers") if isinstance(node, dict) else None
            tiers[f"{place}/{service}"] = {name for name, _ in _items(names)}
    return tiers


def _items(node: Any) -> list[tuple[str, Any]]:
    """Returns the fields of an object, or an empty list for other types."""
    return list(node.items()) if isinstance(node, dict) else []


def _make_finding(
    parsed: _positions.ParsedDocument,
    source: str,
    path: _positions.Path,
    problem: str,
    hint: str,
) -> findings.Finding:
    """Returns a finding with the line of its path or its closest ancestor."""
    line = 0
    for depth in range(len(path), -1, -1):
        line = parsed.lines.get(path[:depth], 0)
        if line:
            break
    place = findings.Place(source, line, _positions.render_path(path))
    return findings.Finding(place, problem, hint)


def _sort_by_position(found: list[findings.Finding]) -> list[findings.Finding]:
    """Returns the findings in the order of their positions."""
    return sorted(found, key=lambda f: (f.place.line, f.place.path, f.problem))
