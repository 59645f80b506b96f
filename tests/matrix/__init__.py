"""The fault matrix: whole instances in one process, in virtual time."""
