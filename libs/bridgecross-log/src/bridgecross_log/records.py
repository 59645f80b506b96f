"""The envelope of every record that bridgecross writes to the log."""

import secrets
from typing import NamedTuple

from bridgecross_core import codec
from bridgecross_core import hybrid_clock
from bridgecross_core import ids

_RECORD_ID_BYTES = 9


class Envelope(NamedTuple):
    """A record with its metadata.

    ``record_id`` is unique, so that a writer whose acknowledgement was lost
    can find its record. ``body`` is MessagePack of the type named by ``kind``.
    ``stamp`` is the time of writing, for timelines; no decision depends on it.
    """

    record_id: str
    kind: str
    writer: str
    stamp: hybrid_clock.Timestamp
    body: bytes


class LogRecord(NamedTuple):
    """An envelope with its offset in the log."""

    offset: ids.Offset
    envelope: Envelope


_ENVELOPES = codec.Codec(Envelope)


def new_record_id() -> str:
    """Returns a new unique record id."""
    return secrets.token_urlsafe(_RECORD_ID_BYTES)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the encoded envelope."""
    return _ENVELOPES.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Returns the envelope of a stored record.

    Raises:
        codec.CodecError: The record was not written by bridgecross, or it is
            corrupted.
    """
    return _ENVELOPES.decode(data)
