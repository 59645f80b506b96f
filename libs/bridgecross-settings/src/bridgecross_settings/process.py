"""The settings of one process: its name, addresses and failure domain."""

import dataclasses
from typing import Annotated

import msgspec

from bridgecross_settings import check

_ADDRESS_PATTERN = r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"
_URL_PATTERN = r"^https?://(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"
_NAME_PATTERN = r"^[a-z][a-z0-9-]*$"

Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS_PATTERN)]
"""An IPv4 address and a port, such as ``127.0.0.1:8000``."""

Url = Annotated[str, msgspec.Meta(pattern=_URL_PATTERN)]
"""A base URL with an IPv4 address as host and a port."""

Name = Annotated[str, msgspec.Meta(pattern=_NAME_PATTERN)]
"""A name of lower-case letters, digits and hyphens."""


@dataclasses.dataclass(frozen=True)
class ProcessSettings:
    """The settings that an entry instance reads when it starts."""

    # The name in the instance list; a restarted instance gets a new name.
    instance: Name
    # The house that the instance serves.
    house: Name
    # The place of the house that the instance is in.
    place: Name
    # The failure domain that the instance is in.
    failure_domain: Name
    # The address to which callers send requests (HTTP).
    caller_address: Address
    # The address for peers and the command-line tool (gRPC).
    peer_address: Address
    # The address for health checks and metrics (HTTP).
    admin_address: Address
    # The URL of the platform's log service.
    log_url: Url
    # The URL of the platform's instance list.
    instance_list_url: Url
    # The interval at which the instance list is read.
    list_interval_ms: Annotated[int, msgspec.Meta(ge=50, le=60_000)] = 1_000
    # A snapshot is appended after this many records since the last one.
    snapshot_records: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 500
    # A snapshot is appended when the last one is this old. Must be well
    # below the retention time of the log.
    snapshot_interval_s: Annotated[int, msgspec.Meta(ge=1, le=864_000)] = 3_600
    # The memory that the process may use, in 10^6 bytes. What it holds for
    # callers is bounded by it.
    memory_mb: Annotated[int, msgspec.Meta(ge=100, le=1_000_000)] = 1_024
    # The number of events that this process retains for timelines.
    timeline_events: Annotated[int, msgspec.Meta(ge=16, le=1_000_000)] = 4_096
    # The minimum severity of log lines.
    log_level: Annotated[
        str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    ] = "INFO"


def check_process_text(text: str, source: str) -> ProcessSettings:
    """Parses and validates the settings of a process.

    Args:
        text: JSON with comments.
        source: The file's name, used in findings.

    Raises:
        findings.FindingsError: The document is invalid; contains every problem
            with its line.
    """
    return check.check_dataclass(text, source, ProcessSettings)
