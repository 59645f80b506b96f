"""Entry instances in virtual time, with models of what surrounds them.

The instances are real: ``bridgecross_entry.assembly`` builds them. What lies
outside of them is modelled, and can be made to fail:

* ``virtual``: an event loop on virtual time, and hosts that stand still.
* ``log_model``: the platform's log, and each instance's way to it.
* ``network``: links between instances.
* ``servers``: servers that own keys, with their runs, leases and tokens.
* ``instances``: one emulated instance.
* ``cluster``: all of them together.
* ``callers``: who sends requests to them, some of which end servers.
* ``faults``: what may happen to them, drawn by seed.
* ``moving``: what may happen while keys move and are asked for.
* ``traffic``: callers who keep asking for keys.
* ``work``: requests at work at a server.
* ``checks``: what must hold all the same.
* ``ownership_model``: all orders of events around one key, up to a bound.
* ``search``: plays, shrinks, keeps and replays.
"""

__all__ = [
    "callers",
    "checks",
    "cluster",
    "faults",
    "instances",
    "log_model",
    "moving",
    "network",
    "ownership_model",
    "search",
    "servers",
    "traffic",
    "virtual",
    "work",
]
