"""The request path: callers, tier queues, dispatch and true outcomes.

* ``requests``: a caller's request, and how it travels between instances.
* ``callers``: who sends a request, and in which tier.
* ``queueing``: slots of a backend server, given out in order of priority.
* ``backends``: sends a request to a backend server.
* ``intents``: the log's record of requests that may not run twice.
* ``poison_requests``: requests under which one server after another ends.
* ``runner``: runs a request on the instance that fronts the owner.
* ``routing``: takes a request to the front of the key's owner, with retries.
* ``retries``: a retry budget as a share of the traffic.
"""

__all__ = [
    "backends",
    "callers",
    "intents",
    "poison_requests",
    "queueing",
    "requests",
    "retries",
    "routing",
    "runner",
]
