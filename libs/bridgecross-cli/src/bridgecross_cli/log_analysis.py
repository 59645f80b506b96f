"""Analyses the logs of several instances, such as why a request failed."""

from collections.abc import Iterable
from collections.abc import Iterator
import re
from typing import Any
from typing import NamedTuple

from bridgecross_core import codec

_VIEW_CHANGE_WINDOW_S = 5.0
"""View changes are shown if they are at most this long before the end of the
request; leases and moves last up to 3 s."""

_VIEW_CHANGE_EVENTS = frozenset(
    {
        "configuration_in_force",
        "coordinator_begins",
        "coordinator_ends",
        "follows",
        "history_forgotten",
        "key_map",
        "keys_move",
        "keys_moved",
        "leads",
        "leads_no_more",
        "log_lost",
        "log_regained",
        "no_instance_reaches",
        "own_links_broken",
        "peer_lost",
        "quota_begins",
        "quota_ends",
        "quota_issuer_lost",
        "relay_lost",
        "server_ended",
        "server_heard",
        "server_lapsed",
        "server_leaving",
        "server_limit",
        "server_limit_ended",
        "server_reached",
        "server_returned",
        "server_says_leaving",
        "server_silent",
        "server_unreached",
        "standstill",
        "task_failed",
        "token_outranked",
    }
)
"""Events that change an instance's view of the cluster."""


class LogLine(NamedTuple):
    """One line of an instance's log."""

    at_s: float
    instance: str
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Renders the line in a readable form."""
        known = {"at_s", "up_s", "instance", "event", "dropped"}
        rest = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in known
        )
        return f"{self.at_s:.3f} {self.instance} {self.event} {rest}"


class ParsedLogs(NamedTuple):
    """The log lines of several instances, in the order of their timestamps."""

    lines: tuple[LogLine, ...]
    # The number of lines that are not log lines of bridgecross.
    unreadable_count: int
    # The number of dropped lines that each instance reports.
    dropped: dict[str, int]


class Cause(NamedTuple):
    """A possible cause of a request's outcome.

    ``pattern`` is a regular expression that is searched in the trail.
    """

    pattern: str
    meaning: str
    next_step: str


CAUSES = (
    Cause(
        r"the deadline cannot be met|the deadline has passed",
        "its server had no room before the answer would have been late",
        "compare the server's queue and attempt times with its neighbours'",
    ),
    Cause(
        r"to be left alone|it rests",
        "the servers that could serve it had turned this instance away and "
        "asked it for rest",
        "see server_asks_rest, and what fills those servers",
    ),
    Cause(
        r"limit their requests|limits its requests",
        "the servers that could serve it take only so many requests a second "
        "from all instances together, and had got them",
        "see server_limit and quota_issuer_lost, and what weighs on those "
        "servers",
    ),
    Cause(
        r"left alone",
        "its owner had turned this instance's requests away or could not be "
        "reached, and was left alone for a while",
        "see whether one key draws more than a server can do",
    ),
    Cause(
        r"no retry left in the budget",
        "attempts came back and the service's retry budget was spent",
        "look for what makes attempts fail: shed, interrupted, not the owner",
    ),
    Cause(
        r"has no owner",
        "nobody held its key: a move was under way, or its owner was lost",
        "see the key's history: bridgecross logs keys SERVICE KEY",
    ),
    Cause(
        r"not the owner",
        "the server did not hold the key: its lease had run out, or this "
        "instance's key map was old",
        "see whether a coordinator was renewing: coordinator_*, log_lost",
    ),
    Cause(
        r"interrupted",
        "the connection broke after the request was sent; it may have run",
        "see the server's other requests at that time",
    ),
    Cause(
        r"others: (refused|unreached)",
        "neither this instance nor others that were asked, which reach other "
        "servers, reached the server",
        "see server_ended, and whether the list still has the server",
    ),
    Cause(
        r"others: unknown",
        "this instance did not reach the server, and no other instance that "
        "was asked could tell whether it lives",
        "see server_unreached and own_links_broken of all instances: the links "
        "of several machines are broken",
    ),
    Cause(
        r"not sent",
        "no connection to the server came about",
        "see server_unreached of all instances: the server ended, or this "
        "instance alone does not reach it",
    ),
    Cause(
        r"shed with",
        "the server refused it for lack of room, without running it",
        "see whether many instances sent to that server at once",
    ),
    Cause(
        r"failed with",
        "the server ran it and answered with a failure of its own",
        "see the server's own logs",
    ),
    Cause(
        r"out of time",
        "its time was over before an answer came",
        "see how long the attempt took: took_ms, and the server's others",
    ),
    Cause(
        r"said that it leaves",
        "the owner of its key said in an answer that it leaves, and still owns "
        "the key after the time in which such a server may be used",
        "see server_says_leaving, and log_lost: keys move only with the log",
    ),
    Cause(
        r"left meanwhile",
        "its server left, or lost the key, while it waited for a slot",
        "see server_leaving and keys_moved",
    ),
)
"""The causes that entries of a request's trail indicate, the most informative
first."""


def parse_logs(texts: Iterable[str]) -> ParsedLogs:
    """Parses the lines of logs; text before the JSON of a line is ignored."""
    lines = []
    unreadable = 0
    dropped: dict[str, int] = {}
    for text in texts:
        start = text.find('{"at_s"')
        if start < 0:
            unreadable += bool(text.strip())
            continue
        try:
            fields = codec.from_json(text[start:], dict[str, Any])
            line = LogLine(
                float(fields["at_s"]),
                str(fields["instance"]),
                str(fields["event"]),
                fields,
            )
        except (codec.CodecError, KeyError, TypeError, ValueError):
            unreadable += 1
            continue
        lines.append(line)
        if "dropped" in fields:
            dropped[line.instance] = int(fields["dropped"])
    lines.sort(key=lambda line: (line.at_s, line.instance))
    return ParsedLogs(tuple(lines), unreadable, dropped)


def explain(logs: ParsedLogs, request_id: str) -> Iterator[str]:
    """Yields a request's outcome, its causes and preceding view changes."""
    found = [
        line for line in logs.lines if line.fields.get("request") == request_id
    ]
    if not found:
        yield f"no line of request {request_id}"
        total = sum(logs.dropped.values())
        if total:
            yield f"{total} line(s) were dropped; its line may be among them"
        return
    for line in found:
        yield from _explain_line(logs, line)


def find_causes(trail: Iterable[str]) -> list[Cause]:
    """Returns the causes that a trail indicates, the most informative first."""
    text = "\n".join(trail)
    return [cause for cause in CAUSES if re.search(cause.pattern, text)]


def _explain_line(logs: ParsedLogs, line: LogLine) -> Iterator[str]:
    """Yields the explanation of one log line of a request."""
    fields = line.fields
    trail = [str(entry) for entry in fields.get("trail", ())]
    yield (
        f"{line.at_s:.3f} {line.instance}: {fields.get('outcome', line.event)}"
        f" (status {fields.get('status')}) after {fields.get('took_ms')} ms"
    )
    yield (
        f"  route {fields.get('route')}, service {fields.get('service')}, "
        f"key {fields.get('key')}, configuration {fields.get('configuration')}"
    )
    for entry in trail:
        yield f"  attempt: {entry}"
    for address in fields.get("forwarded_by", ()):
        yield f"  sent through: {address}, see own_links_broken"
    for cause in find_causes(trail):
        yield f"  cause: {cause.meaning}"
        yield f"    next: {cause.next_step}"
    servers = {entry.split(":")[0] for entry in trail}
    yield "  believed before:"
    for change in _find_view_changes(logs, line, servers):
        yield f"    {change}"


def _find_view_changes(
    logs: ParsedLogs, line: LogLine, servers: set[str]
) -> Iterator[LogLine]:
    """Yields view changes shortly before the end of a request.

    Only changes that concern one of the servers, the request's key or the
    instance that logged the request are included.
    """
    key = line.fields.get("key")
    for other in logs.lines:
        if not line.at_s - _VIEW_CHANGE_WINDOW_S <= other.at_s <= line.at_s:
            continue
        if other.event not in _VIEW_CHANGE_EVENTS:
            continue
        about_server = other.fields.get("server") in servers
        about_key = other.event in {"keys_move", "keys_moved"} and _covers_key(
            other.fields, line.fields.get("service"), key
        )
        own = other.instance == line.instance and "server" not in other.fields
        if about_server or about_key or own:
            yield other


def trace_key(
    logs: ParsedLogs, service: str, key: int, events: frozenset[str]
) -> Iterator[LogLine]:
    """Yields the lines of the given events that concern a key."""
    for line in logs.lines:
        if line.event in events and _covers_key(line.fields, service, key):
            yield line


def _covers_key(fields: dict[str, Any], service: object, key: object) -> bool:
    """Returns whether the key range of a log line contains a key."""
    return (
        isinstance(key, int)
        and fields.get("service") == service
        and fields.get("first_key", 0) <= key <= fields.get("last_key", -1)
    )
