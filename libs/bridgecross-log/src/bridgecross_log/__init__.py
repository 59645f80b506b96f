"""Access to the platform's append-only log service.

* ``service``: the interface of a log service, and its errors.
* ``http_service``: an implementation of the interface over HTTP.
* ``records``: the envelope of every record.
* ``follower``: reads a stream continuously, in order, and tracks its freshness.
* ``appender``: appends a record and confirms it by reading it back.
* ``snapshot``: splits states into checksummed chunks and reassembles them.
"""

__all__ = [
    "appender",
    "follower",
    "http_service",
    "records",
    "service",
    "snapshot",
]
