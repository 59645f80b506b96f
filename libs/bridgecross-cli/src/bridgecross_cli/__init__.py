"""The ``bridgecross`` command-line tool for operators.

* ``main``: the command line.
* ``cluster_client``: finds and calls the entry instances, and reads the log.
* ``publishing``: publishes settings and waits until they are in force.
* ``log_analysis``: explains failed requests from the logs of instances.
* ``value_report``: computes the value of answers from the logs of instances.
"""

__all__ = ["cluster_client", "main", "publishing"]
