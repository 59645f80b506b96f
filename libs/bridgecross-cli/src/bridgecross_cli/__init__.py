"""bridgecross, the command-line tool of operators.

* ``main``: the command line.
* ``reach``: finds and calls the instances, and reads the log.
* ``publishing``: publishes settings and waits until they are in force.
"""

__all__ = ["main", "publishing", "reach"]
