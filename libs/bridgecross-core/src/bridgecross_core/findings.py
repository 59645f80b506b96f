"""Validation errors with their location, collected and reported together."""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True)
class Place:
    """The location of a finding."""

    # The file or log stream that contains the document.
    source: str
    # The line in the file or the offset in the stream; 0 if unknown.
    line: int = 0
    # The path within the document, such as ``places.anadolu.services``.
    path: str = ""

    def __str__(self) -> str:
        """Renders ``source:line: path`` without the parts that are unknown."""
        text = f"{self.source}:{self.line}" if self.line else self.source
        return f"{text}: {self.path}" if self.path else text


@dataclasses.dataclass(frozen=True)
class Finding:
    """One problem in a document."""

    # Where the problem is.
    place: Place
    # What is wrong, without a full stop at the end.
    problem: str
    # How to fix it; empty if unknown.
    hint: str = ""

    def __str__(self) -> str:
        """Renders the place, the problem and the hint on one line."""
        hint = f" ({self.hint})" if self.hint else ""
        return f"{self.place}: {self.problem}{hint}"


class FindingsError(ValueError):
    """A document is unusable because of one or more findings."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        """Stores the findings and renders them as the error message."""
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))
