"""Publishes settings and waits until they are in force on all instances."""

from typing import Any
from typing import NamedTuple

import anyio

from bridgecross_cli import cluster_client
from bridgecross_core import codec
from bridgecross_core import findings
from bridgecross_core import ids
from bridgecross_daemon import peer_protocol
from bridgecross_log import appender as appenders
from bridgecross_settings import process
from bridgecross_settings import tree
from bridgecross_settings import versions

_POLL_INTERVAL_S = 0.1


class PublishRequest(NamedTuple):
    """Settings to publish.

    ``base`` is the version that the operator edited, ``NO_OFFSET`` for the
    first one.
    """

    house: tree.House
    base: ids.Offset
    author: str
    summary: str


class Published(NamedTuple):
    """The change is in the log and valid; ``version`` is its offset."""

    version: ids.Offset
    changed_paths: list[str]


class Conflicted(NamedTuple):
    """The change is rejected because another one was published before it.

    ``clashes`` are the paths that both changes edited. It is None if the base
    is no longer known, so that the paths cannot be determined.
    """

    newest: ids.Offset
    newest_author: str
    clashes: list[str] | None


class PublishOutcomeUnknown(NamedTuple):
    """The log did not confirm the change, which may or may not be accepted."""

    reason: str


PublishOutcome = Published | Conflicted | PublishOutcomeUnknown
"""The outcome of a publish request."""


class InForceStatus(NamedTuple):
    """Whether a version is in force on one instance."""

    instance: ids.InstanceId
    in_force: bool
    problem: str


async def publish(
    connection: process.ProcessSettings, place: str, request: PublishRequest
) -> PublishOutcome:
    """Publishes settings to one place and returns the outcome.

    Raises:
        cluster_client.UnreachableError: The log could not be read.
    """
    async with cluster_client.follow_control(connection, place) as reader:
        newest = reader.state.settings.version
        if request.base != reader.state.settings.offset:
            return _make_conflict(reader.state.settings, request)
        change = versions.SettingsChange(
            base=request.base,
            author=request.author,
            summary=request.summary,
            document=codec.to_json(request.house.document).encode(),
        )
        outcome = await reader.appender.append(
            versions.CHANGE_KIND, versions.encode_change(change)
        )
        return _convert_outcome(outcome, reader.state.settings, newest, request)


async def read_version(
    connection: process.ProcessSettings, place: str
) -> versions.SettingsVersion | None:
    """Returns the newest published settings of a place, if there are any.

    Raises:
        cluster_client.UnreachableError: The log could not be read.
    """
    async with cluster_client.follow_control(connection, place) as reader:
        return reader.state.settings.version


async def wait_until_in_force(
    connection: process.ProcessSettings, version: ids.Offset, timeout_s: float
) -> list[InForceStatus]:
    """Waits until a version is in force on all listed instances.

    Returns:
        The last statuses; after the timeout, some are not in force.

    Raises:
        cluster_client.UnreachableError: The instance list could not be read.
    """
    statuses: list[InForceStatus] = []
    with anyio.move_on_after(timeout_s):
        while True:
            statuses = await _query_versions(connection, version)
            if all(status.in_force for status in statuses):
                break
            await anyio.sleep(_POLL_INTERVAL_S)
    return statuses


async def _query_versions(
    connection: process.ProcessSettings, version: ids.Offset
) -> list[InForceStatus]:
    """Queries all listed instances once."""
    listed = await cluster_client.list_instances(connection)
    results = await cluster_client.call_instances(
        listed, peer_protocol.STATUS, peer_protocol.StatusRequest()
    )
    return [
        InForceStatus(
            instance=result.instance,
            in_force=result.reply is not None
            and result.reply.settings_version >= version,
            problem=result.problem,
        )
        for result in results
    ]


def _convert_outcome(
    outcome: appenders.AppendOutcome,
    state: versions.SettingsState,
    old: versions.SettingsVersion | None,
    request: PublishRequest,
) -> PublishOutcome:
    """Converts the outcome of an append to that of a publish request."""
    match outcome:
        case appenders.Applied(offset=offset):
            paths = versions.list_changed_paths(
                _read_document(old), request.house.document
            )
            return Published(offset, paths)
        case appenders.Void():
            return _make_conflict(state, request, old)
        case appenders.NotAppended() | appenders.OutcomeUnknown():
            return PublishOutcomeUnknown(outcome.reason)


def _make_conflict(
    state: versions.SettingsState,
    request: PublishRequest,
    base: versions.SettingsVersion | None = None,
) -> Conflicted:
    """Returns the conflict of a request with the newest version."""
    newest = state.version
    if base is None:
        base = state.find_recent(request.base)
    clashes = None
    if base is not None and newest is not None:
        clashes = versions.list_conflicts(
            _read_document(base),
            request.house.document,
            _read_document(newest),
        )
    return Conflicted(
        newest=state.offset,
        newest_author=newest.author if newest else "",
        clashes=clashes,
    )


def _read_document(version: versions.SettingsVersion | None) -> dict[str, Any]:
    """Returns the document of a version, or an empty one without a version.

    Raises:
        findings.FindingsError: The document in the log is corrupted.
    """
    if version is None:
        return {}
    try:
        return codec.from_json(version.document, dict[str, Any])
    except codec.CodecError as error:
        place = findings.Place(f"settings version {version.offset}")
        finding = findings.Finding(place, str(error))
        raise findings.FindingsError([finding]) from error
