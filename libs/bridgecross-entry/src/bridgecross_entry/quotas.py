"""Messages about quotas, which limit the rate of requests of all instances.

A backend server may limit the requests per second that it takes from all
instances together. No instance sees what the others send, and shares of the
limit would be too small for most instances, so a single instance, the quota
issuer, hands out the requests. Whoever knows of the limit sends a request only
with a quota that it was granted a moment ago.

The issuer is the leader, while a majority of the instances confirms that no
other instance can be issuing. So quotas do not depend on the platform's log.
"""

import enum
from typing import NamedTuple

from bridgecross_core import codec
from bridgecross_core import ids

PATH = b"/quotas"
"""The path at which instances request quotas."""

LIMITS_PATH = b"/limits"
"""The path at which the leader tells an instance which limits it knows."""


class Stamp(NamedTuple):
    """The time of an issuer's answer, on its own monotonic clock.

    Whatever an instance does once it has the answer is later than this, however
    long the messages took.
    """

    # Identifies the issuer's process, since the next one has another clock.
    process_id: int
    answered_s: float


class Report(NamedTuple):
    """What an instance was told by a server."""

    # The requests per second from all instances; infinite without a limit.
    limit_per_s: float
    # For how long the instance has known it, at least.
    read_ago_s: float
    # From an issuer's answer that the instance had when it sent the request
    # which the server answered; None if it had none.
    sent_after: Stamp | None = None


class Request(NamedTuple):
    """A request for quotas."""

    server_id: ids.ServerId
    # 0 goes first.
    priority: int
    # The number of requests to be sent; 0 if this only reports something.
    wanted_count: int
    # What the server told the instance; None if it knows of the limit from
    # others.
    report: Report | None = None


class Verdict(enum.Enum):
    """An issuer's decision on a request."""

    GRANTED = "granted"
    REFUSED = "refused"
    """The server takes no more requests at the moment."""

    UNLIMITED = "unlimited"
    """The limit has ended."""

    UNAVAILABLE = "unavailable"
    """The instance is not certain that no other instance issues quotas."""


class Reply(NamedTuple):
    """An issuer's answer."""

    verdict: Verdict
    stamp: Stamp
    # How many requests may be sent.
    granted_count: int = 0
    # The time until the next request may be granted, and until a caller who is
    # refused now should return.
    next_in_s: float = 0.0
    retry_after_s: float = 0.0


class KnownLimit(NamedTuple):
    """A limit that the issuer knows."""

    server_id: ids.ServerId
    limit_per_s: float


REQUESTS = codec.Codec(Request)
REPLIES = codec.Codec(Reply)
LIMITS = codec.Codec(tuple[KnownLimit, ...])
