"""The measurements behind ``docs/CAPACITY.md``.

``python -m benchmarks`` runs all of them, or the ones that are named, and
prints a table; ``--json FILE`` keeps the rows.
"""
