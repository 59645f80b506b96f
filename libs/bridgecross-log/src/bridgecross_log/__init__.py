"""The platform's append-only log service, as the rest of bridgecross uses it.

* ``service``: the narrow interface of a log service, and its errors.
* ``http_service``: the interface over HTTP.
* ``records``: the envelope of every record.
* ``follower``: reads a stream for ever, in order, and says how fresh it is.
* ``appender``: appends a record and learns its fate by reading it back.
* ``snapshot``: states cut into checksummed chunks, and put together again.
"""

__all__ = [
    "appender",
    "follower",
    "http_service",
    "records",
    "service",
    "snapshot",
]
