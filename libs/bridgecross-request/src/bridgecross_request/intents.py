"""The log's record of requests that may not run twice.

Before the first byte of such a request goes out, its intent is appended to
the log. The first intent for an idempotency key names the one attempt that
may run it; every other attempt, on any instance, finds that it came second.
"""

import collections
import dataclasses
from typing import NamedTuple

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_log import appender as appenders
from bridgecross_log import records as log_records
from bridgecross_log import service as log_service

INTENT_KIND = "intent"
"""The kind of a record that holds an ``Intent``."""

RETURN_KIND = "intent-return"
"""The kind of a record that holds an ``IntentReturn``."""


class Intent(NamedTuple):
    """An attempt asks for the right to run a request."""

    service: ids.ServiceName
    caller: str
    idempotency_key: str


class IntentReturn(NamedTuple):
    """An attempt gives its right back: it certainly did not run.

    ``won_at`` is the offset of the intent that had won.
    """

    service: ids.ServiceName
    caller: str
    idempotency_key: str
    won_at: ids.Offset


class _Subject(NamedTuple):
    """What a right is given for."""

    service: ids.ServiceName
    caller: str
    idempotency_key: str


@dataclasses.dataclass(frozen=True)
class IntentBookSettings:
    """How much the book remembers."""

    # The newest intents that are remembered; about 400 bytes each.
    capacity: int = 50_000


_INTENTS = codec.Codec(Intent)
_RETURNS = codec.Codec(IntentReturn)


class IntentBook:
    """The fold of the stream of intents."""

    def __init__(self, settings: IntentBookSettings) -> None:
        """Knows of no intent yet."""
        self._settings = settings
        self._winners: collections.OrderedDict[_Subject, ids.Offset] = (
            collections.OrderedDict()
        )
        self._appender: appenders.Appender | None = None

    def attach(self, appender: appenders.Appender) -> None:
        """Names the appender that waits for verdicts."""
        self._appender = appender

    def apply(self, record: log_service.StoredRecord) -> None:
        """Takes the next record; a damaged one gives no right to anybody."""
        try:
            envelope = log_records.decode_envelope(record.data)
            verdict = self._judge_body(record.offset, envelope)
        except codec.CodecError:
            return
        if self._appender is not None:
            self._appender.report(envelope.record_id, verdict)

    def restart(self, first_offset: ids.Offset) -> None:
        """Goes on after a gap: what is remembered stays true."""

    def _judge_body(
        self, offset: ids.Offset, envelope: log_records.Envelope
    ) -> appenders.Verdict:
        """Applies an intent or a return."""
        if envelope.kind == RETURN_KIND:
            return self._take_back(offset, _RETURNS.decode(envelope.body))
        intent = _INTENTS.decode(envelope.body)
        return self._judge(offset, _Subject(*intent))

    def _take_back(
        self, offset: ids.Offset, returned: IntentReturn
    ) -> appenders.Verdict:
        """Frees a subject for another attempt."""
        subject = _Subject(
            returned.service, returned.caller, returned.idempotency_key
        )
        if self._winners.get(subject) != returned.won_at:
            return appenders.Void(offset, "the right is not the attempt's")
        del self._winners[subject]
        return appenders.Applied(offset)

    def _judge(
        self, offset: ids.Offset, subject: _Subject
    ) -> appenders.Verdict:
        """Gives the right to the first intent for a subject."""
        winner = self._winners.get(subject)
        if winner is not None:
            return appenders.Void(offset, f"intent {winner} came first")
        self._winners[subject] = offset
        while len(self._winners) > self._settings.capacity:
            self._winners.popitem(last=False)
        return appenders.Applied(offset)


async def win(
    appender: appenders.Appender, intent: Intent
) -> appenders.AppendOutcome:
    """Asks the log for the right to run a request.

    Returns:
        ``Applied`` if the attempt has the right; on anything else it must
        not run.
    """
    return await appender.append(INTENT_KIND, _INTENTS.encode(intent))


async def give_back(
    appender: appenders.Appender, intent: Intent, won_at: ids.Offset
) -> appenders.AppendOutcome:
    """Gives the right back after the request was certainly not run."""
    returned = IntentReturn(*intent, won_at)
    return await appender.append(RETURN_KIND, _RETURNS.encode(returned))
