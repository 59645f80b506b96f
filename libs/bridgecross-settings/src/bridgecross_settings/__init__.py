"""The settings of a house: a tree whose levels inherit from those above.

* ``policy``: the fields that a level may set, with their units and ranges.
* ``tree``: the levels (house, place, service and tier), and the effective
  values of each node.
* ``check``: parses and validates JSON with comments.
* ``process``: the settings that one process reads when it starts.
* ``versions``: the versions of the settings, from the changes in the log.
"""

__all__ = ["check", "policy", "process", "tree", "versions"]
