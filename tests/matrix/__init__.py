"""The fault matrix: complete instances in one process, in virtual time."""
