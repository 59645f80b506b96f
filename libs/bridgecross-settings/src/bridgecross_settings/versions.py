"""The versions of the settings, computed from the changes in the log.

Each change names the version that it edits. If two operators publish at the
same time, the log orders their changes. The second names a base that is no
longer the newest, so it is void for every reader, and its author is told which
paths conflict.
"""

import collections
from typing import Any
from typing import NamedTuple

from bridgecross_core import codec
from bridgecross_core import findings
from bridgecross_core import ids
from bridgecross_log import appender
from bridgecross_log import records
from bridgecross_settings import check
from bridgecross_settings import tree

CHANGE_KIND = "settings-change"
"""The kind of a record that holds a ``SettingsChange``."""


_RECENT_VERSIONS = 16


class SettingsChange(NamedTuple):
    """A change of the settings in a log record.

    ``base`` is the offset of the change that the author edited, ``NO_OFFSET``
    for the first. ``document`` is the whole house document as JSON.
    """

    base: ids.Offset
    author: str
    summary: str
    document: bytes


class SettingsVersion(NamedTuple):
    """A valid change; ``offset``, its offset in the log, is its version."""

    offset: ids.Offset
    author: str
    summary: str
    document: bytes


_CHANGES = codec.Codec(SettingsChange)


def encode_change(change: SettingsChange) -> bytes:
    """Returns the body of a record that holds a change."""
    return _CHANGES.encode(change)


class SettingsState:
    """The settings in force after a prefix of the log."""

    def __init__(self) -> None:
        """Starts without settings."""
        self.version: SettingsVersion | None = None
        self.house: tree.House | None = None
        # Recent versions, so that the author of a void change can be told
        # which paths conflict.
        self._recent: collections.OrderedDict[ids.Offset, SettingsVersion] = (
            collections.OrderedDict()
        )

    @property
    def offset(self) -> ids.Offset:
        """The version in force, ``NO_OFFSET`` if there is none."""
        return self.version.offset if self.version else ids.NO_OFFSET

    def apply(self, record: records.LogRecord) -> appender.Verdict:
        """Applies a change if it edits the version in force."""
        offset = record.offset
        try:
            change = _CHANGES.decode(record.envelope.body)
        except codec.CodecError as error:
            return appender.Void(offset, f"not a settings change: {error}")
        if change.base != self.offset:
            reason = f"edits version {change.base}, but {self.offset} is newest"
            return appender.Void(offset, reason)
        version = SettingsVersion(
            offset, change.author, change.summary, change.document
        )
        return self._activate(version)

    def find_recent(self, offset: ids.Offset) -> SettingsVersion | None:
        """Returns a recent version, or None if it is no longer remembered."""
        return self._recent.get(offset)

    def restore(self, version: SettingsVersion | None) -> None:
        """Restores the version of a snapshot, unless it is older."""
        if version is not None and version.offset > self.offset:
            self._activate(version)

    def _activate(self, version: SettingsVersion) -> appender.Verdict:
        """Puts a version in force if its document is valid."""
        source = f"settings version {version.offset}"
        try:
            document = codec.from_json(version.document, dict[str, Any])
            house = check.check_document(document, source)
        except (codec.CodecError, findings.FindingsError) as error:
            return appender.Void(version.offset, str(error))
        self.version = version
        self.house = house
        self._recent[version.offset] = version
        while len(self._recent) > _RECENT_VERSIONS:
            self._recent.popitem(last=False)
        return appender.Applied(version.offset)


def list_changed_paths(old: Any, new: Any, path: str = "") -> list[str]:
    """Returns the sorted paths at which two documents differ."""
    if isinstance(old, dict) and isinstance(new, dict):
        changed = []
        for name in sorted(old.keys() | new.keys()):
            child = f"{path}.{name}" if path else name
            changed += list_changed_paths(old.get(name), new.get(name), child)
        return changed
    return [] if old == new else [path]


def list_conflicts(base: Any, mine: Any, theirs: Any) -> list[str]:
    """Returns the paths that two edits of the same base both changed.

    A path also conflicts with the paths below it: replacing a service
    conflicts with a change of one of its fields.
    """
    mine_paths = list_changed_paths(base, mine)
    their_paths = list_changed_paths(base, theirs)
    return [
        path
        for path in mine_paths
        if any(_overlaps(path, other) for other in their_paths)
    ]


def _overlaps(left: str, right: str) -> bool:
    """Returns whether one path is the other or lies below it."""
    return (
        left == right
        or left.startswith(f"{right}.")
        or right.startswith(f"{left}.")
    )
