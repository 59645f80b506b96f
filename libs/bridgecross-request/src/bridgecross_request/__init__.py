"""The request path: callers, tier queues, dispatch and outcomes.

* ``requests``: a caller's request, and its form between instances.
* ``callers``: identifies the caller of a request and its tier.
* ``queueing``: a priority queue for the slots of a backend server.
* ``overload``: the order of requests that wait for servers with few slots.
* ``fair_share``: finds callers that request much more than others.
* ``tier_turns``: the tier whose requests are next, with a minimum for each.
* ``return_times``: when the callers of refused requests should return.
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
    "fair_share",
    "intents",
    "overload",
    "poison_requests",
    "queueing",
    "requests",
    "retries",
    "return_times",
    "routing",
    "runner",
    "tier_turns",
]
