"""Error answers of servers, and whether the servers kept running afterwards.

A server that answers a request, even with an error, did not end under it. But
a server that is ending may answer all requests in flight with errors. An error
is therefore confirmed only when the server answers a request sent after it.

This module does no I/O, and its memory is bounded in entries.
"""

from bridgecross_request import poison_requests

_SERVERS_MAX_COUNT = 128
_SUBJECTS_MAX_COUNT = 32
"""The limit for each server, about the number of requests that one instance has
in flight there. Requests beyond it count as not answered."""


class ErrorAnswers:
    """Error answers of servers that have not answered anything since."""

    def __init__(self) -> None:
        """Starts without errors."""
        # When each request was answered with an error, by server and request.
        self._errors_s: dict[str, dict[poison_requests.Fingerprint, float]] = {}

    def record_error(
        self,
        server: str,
        subject: poison_requests.Fingerprint,
        answered_s: float,
    ) -> None:
        """Records that a server answered a request with an error."""
        errors_s = self._errors_s.setdefault(server, {})
        # The first error of a request is kept: it is confirmed soonest.
        errors_s.setdefault(subject, answered_s)
        if len(errors_s) > _SUBJECTS_MAX_COUNT:
            del errors_s[next(iter(errors_s))]
        if len(self._errors_s) > _SERVERS_MAX_COUNT:
            del self._errors_s[next(iter(self._errors_s))]

    def pop_confirmed(
        self, server: str, sent_s: float
    ) -> list[poison_requests.Answer]:
        """Returns and removes the errors that a later answer confirms.

        Args:
            server: The server that answered, with an error or not.
            sent_s: When the answered request was sent.
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
        """Removes the errors of a server that has ended."""
        self._errors_s.pop(server, None)
