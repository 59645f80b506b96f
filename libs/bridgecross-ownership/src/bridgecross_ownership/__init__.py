"""Which backend server owns which slice of a service's keys.

The library can be embedded: it needs a ``bridgecross_log`` service and four
narrow interfaces that the embedding program implements.

All requests to a backend server pass through one instance, the server's
*queue owner*. The log says which instance that is.

* ``records``: the records that coordinators append to the log.
* ``cell``: a service's state, built from those records alike by every reader.
* ``planner``: computes the fewest moves that restore service and balance.
* ``coordinator``: claims a service and appends the planner's changes.
* ``leases``: lease exchanges with a backend server, and when a lease ends.
* ``lease_manager``: renews one server's lease and opens slices to requests.
* ``lease_manager_set``: the lease managers of all servers whose queues this
  instance owns.
* ``authority``: how long an instance may act without reading the log.
* ``releases``: queries between queue owners before a slice or server changes
  hands.
* ``reports``: what the instances report to the coordinator.
* ``membership``: the instances and servers that the platform lists.
"""

__all__ = [
    "authority",
    "cell",
    "coordinator",
    "lease_manager",
    "lease_manager_set",
    "leases",
    "membership",
    "planner",
    "records",
    "releases",
    "reports",
]
