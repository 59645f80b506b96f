"""Which backend server owns which slice of a service's keys.

The library is meant to be embedded: it needs a ``bridgecross_log`` service
and four narrow interfaces that the embedding program implements.

* ``records``: what coordinators append to the log.
* ``cell``: the fold of those records, the same for every reader.
* ``planner``: the fewest moves that restore service and balance.
* ``coordinator``: claims a service and appends what the planner wants.
* ``leases``: the lease exchange with a backend server, and when it is over.
* ``keeper``: keeps the lease of one server and opens its slices to requests.
* ``fronts``: the keepers of all servers that this instance fronts.
* ``authority``: how long an instance may act without news from the log.
* ``releases``: what fronts ask before something changes hands.
* ``reports``: what the instances tell the coordinator.
* ``membership``: the instances and servers that the platform lists.
"""

__all__ = [
    "authority",
    "cell",
    "coordinator",
    "fronts",
    "keeper",
    "leases",
    "membership",
    "planner",
    "records",
    "releases",
    "reports",
]
