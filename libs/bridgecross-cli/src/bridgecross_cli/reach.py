"""Finds and calls the instances, and reads the log."""

from collections.abc import AsyncIterator
import contextlib
import pathlib
from typing import Any
from typing import NamedTuple
from typing import TypeVar

import anyio
import httpx

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import findings
from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_daemon import control
from bridgecross_daemon import instance
from bridgecross_daemon import peer_client
from bridgecross_daemon import peer_protocol
from bridgecross_log import appender as appenders
from bridgecross_log import follower as followers
from bridgecross_log import http_service
from bridgecross_ownership import membership as memberships
from bridgecross_settings import process
from bridgecross_timeline import events
from bridgecross_timeline import render
from bridgecross_timeline import ring as rings

Q = TypeVar("Q")
A = TypeVar("A")

_CALL_TIMEOUT_S = 2.0
_LOG_TIMEOUT_S = 5.0
_TOOL_NAME = "bridgecross-tool"


class ReachError(Exception):
    """A part of the system could not be reached."""


class Answer(NamedTuple):
    """What one instance answered; ``problem`` is set if it did not."""

    instance: ids.InstanceId
    reply: Any
    problem: str


def read_connection(path: pathlib.Path) -> process.ProcessSettings:
    """Reads where log and instance list are from a process's settings.

    Raises:
        findings.FindingsError: The file is missing or not sound.
    """
    return process.check_process_text(read_text(path), str(path))


def read_text(path: pathlib.Path) -> str:
    """Returns a file's text.

    Raises:
        findings.FindingsError: The file cannot be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = findings.Finding(
            findings.Place(str(path)), f"cannot be read: {error}"
        )
        raise findings.FindingsError([finding]) from error


async def list_instances(
    connection: process.ProcessSettings,
) -> dict[ids.InstanceId, memberships.Listing]:
    """Returns the listed entry instances.

    Raises:
        ReachError: The instance list did not answer.
    """
    url = connection.instance_list_url
    try:
        async with httpx.AsyncClient(trust_env=False) as client:
            response = await client.get(
                f"{url}/instances", timeout=_CALL_TIMEOUT_S
            )
            response.raise_for_status()
            listings = codec.from_json(
                response.content, list[memberships.Listing]
            )
    except (httpx.HTTPError, codec.CodecError) as error:
        raise ReachError(f"instance list {url}: {error!r}") from error
    membership = memberships.Membership()
    membership.replace(listings)
    return membership.list_instances()


async def call_instances(
    listed: dict[ids.InstanceId, memberships.Listing],
    method: peer_protocol.Method[Q, A],
    request: Q,
) -> list[Answer]:
    """Calls a method of several instances at once."""
    clock = hybrid_clock.HybridClock(clocks.SystemClock())
    client = peer_client.PeerClient(clock)
    answers: list[Answer] = []

    async def call(name: ids.InstanceId, address: str) -> None:
        try:
            reply = await client.call(address, method, request, _CALL_TIMEOUT_S)
            answers.append(Answer(name, reply, ""))
        except peer_protocol.PeerUnreachableError as error:
            answers.append(Answer(name, None, error.reason))

    try:
        async with anyio.create_task_group() as tasks:
            for name, listing in listed.items():
                tasks.start_soon(call, name, listing.address)
    finally:
        await client.aclose()
    return sorted(answers, key=lambda answer: answer.instance)


class GatheredTimeline(NamedTuple):
    """The events of all instances in causal order, and who did not answer."""

    events: list[events.Event]
    unreachable: list[Answer]


async def gather_timeline(
    connection: process.ProcessSettings,
) -> GatheredTimeline:
    """Returns the events that the listed instances remember.

    Raises:
        ReachError: The instance list did not answer.
    """
    answers = await call_instances(
        await list_instances(connection),
        peer_protocol.TIMELINE,
        peer_protocol.TimelineRequest(),
    )
    merged = render.merge(
        [events.from_wire(wire) for wire in answer.reply.events]
        for answer in answers
        if answer.reply
    )
    return GatheredTimeline(merged, [a for a in answers if a.problem])


class ControlReader(NamedTuple):
    """The folded control stream of a place, and a way to append to it."""

    state: control.ControlState
    appender: appenders.Appender


@contextlib.asynccontextmanager
async def follow_control(
    connection: process.ProcessSettings, place: str
) -> AsyncIterator[ControlReader]:
    """Follows the control stream of a place while the context is open.

    Raises:
        ReachError: The log could not be read in time.
    """
    clock = clocks.SystemClock()
    hybrid = hybrid_clock.HybridClock(clock)
    stream = instance.name_control_stream(connection.house, place)
    log = http_service.HttpLogService(
        http_service.HttpLogSettings(connection.log_url)
    )
    state = control.ControlState(
        rings.Ring(rings.RingSettings(_TOOL_NAME), hybrid)
    )
    follower = followers.Follower(
        followers.FollowerSettings(stream), log, state, clock
    )
    appender = appenders.Appender(
        appenders.AppenderSettings(stream, _TOOL_NAME), log, hybrid
    )
    state.attach(appender, follower)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            with anyio.move_on_after(_LOG_TIMEOUT_S):
                await follower.caught_up.wait()
            if follower.caught_up.is_set():
                yield ControlReader(state, appender)
            tasks.cancel_scope.cancel()
    finally:
        await log.aclose()
    if not follower.caught_up.is_set():
        raise ReachError(f"log {connection.log_url}: no answer in time")
