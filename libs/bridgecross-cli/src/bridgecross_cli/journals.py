"""Finds the cause of a failed request in the logs of many instances."""

from collections.abc import Iterable
from collections.abc import Iterator
import re
from typing import Any
from typing import NamedTuple

from bridgecross_core import codec

_BEFORE_S = 5.0
"""How far back beliefs are looked for; leases and moves last up to 3 s."""

_BELIEF_EVENTS = frozenset(
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
        "peer_lost",
        "relay_lost",
        "server_ended",
        "server_heard",
        "server_lapsed",
        "server_leaving",
        "server_returned",
        "server_says_leaving",
        "server_silent",
        "standstill",
        "task_failed",
        "token_outranked",
    }
)
"""Events that change what a process believes."""


class Line(NamedTuple):
    """One line of a log."""

    at_s: float
    instance: str
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Renders the line for people."""
        known = {"at_s", "up_s", "instance", "event", "dropped"}
        rest = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in known
        )
        return f"{self.at_s:.3f} {self.instance} {self.event} {rest}"


class Journals(NamedTuple):
    """Lines of many instances, in order of their clocks."""

    lines: tuple[Line, ...]
    # Lines that are no log lines of ours.
    unreadable_count: int
    # Lines that the instances say they dropped, by instance.
    dropped: dict[str, int]


class Cause(NamedTuple):
    """Why a request ended as it did."""

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
        r"not sent",
        "no connection to the server came about",
        "see whether the server ended, or is cut off from this instance only",
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
"""What the entries of a request's trail mean, the most telling first."""


def read(texts: Iterable[str]) -> Journals:
    """Returns the lines of logs; what stands before the JSON is passed over."""
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
            line = Line(
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
    return Journals(tuple(lines), unreadable, dropped)


def explain(journals: Journals, request_id: str) -> Iterator[str]:
    """Yields what became of a request, why, and what was believed then."""
    found = [
        line
        for line in journals.lines
        if line.fields.get("request") == request_id
    ]
    if not found:
        yield f"no line of request {request_id}"
        total = sum(journals.dropped.values())
        if total:
            yield f"{total} line(s) were dropped; its line may be among them"
        return
    for line in found:
        yield from _explain_line(journals, line)


def find_causes(trail: Iterable[str]) -> list[Cause]:
    """Returns what the entries of a trail mean, the most telling first."""
    text = "\n".join(trail)
    return [cause for cause in CAUSES if re.search(cause.pattern, text)]


def _explain_line(journals: Journals, line: Line) -> Iterator[str]:
    """Yields what one line of a request says."""
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
    for cause in find_causes(trail):
        yield f"  cause: {cause.meaning}"
        yield f"    next: {cause.next_step}"
    servers = {entry.split(":")[0] for entry in trail}
    yield "  believed before:"
    for belief in _find_beliefs(journals, line, servers):
        yield f"    {belief}"


def _find_beliefs(
    journals: Journals, line: Line, servers: set[str]
) -> Iterator[Line]:
    """Yields changes of belief shortly before a request ended."""
    key = line.fields.get("key")
    for other in journals.lines:
        if not line.at_s - _BEFORE_S <= other.at_s <= line.at_s:
            continue
        if other.event not in _BELIEF_EVENTS:
            continue
        about_server = other.fields.get("server") in servers
        about_key = other.event in {"keys_move", "keys_moved"} and _covers(
            other.fields, line.fields.get("service"), key
        )
        own = other.instance == line.instance and "server" not in other.fields
        if about_server or about_key or own:
            yield other


def trace_key(
    journals: Journals, service: str, key: int, events: frozenset[str]
) -> Iterator[Line]:
    """Yields the moves of a key, once each."""
    for line in journals.lines:
        if line.event in events and _covers(line.fields, service, key):
            yield line


def _covers(fields: dict[str, Any], service: object, key: object) -> bool:
    """Whether a move is about a key."""
    return (
        isinstance(key, int)
        and fields.get("service") == service
        and fields.get("first_key", 0) <= key <= fields.get("last_key", -1)
    )
