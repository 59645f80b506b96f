"""Runs entry instances in virtual time, with models of their environment.

The instances are real: ``bridgecross_entry.assembly`` builds them. Everything
outside of them is modelled, and faults can be injected into it:

* ``virtual``: an event loop on virtual time, and hosts that can be paused.
* ``log_model``: the platform's log, and each instance's client of it.
* ``network``: links between instances.
* ``servers``: servers that own keys, with their runs, leases and tokens.
* ``kept_connections``: connections that instances keep to servers.
* ``instances``: one emulated instance.
* ``cluster``: all of them together.
* ``callers``: callers, and poison requests, which crash servers.
* ``faults``: faults, drawn at random from a seed.
* ``move_faults``: faults while keys move and requests for them arrive.
* ``traffic``: a steady load of requests for random keys.
* ``work``: requests that are running on a server.
* ``checks``: the guarantees that must hold in spite of faults.
* ``ownership_model``: all orders of events around one key, up to a bound.
* ``search``: simulates schedules of faults, shrinks, saves and loads them.
"""

__all__ = [
    "callers",
    "checks",
    "cluster",
    "faults",
    "instances",
    "kept_connections",
    "log_model",
    "move_faults",
    "network",
    "ownership_model",
    "search",
    "servers",
    "traffic",
    "virtual",
    "work",
]
