"""Decisions under load, in virtual time."""
