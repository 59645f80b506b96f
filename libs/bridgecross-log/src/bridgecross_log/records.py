"""The envelope of every record that bridgecross keeps in the log."""

import secrets
from typing import NamedTuple

from bridgecross_core import codec
from bridgecross_core import hybrid_clock
from bridgecross_core import ids

_RECORD_ID_BYTES = 9


class Envelope(NamedTuple):
    """A record as its writer made it.

    ``record_id`` is unique, so that a writer whose acknowledgement was lost
    finds the record again. ``body`` is MessagePack whose type ``kind`` names.
    ``stamp`` places the writing on the time line and decides nothing.
    """

    record_id: str
    kind: str
    writer: str
    stamp: hybrid_clock.Timestamp
    body: bytes


class LogRecord(NamedTuple):
    """An envelope at its place in the log."""

    offset: ids.Offset
    envelope: Envelope


_ENVELOPES = codec.Codec(Envelope)


def new_record_id() -> str:
    """Returns an id that no other record has."""
    return secrets.token_urlsafe(_RECORD_ID_BYTES)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the bytes to append."""
    return _ENVELOPES.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Returns the envelope that a stored record holds.

    Raises:
        codec.CodecError: The record was not written by bridgecross, or it is
            damaged.
    """
    return _ENVELOPES.decode(data)
