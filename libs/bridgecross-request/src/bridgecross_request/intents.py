"""Records in the log for requests that must run at most once.

Before the first byte of such a request is sent, its intent is appended to the
log. The first intent for an idempotency key wins: its attempt is the only one
with the right to run the request. Every other attempt, on any instance, finds
that it came second.
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
    """Asks for the right to run a request, on behalf of one attempt."""

    service: ids.ServiceName
    caller: str
    idempotency_key: str


class IntentReturn(NamedTuple):
    """Gives a right back, because the attempt certainly did not run.

    ``won_at`` is the offset of the intent that won the right.
    """

    service: ids.ServiceName
    caller: str
    idempotency_key: str
    won_at: ids.Offset


class _RequestKey(NamedTuple):
    """Identifies a request that must run at most once."""

    service: ids.ServiceName
    caller: str
    idempotency_key: str


@dataclasses.dataclass(frozen=True)
class IntentRegistrySettings:
    """How many intents are remembered."""

    # The newest intents that are remembered, about 400 bytes each.
    capacity: int = 50_000


_INTENTS = codec.Codec(Intent)
_RETURNS = codec.Codec(IntentReturn)


class IntentRegistry:
    """The winners among the intents, built from the stream of intents."""

    def __init__(self, settings: IntentRegistrySettings) -> None:
        """Starts without intents."""
        self._settings = settings
        self._winners: collections.OrderedDict[_RequestKey, ids.Offset] = (
            collections.OrderedDict()
        )
        self._appender: appenders.Appender | None = None

    def attach(self, appender: appenders.Appender) -> None:
        """Sets the appender that verdicts are reported to."""
        self._appender = appender

    def apply(self, record: log_service.StoredRecord) -> None:
        """Applies the next record; a damaged one grants no right."""
        try:
            envelope = log_records.decode_envelope(record.data)
            verdict = self._apply_body(record.offset, envelope)
        except codec.CodecError:
            return
        if self._appender is not None:
            self._appender.report(envelope.record_id, verdict)

    def restart(self, first_offset: ids.Offset) -> None:
        """Continues after a gap; the remembered winners remain valid."""

    def _apply_body(
        self, offset: ids.Offset, envelope: log_records.Envelope
    ) -> appenders.Verdict:
        """Applies an intent or a return."""
        if envelope.kind == RETURN_KIND:
            return self._apply_return(offset, _RETURNS.decode(envelope.body))
        intent = _INTENTS.decode(envelope.body)
        return self._apply_intent(offset, _RequestKey(*intent))

    def _apply_return(
        self, offset: ids.Offset, returned: IntentReturn
    ) -> appenders.Verdict:
        """Withdraws a right, so that another attempt can win it."""
        request_key = _RequestKey(
            returned.service, returned.caller, returned.idempotency_key
        )
        if self._winners.get(request_key) != returned.won_at:
            return appenders.Void(offset, "the right is not the attempt's")
        del self._winners[request_key]
        return appenders.Applied(offset)

    def _apply_intent(
        self, offset: ids.Offset, request_key: _RequestKey
    ) -> appenders.Verdict:
        """Grants the right to the first intent for a request."""
        winner = self._winners.get(request_key)
        if winner is not None:
            return appenders.Void(offset, f"intent {winner} came first")
        self._winners[request_key] = offset
        while len(self._winners) > self._settings.capacity:
            self._winners.popitem(last=False)
        return appenders.Applied(offset)


async def win_right(
    appender: appenders.Appender, intent: Intent
) -> appenders.AppendOutcome:
    """Appends an intent, to win the right to run a request.

    Returns:
        ``Applied`` if the attempt won the right. With any other outcome it
        must not run the request.
    """
    return await appender.append(INTENT_KIND, _INTENTS.encode(intent))


async def return_right(
    appender: appenders.Appender, intent: Intent, won_at: ids.Offset
) -> appenders.AppendOutcome:
    """Gives a right back after the request certainly did not run."""
    returned = IntentReturn(*intent, won_at)
    return await appender.append(RETURN_KIND, _RETURNS.encode(returned))
