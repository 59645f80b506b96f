"""The settings of a house: a tree that inherits from level to level.

* ``policy``: every field that a level may set, with its unit and range.
* ``tree``: house, place, service and tier, and what is in effect where.
* ``check``: reads JSON with comments and reports every finding at once.
* ``process``: what one process is told when it starts.
* ``versions``: the fold of published changes; each names the one it edits.
"""

__all__ = ["check", "policy", "process", "tree", "versions"]
