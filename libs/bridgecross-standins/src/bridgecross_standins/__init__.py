"""Small stand-ins for the platform's services and the backend servers.

For tests and the demo only: no released library imports this package.

* ``log_standin``: the platform's log service.
* ``list_standin``: the platform's instance list.
* ``backend_standin``: a backend server that journals every request.
* ``balancer``: the platform's load balancer.
* ``probing``: sends requests at a steady rate.
* ``checker``: checks the journals for violated guarantees.
* ``crowds``: clients that send what they like.
* ``serving``: serves any of the stand-ins over HTTP.
* ``processes``: starts a cluster as separate processes.
* ``cluster_tools``: helpers of the demo, tests and benchmarks for a cluster.
* ``demo``: the demo, which kills a backend server under load.
* ``main``: the command line that runs a single stand-in.
"""

__all__ = [
    "backend_standin",
    "balancer",
    "checker",
    "cluster_tools",
    "crowds",
    "demo",
    "list_standin",
    "log_standin",
    "main",
    "probing",
    "processes",
    "serving",
]
