"""Clients that nobody controls, against the real processes of a cluster.

These tests check only what does not depend on the speed of the machine. They
run one at a time, after all others.
"""
