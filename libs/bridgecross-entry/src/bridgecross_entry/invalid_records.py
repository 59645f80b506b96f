"""Counts and logs records that cannot be decoded.

Other programs may write to the topics as well. An invalid record is skipped: it
never stops the reading of the topic, and what was known before remains valid.
It is logged once per key and reason, not each time it is read.
"""

from bridgecross_entry import journal as journals

_REMEMBERED_MAX_COUNT = 1_000
"""The maximum number of keys whose last reason is kept; each takes about 200
bytes."""

_REASON_MAX_COUNT = 300
"""The maximum length of a reason in a log line: room for the location and the
beginning of a finding."""


class InvalidRecords:
    """The invalid records of one topic."""

    def __init__(self, topic: str, journal: journals.Journal) -> None:
        """Initializes the count with zero.

        Args:
            topic: The topic, for the log lines.
            journal: Receives a line for each new key and reason.
        """
        # The number of invalid records, including those logged before.
        self.count = 0
        self._topic = topic
        self._journal = journal
        self._reasons: dict[str, str] = {}

    def note(self, event: str, key: str, error: Exception) -> None:
        """Counts an invalid record, and logs it if its reason is new.

        Args:
            event: The event name in the log line.
            key: The record's key.
            error: Why it could not be decoded.
        """
        self.count += 1
        reason = (str(error) or repr(error))[:_REASON_MAX_COUNT]
        if self._reasons.get(key) == reason:
            return
        if len(self._reasons) >= _REMEMBERED_MAX_COUNT:
            self._reasons.clear()
        self._reasons[key] = reason
        self._journal.decision(
            event, topic=self._topic, key=key[:_REASON_MAX_COUNT], reason=reason
        )
