"""bridgecrossd, the entry instance.

* ``main``: the command line of the daemon.
* ``serving``: an instance behind its HTTP and gRPC servers.
* ``instance``: puts the parts of an entry instance together.
* ``ports``: what an instance reaches the outside world through.
* ``control``: the state that the log's control stream puts in force.
* ``peer_protocol``: what instances and tools say to an instance, over gRPC.
* ``peer_client`` and ``peer_server``: the two ends of that.
"""

__all__ = [
    "control",
    "instance",
    "main",
    "peer_client",
    "peer_protocol",
    "peer_server",
    "ports",
    "serving",
]
