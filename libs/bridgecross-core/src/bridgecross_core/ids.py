"""Names and numbers by which the parts of the system know one another."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""One run of an entry instance; a restart gets a new one."""

ServerId = NewType("ServerId", str)
"""One backend server, as the instance list names it."""

ServiceName = NewType("ServiceName", str)
"""A service of a house, such as ``rapor``."""

SliceIndex = NewType("SliceIndex", int)
"""A slice: the unit of ownership, a fixed share of a service's keys."""

Offset = NewType("Offset", int)
"""The position of a record in one stream of the log, from 0."""

Term = NewType("Term", int)
"""A coordinator's period of office: the offset of its valid claim."""

Token = NewType("Token", int)
"""A fencing token: the offset of the assignment that made a grant."""

NO_OFFSET = Offset(-1)
"""Stands for "no record yet"."""

NO_TOKEN = Token(-1)
"""Lower than every token that an assignment can give."""
