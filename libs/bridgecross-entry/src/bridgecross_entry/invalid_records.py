"""Records of a topic that say nothing an instance can use.

Others may write to topics as well. A record that makes no sense is left aside:
it never stops the topic, and what was known before stands. Each is told once
for its key and reason, not each time it is read.
"""

from bridgecross_entry import journal as journals

_REMEMBERED_MAX_COUNT = 1_000
"""Keys whose reason is remembered; about 200 bytes each."""

_REASON_MAX_COUNT = 300
"""Characters of a reason in a line: a finding's place and the first of them."""


class InvalidRecords:
    """What was left aside of one topic."""

    def __init__(self, topic: str, journal: journals.Journal) -> None:
        """Has left nothing aside.

        Args:
            topic: For the lines.
            journal: Told of each key and reason.
        """
        # All records that were left aside, also those told before.
        self.count = 0
        self._topic = topic
        self._journal = journal
        self._reasons: dict[str, str] = {}

    def note(self, event: str, key: str, error: Exception) -> None:
        """Leaves a record aside.

        Args:
            event: What the line says of it.
            key: The record's key.
            error: Why it makes no sense.
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
