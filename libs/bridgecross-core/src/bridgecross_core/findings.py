"""Problems with their place, collected and reported together."""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True)
class Place:
    """Where a finding was made."""

    # The file, or the stream of the log, that holds the text.
    source: str
    # The line in the file or the offset in the stream; 0 if neither is known.
    line: int = 0
    # The path inside the document, such as ``places.anadolu.services``.
    path: str = ""

    def __str__(self) -> str:
        """Renders ``source:line: path``, leaving out what is not known."""
        text = f"{self.source}:{self.line}" if self.line else self.source
        return f"{text}: {self.path}" if self.path else text


@dataclasses.dataclass(frozen=True)
class Finding:
    """One problem."""

    # Where it is.
    place: Place
    # What is wrong, as a sentence without a full stop.
    problem: str
    # What would put it right; empty if unknown.
    hint: str = ""

    def __str__(self) -> str:
        """Renders the place, the problem and the hint on one line."""
        hint = f" ({self.hint})" if self.hint else ""
        return f"{self.place}: {self.problem}{hint}"


class FindingsError(ValueError):
    """One or more findings make a document unusable."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        """Keeps the findings for the caller to report."""
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))
