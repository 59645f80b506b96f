"""Causally ordered events over all processes.

* ``events``: the types of event, and an event with its stamp.
* ``ring``: the bounded memory of one process.
* ``render``: a time line as text, as JSON lines, or as one HTML page.
"""

__all__ = ["events", "render", "ring"]
