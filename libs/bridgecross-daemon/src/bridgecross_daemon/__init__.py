"""bridgecrossd, the entry instance.

* ``main``: the command line of the daemon.
* ``serving``: runs an instance with its HTTP and gRPC servers.
* ``instance``: assembles and runs the components of an entry instance.
* ``ports``: the interfaces between an instance and its environment.
* ``control``: the state that is built from the log's control stream.
* ``peer_protocol``: the gRPC methods and messages of instances.
* ``peer_client`` and ``peer_server``: the two sides of that protocol.
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
