"""Errors that servers answered with, and whether they lived on.

A server that answers a request, if only with an error, does not end under it;
but one that is ending may give errors to all that is at work. Which of the two
it was shows when the server answers what it was sent later.

Pure bookkeeping, bounded in entries.
"""

from bridgecross_request import poison_requests

_SERVERS_MAX_COUNT = 128
_SUBJECTS_MAX_COUNT = 32
"""For each server, about as many as are at work there for one instance. Those
that are left out count as not answered."""


class ErrorAnswers:
    """Errors of servers of which nothing was heard since."""

    def __init__(self) -> None:
        """Knows of none."""
        # When each request was answered with an error, by the server.
        self._errors_s: dict[str, dict[poison_requests.Fingerprint, float]] = {}

    def note_error(
        self,
        server: str,
        subject: poison_requests.Fingerprint,
        answered_s: float,
    ) -> None:
        """Remembers that a server answered a request with an error."""
        errors_s = self._errors_s.setdefault(server, {})
        # The first is the first that can be confirmed.
        errors_s.setdefault(subject, answered_s)
        if len(errors_s) > _SUBJECTS_MAX_COUNT:
            del errors_s[next(iter(errors_s))]
        if len(self._errors_s) > _SERVERS_MAX_COUNT:
            del self._errors_s[next(iter(self._errors_s))]

    def take_confirmed(
        self, server: str, sent_s: float
    ) -> list[poison_requests.Answer]:
        """Returns the errors after which a server answered something.

        Args:
            server: The server that has answered, in any way.
            sent_s: When what it answered was sent.
        """
        errors_s = self._errors_s.get(server)
        if errors_s is None:
            return []
        confirmed = [
            poison_requests.Answer(subject, answered_s)
            for subject, answered_s in errors_s.items()
            if answered_s <= sent_s
        ]
        for answer in confirmed:
            del errors_s[answer.subject]
        if not errors_s:
            del self._errors_s[server]
        return confirmed

    def forget(self, server: str) -> None:
        """Forgets the errors of a server that has ended."""
        self._errors_s.pop(server, None)
