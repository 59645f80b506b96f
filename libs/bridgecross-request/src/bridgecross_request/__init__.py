"""The request path: callers, tier queues, dispatch and outcomes.

* ``requests``: a caller's request, and its form between instances.
* ``callers``: identifies the caller of a request and its tier.
* ``queueing``: a priority queue for the slots of a backend server.
* ``backends``: sends a request to a backend server.
* ``intents``: records in the log for requests that must run at most once.
* ``poison_requests``: detects requests that crash one server after another.
* ``runner``: runs a request on the queue owner of the key's server.
* ``routing``: routes a request to the queue owner of the key's server, with
  retries.
* ``retries``: a retry budget that is a share of the traffic.
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
