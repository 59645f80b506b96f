"""Causally ordered events of all processes.

* ``events``: the types of events, and their form between processes.
* ``ring``: the ring buffer of one process's events.
* ``render``: renders a timeline as text or as one HTML page.
"""

__all__ = ["events", "render", "ring"]
