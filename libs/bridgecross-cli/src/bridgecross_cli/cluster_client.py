"""Finds and calls the entry instances, and reads the log."""

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
_CLIENT_NAME = "bridgecross-tool"


class UnreachableError(Exception):
    """An instance, the instance list or the log did not answer."""


class CallResult(NamedTuple):
    """The reply of one instance, or ``problem`` if the call failed."""

    instance: ids.InstanceId
    reply: Any
    problem: str


def read_connection(path: pathlib.Path) -> process.ProcessSettings:
    """Reads the settings of an instance, which contain the URLs to connect to.

    Raises:
        findings.FindingsError: The file is missing or invalid.
    """
    return process.check_process_text(read_text(path), str(path))


def read_text(path: pathlib.Path) -> str:
    """Returns the text of a file.

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
        UnreachableError: The instance list could not be read.
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
        raise UnreachableError(f"instance list {url}: {error!r}") from error
    membership = memberships.Membership()
    membership.replace(listings)
    return membership.list_instances()


async def call_instances(
    listed: dict[ids.InstanceId, memberships.Listing],
    method: peer_protocol.Method[Q, A],
    request: Q,
) -> list[CallResult]:
    """Calls a method of several instances concurrently.

    Returns:
        The results of all calls, sorted by instance.
    """
    clock = hybrid_clock.HybridClock(clocks.SystemClock())
    client = peer_client.PeerClient(clock)
    results: list[CallResult] = []

    async def call(name: ids.InstanceId, address: str) -> None:
        try:
            reply = await client.call(address, method, request, _CALL_TIMEOUT_S)
            results.append(CallResult(name, reply, ""))
        except peer_protocol.PeerUnreachableError as error:
            results.append(CallResult(name, None, error.reason))

    try:
        async with anyio.create_task_group() as tasks:
            for name, listing in listed.items():
                tasks.start_soon(call, name, listing.address)
    finally:
        await client.aclose()
    return sorted(results, key=lambda result: result.instance)


class GatheredTimeline(NamedTuple):
    """The events of all instances in causal order, and the failed calls."""

    events: list[events.Event]
    unreachable: list[CallResult]


async def gather_timeline(
    connection: process.ProcessSettings,
) -> GatheredTimeline:
    """Returns the events that the listed instances retain.

    Raises:
        UnreachableError: The instance list could not be read.
    """
    results = await call_instances(
        await list_instances(connection),
        peer_protocol.TIMELINE,
        peer_protocol.TimelineRequest(),
    )
    merged = render.merge(
        [events.from_wire(wire) for wire in result.reply.events]
        for result in results
        if result.reply
    )
    return GatheredTimeline(merged, [a for a in results if a.problem])


class ControlReader(NamedTuple):
    """The state of a place's control stream, and an appender to the stream."""

    state: control.ControlState
    appender: appenders.Appender


@contextlib.asynccontextmanager
async def follow_control(
    connection: process.ProcessSettings, place: str
) -> AsyncIterator[ControlReader]:
    """Follows the control stream of a place while the context is open.

    Raises:
        UnreachableError: The log could not be read in time.
    """
    clock = clocks.SystemClock()
    hybrid = hybrid_clock.HybridClock(clock)
    stream = instance.name_control_stream(connection.house, place)
    log = http_service.HttpLogService(
        http_service.HttpLogSettings(connection.log_url)
    )
    state = control.ControlState(
        rings.Ring(rings.RingSettings(_CLIENT_NAME), hybrid)
    )
    follower = followers.Follower(
        followers.FollowerSettings(stream), log, state, clock
    )
    appender = appenders.Appender(
        appenders.AppenderSettings(stream, _CLIENT_NAME), log, hybrid
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
        raise UnreachableError(f"log {connection.log_url}: no answer in time")
