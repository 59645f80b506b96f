"""Small stand-ins for the platform and the backend servers.

For tests and the demo only: no shipped library imports this one.

* ``log_standin``: the platform's log service.
* ``list_standin``: the platform's instance list.
* ``backend_standin``: a backend server with a journal of what it ran.
* ``balancer``: the platform's balancer.
* ``probing``: sends requests at a steady rate.
* ``checker``: checks the journals against what must always hold.
* ``serving``: runs any of them over HTTP.
* ``processes``: starts a whole house as separate processes.
* ``house_tools``: what demo, tests and measurements do with one.
* ``demo``: the demo.
* ``main``: the command line of a single stand-in.
"""

__all__ = [
    "backend_standin",
    "balancer",
    "checker",
    "demo",
    "house_tools",
    "list_standin",
    "log_standin",
    "main",
    "probing",
    "processes",
    "serving",
]
