"""Types for the ids and numbers that the libraries share."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""The id of one run of an entry instance; each restart gets a new one."""

ServerId = NewType("ServerId", str)
"""The id of a backend server, as in the instance list."""

ServiceName = NewType("ServiceName", str)
"""The name of a service of a house, such as ``rapor``."""

SliceIndex = NewType("SliceIndex", int)
"""The index of a slice. A slice is a fixed share of a service's keys and the
unit of ownership."""

Offset = NewType("Offset", int)
"""The position of a record in one stream of the log, starting at 0."""

Term = NewType("Term", int)
"""A coordinator's term, numbered by the offset of its valid claim record."""

Token = NewType("Token", int)
"""A fencing token: the offset of the assignment record behind a grant."""

NO_OFFSET = Offset(-1)
"""The offset that stands for no record."""

NO_TOKEN = Token(-1)
"""A token lower than that of any assignment."""
