"""Identifiers, clocks, codecs, findings and outcomes.

Every other bridgecross library builds on these modules:

* ``ids``: the names of instances, servers, services, slices and offsets.
* ``clock``: where the time comes from.
* ``codec``: bytes to typed values and back.
* ``findings``: problems with their place, collected and reported together.
* ``hashing``: keys to slices, and rendezvous ranking.
* ``outcomes``: what became of a request.
* ``notifier``: wakes the tasks that wait for a change.
* ``signals``: turns the signals to stop into a call.
* ``hybrid_clock``: orders the events of all processes causally.
* ``timeouts``: gives up a wait only after what has arrived was read.
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
