"""The benchmarks behind ``docs/CAPACITY.md``.

``python -m benchmarks`` runs all benchmarks, or those named as arguments, and
prints a table. ``--json FILE`` writes the rows to a file as well.
"""
