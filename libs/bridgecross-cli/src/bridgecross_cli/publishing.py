"""Publishes settings and waits until every instance has them."""

from typing import Any
from typing import NamedTuple

import anyio

from bridgecross_cli import reach
from bridgecross_core import codec
from bridgecross_core import findings
from bridgecross_core import ids
from bridgecross_daemon import peer_protocol
from bridgecross_log import appender as appenders
from bridgecross_settings import process
from bridgecross_settings import tree
from bridgecross_settings import versions

_POLL_S = 0.1


class Publication(NamedTuple):
    """What an operator wants to publish.

    ``base`` is the version that the operator edited, ``NO_OFFSET`` for the
    first one.
    """

    house: tree.House
    base: ids.Offset
    author: str
    summary: str


class Published(NamedTuple):
    """The change is accepted; ``version`` is its offset."""

    version: ids.Offset
    changed_paths: list[str]


class Clashed(NamedTuple):
    """Another change came first.

    ``clashes`` are the paths that both changed; it is None if the base is no
    longer known, so that they cannot be told.
    """

    newest: ids.Offset
    newest_author: str
    clashes: list[str] | None


class PublishUnknown(NamedTuple):
    """The log did not answer: the change may or may not be accepted."""

    reason: str


PublishOutcome = Published | Clashed | PublishUnknown
"""What became of a publication."""


class InForce(NamedTuple):
    """Whether one instance has a version."""

    instance: ids.InstanceId
    in_force: bool
    problem: str


async def publish(
    connection: process.ProcessSettings, place: str, wanted: Publication
) -> PublishOutcome:
    """Publishes to one place and says what became of it.

    Raises:
        reach.ReachError: The log could not be read.
    """
    async with reach.follow_control(connection, place) as reader:
        newest = reader.state.settings.version
        if wanted.base != reader.state.settings.offset:
            return _describe_clash(reader.state.settings, wanted)
        change = versions.SettingsChange(
            base=wanted.base,
            author=wanted.author,
            summary=wanted.summary,
            document=codec.to_json(wanted.house.document).encode(),
        )
        outcome = await reader.appender.append(
            versions.CHANGE_KIND, versions.encode_change(change)
        )
        return _describe_outcome(outcome, reader.state.settings, newest, wanted)


async def read_version(
    connection: process.ProcessSettings, place: str
) -> versions.SettingsVersion | None:
    """Returns the settings that are published for a place.

    Raises:
        reach.ReachError: The log could not be read.
    """
    async with reach.follow_control(connection, place) as reader:
        return reader.state.settings.version


async def wait_in_force(
    connection: process.ProcessSettings, version: ids.Offset, timeout_s: float
) -> list[InForce]:
    """Waits until all listed instances have a version, or time runs out.

    Raises:
        reach.ReachError: The instance list did not answer.
    """
    result: list[InForce] = []
    with anyio.move_on_after(timeout_s):
        while True:
            result = await _ask_versions(connection, version)
            if all(line.in_force for line in result):
                break
            await anyio.sleep(_POLL_S)
    return result


async def _ask_versions(
    connection: process.ProcessSettings, version: ids.Offset
) -> list[InForce]:
    """Asks all listed instances once."""
    listed = await reach.list_instances(connection)
    answers = await reach.call_instances(
        listed, peer_protocol.STATUS, peer_protocol.StatusRequest()
    )
    return [
        InForce(
            instance=answer.instance,
            in_force=answer.reply is not None
            and answer.reply.settings_version >= version,
            problem=answer.problem,
        )
        for answer in answers
    ]


def _describe_outcome(
    outcome: appenders.AppendOutcome,
    state: versions.SettingsState,
    old: versions.SettingsVersion | None,
    wanted: Publication,
) -> PublishOutcome:
    """Returns what the log's verdict means to the operator."""
    match outcome:
        case appenders.Applied(offset=offset):
            paths = versions.list_changed_paths(
                _read_document(old), wanted.house.document
            )
            return Published(offset, paths)
        case appenders.Void():
            return _describe_clash(state, wanted, old)
        case appenders.NotAppended() | appenders.OutcomeUnknown():
            return PublishUnknown(outcome.reason)


def _describe_clash(
    state: versions.SettingsState,
    wanted: Publication,
    base: versions.SettingsVersion | None = None,
) -> Clashed:
    """Returns which paths two changes of the same base have in common."""
    newest = state.version
    if base is None:
        base = state.find_recent(wanted.base)
    clashes = None
    if base is not None and newest is not None:
        clashes = versions.list_conflicts(
            _read_document(base),
            wanted.house.document,
            _read_document(newest),
        )
    return Clashed(
        newest=state.offset,
        newest_author=newest.author if newest else "",
        clashes=clashes,
    )


def _read_document(version: versions.SettingsVersion | None) -> dict[str, Any]:
    """Returns the document of a version; an empty one if there is none.

    Raises:
        findings.FindingsError: The log holds a damaged document.
    """
    if version is None:
        return {}
    try:
        return codec.from_json(version.document, dict[str, Any])
    except codec.CodecError as error:
        place = findings.Place(f"settings version {version.offset}")
        finding = findings.Finding(place, str(error))
        raise findings.FindingsError([finding]) from error
