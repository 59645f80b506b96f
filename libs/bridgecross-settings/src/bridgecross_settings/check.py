"""Reads settings as JSON with comments and reports every finding at once."""

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
    """Checks a house's settings as an operator wrote them.

    Args:
        text: JSON with comments.
        source: The file's name, for the findings.

    Returns:
        The house.

    Raises:
        findings.FindingsError: With every problem and its line.
    """
    located = _read(text, source)
    found = _list_repeated(located, source)
    found.extend(_list_findings(located, source))
    if found:
        raise findings.FindingsError(_sorted(found))
    return tree.House(located.document)


def check_document(document: Any, source: str) -> tree.House:
    """Checks a settings document that carries no lines, such as a record.

    Raises:
        findings.FindingsError: With every problem and its path.
    """
    located = _positions.Located(document, {}, [])
    found = list(_list_findings(located, source))
    if found:
        raise findings.FindingsError(_sorted(found))
    return tree.House(document)


def check_dataclass(text: str, source: str, value_type: type[T]) -> T:
    """Checks a flat document against the fields of a dataclass.

    Args:
        text: JSON with comments.
        source: The file's name, for the findings.
        value_type: The dataclass; ``msgspec.Meta`` gives the ranges.

    Raises:
        findings.FindingsError: With every problem and its line.
    """
    located = _read(text, source)
    validator = jsonschema.Draft202012Validator(
        _schema.build_dataclass_schema(value_type)
    )
    found = _list_repeated(located, source)
    for error in validator.iter_errors(located.document):
        found.extend(_describe(error, located, source))
    if found:
        raise findings.FindingsError(_sorted(found))
    return msgspec.convert(located.document, value_type)


def _read(text: str, source: str) -> _positions.Located:
    """Reads JSON with comments."""
    try:
        return _positions.read_located(text, source)
    except _positions.NotJsonError as error:
        raise findings.FindingsError([error.finding]) from error


def _list_repeated(
    located: _positions.Located, source: str
) -> list[findings.Finding]:
    """Returns a finding for each field that appears twice."""
    return [
        _locate(located, source, path, "the field appears twice", "")
        for path in located.repeated
    ]


@functools.cache
def _validator() -> jsonschema.Draft202012Validator:
    """Returns the validator of house documents, built once."""
    return jsonschema.Draft202012Validator(_schema.build_house_schema())


def _list_findings(
    located: _positions.Located, source: str
) -> Iterator[findings.Finding]:
    """Yields each problem of a document."""
    broken = False
    for error in _validator().iter_errors(located.document):
        broken = True
        yield from _describe(error, located, source)
    if not broken or isinstance(located.document, dict):
        yield from _list_references(located, source)


def _describe(
    error: jsonschema.ValidationError,
    located: _positions.Located,
    source: str,
) -> Iterator[findings.Finding]:
    """Yields the findings that one schema error stands for."""
    path = tuple(str(part) for part in error.absolute_path)
    if error.validator == "additionalProperties":
        schema: Any = error.schema
        known = list(schema["properties"])
        instance: Any = error.instance
        for name in instance:
            if name not in known:
                yield _describe_unknown(located, source, (*path, name), known)
        return
    hint = ""
    problem = error.message
    if error.validator == "pattern":
        hint = f"must match {error.validator_value}"
        problem = f"{error.instance!r} is not well formed"
    yield _locate(located, source, path, problem, hint)


def _describe_unknown(
    located: _positions.Located,
    source: str,
    path: _positions.Path,
    known: list[str],
) -> findings.Finding:
    """Returns the finding for a field that does not exist at its level."""
    name = path[-1]
    close = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    hint = f"did you mean {close[0]}?" if close else ""
    problem = f"unknown field {name!r} at this level"
    return _locate(located, source, path, problem, hint)


def _list_references(
    located: _positions.Located, source: str
) -> Iterator[findings.Finding]:
    """Yields a finding for each caller's tier that does not exist."""
    document = located.document
    tiers = _collect_tiers(document)
    for caller, node in _items(document.get("callers")):
        bought = node.get("tiers") if isinstance(node, dict) else None
        for service, tier in _items(bought):
            path = ("callers", caller, "tiers", service)
            if service not in tiers:
                hint = f"known: {', '.join(sorted(tiers)) or 'none'}"
                problem = f"no service {service!r}"
                yield _locate(located, source, path, problem, hint)
            elif tier not in tiers[service]:
                hint = f"known: {', '.join(sorted(tiers[service])) or 'none'}"
                problem = f"service {service!r} has no tier {tier!r}"
                yield _locate(located, source, path, problem, hint)
    yield from _list_shared_credentials(located, source)


def _list_shared_credentials(
    located: _positions.Located, source: str
) -> Iterator[findings.Finding]:
    """Yields a finding for each credential that two callers share."""
    seen: dict[str, str] = {}
    for caller, node in _items(located.document.get("callers")):
        digest = node.get("credential_sha256") if isinstance(node, dict) else 0
        if not isinstance(digest, str):
            continue
        if digest in seen:
            path = ("callers", caller, "credential_sha256")
            problem = f"the credential is also that of {seen[digest]!r}"
            yield _locate(located, source, path, problem, "")
        seen.setdefault(digest, caller)


def _collect_tiers(document: dict[str, Any]) -> dict[str, set[str]]:
    """Returns the tiers by ``place/service``, as far as they can be read."""
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
    """Returns the fields of an object, and none of anything else."""
    return list(node.items()) if isinstance(node, dict) else []


def _locate(
    located: _positions.Located,
    source: str,
    path: _positions.Path,
    problem: str,
    hint: str,
) -> findings.Finding:
    """Returns a finding with the line of its path or nearest parent."""
    line = 0
    for depth in range(len(path), -1, -1):
        line = located.lines.get(path[:depth], 0)
        if line:
            break
    place = findings.Place(source, line, _positions.render_path(path))
    return findings.Finding(place, problem, hint)


def _sorted(found: list[findings.Finding]) -> list[findings.Finding]:
    """Returns the findings in the order of the text."""
    return sorted(found, key=lambda f: (f.place.line, f.place.path, f.problem))
