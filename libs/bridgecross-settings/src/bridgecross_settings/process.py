"""The settings of one process: its name, addresses and failure domain."""

import dataclasses
from typing import Annotated

import msgspec

from bridgecross_settings import check

_ADDRESS_PATTERN = r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"
_URL_PATTERN = r"^https?://(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"
_NAME_PATTERN = r"^[a-z][a-z0-9-]*$"

Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS_PATTERN)]
"""An IP number and a port, as ``127.0.0.1:8000``."""

Url = Annotated[str, msgspec.Meta(pattern=_URL_PATTERN)]
"""A base URL whose host is an IP number."""

Name = Annotated[str, msgspec.Meta(pattern=_NAME_PATTERN)]
"""A name in lower case, with hyphens."""


@dataclasses.dataclass(frozen=True)
class ProcessSettings:
    """What an entry instance is told when it starts."""

    # The name in the instance list; a restart takes a new one.
    instance: Name
    # The house that the instance serves.
    house: Name
    # The place of the house that the instance is in.
    place: Name
    # The failure domain that the instance is in.
    failure_domain: Name
    # Where callers send their requests (HTTP).
    caller_address: Address
    # Where peers and the command-line tool reach the instance (gRPC).
    peer_address: Address
    # Where health checks and metrics are read (HTTP).
    admin_address: Address
    # The platform's log service.
    log_url: Url
    # The platform's instance list.
    instance_list_url: Url
    # How often the instance list is read.
    list_interval_ms: Annotated[int, msgspec.Meta(ge=50, le=60_000)] = 1_000
    # A snapshot is appended when this many records came since the last one.
    snapshot_records: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 500
    # A snapshot is appended when the last one is this old; well below the
    # time for which the log keeps records.
    snapshot_interval_s: Annotated[int, msgspec.Meta(ge=1, le=864_000)] = 3_600
    # Events that the time line of this process remembers.
    timeline_events: Annotated[int, msgspec.Meta(ge=16, le=1_000_000)] = 4_096
    # The lowest level that is logged.
    log_level: Annotated[
        str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    ] = "INFO"


def check_process_text(text: str, source: str) -> ProcessSettings:
    """Checks the settings of a process as an operator wrote them.

    Args:
        text: JSON with comments.
        source: The file's name, for the findings.

    Raises:
        findings.FindingsError: With every problem and its line.
    """
    return check.check_dataclass(text, source, ProcessSettings)
