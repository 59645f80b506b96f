"""The record of what was sent, answered and run."""

import collections
import pathlib
import time


class Record:
    """Writes one line for each event."""

    def __init__(self, path: pathlib.Path) -> None:
        """Begins a new record."""
        self.runs: dict[str, list[str]] = collections.defaultdict(list)
        self.answers: dict[str, str] = {}
        self._began_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8", buffering=1)

    def write(self, event: str, *details: object) -> None:
        """Writes a line with the seconds since the start."""
        at_s = time.monotonic() - self._began_s
        words = " ".join(str(each) for each in details)
        self._file.write(f"{at_s:8.3f} {event:9} {words}\n")

    def note_run(self, request_id: str, backend: str) -> None:
        """Records that a backend begins to work on a request."""
        self.runs[request_id].append(backend)
        self.write("run", request_id, backend)

    def note_answer(self, request_id: str, outcome: str) -> None:
        """Records what a consumer received."""
        self.answers[request_id] = outcome
        self.write("answered", request_id, outcome)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
