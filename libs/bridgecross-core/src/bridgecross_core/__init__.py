"""Identifiers, clocks, codecs, findings and outcomes.

Every other bridgecross library builds on these modules:

* ``ids``: types for the ids of instances, servers, services and records.
* ``clock``: the clock interface, and the system clock.
* ``codec``: MessagePack and JSON codecs for typed values.
* ``findings``: validation errors with their location, reported together.
* ``hashing``: maps keys to slices, and ranks candidates by rendezvous hashing.
* ``outcomes``: the possible outcomes of a request.
* ``notifier``: wakes all tasks that wait for a change.
* ``signals``: calls a function on SIGTERM and SIGINT.
* ``hybrid_clock``: orders the events of all processes causally.
* ``timeouts``: a timeout that reads received data before it expires.
"""

__all__ = [
    "clock",
    "codec",
    "findings",
    "hashing",
    "hybrid_clock",
    "ids",
    "notifier",
    "outcomes",
    "signals",
    "timeouts",
]
