"""Small stand-ins for the platform and the backend servers.

For tests and the demo only: no shipped library imports this one.

* ``log_standin``: the platform's log service.
* ``list_standin``: the platform's instance list.
* ``backend_standin``: a backend server with a journal of what it ran.
* ``serving``: runs any of them over HTTP.
* ``processes``: starts a whole house as separate processes.
* ``demo``: the demo.
* ``main``: the command line of a single stand-in.
"""

__all__ = [
    "backend_standin",
    "demo",
    "list_standin",
    "log_standin",
    "main",
    "processes",
    "serving",
]
