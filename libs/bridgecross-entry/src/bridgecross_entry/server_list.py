"""The platform's list of backend servers, as an instance follows it."""

from collections.abc import Callable
import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_core import findings
from bridgecross_core import ids
from bridgecross_entry import feeds
from bridgecross_entry import follower as followers
from bridgecross_entry import journal as journals
from bridgecross_entry import log as logs
from bridgecross_entry import model
from bridgecross_entry import servers as servers_lib

DecodeServer = Callable[[logs.KeyedRecord], model.BackendServer]
"""Reads an entry; raises ``findings.FindingsError`` if it makes no sense."""


class ServerList:
    """Takes entries of the list in, and keeps what others must be told."""

    def __init__(
        self,
        feed: feeds.Feed,
        decode: DecodeServer,
        book: servers_lib.ServerBook,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Knows no server yet.

        Args:
            feed: Keeps what others must be told.
            decode: Reads entries.
            book: Takes in the servers.
            journal: Told of entries that cannot be read.
            clock: For how long the log has been back.
        """
        # The servers that are listed, by their ids.
        self.listed: dict[str, model.BackendServer] = {}
        self._feed = feed
        self._decode_entry = decode
        self._book = book
        self._journal = journal
        self._clock = clock

    def take_all(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes in the whole list of backend servers."""
        before = self.listed
        self._book.heard_before_s = self._feed.follower.heard_s
        self.listed = {}
        for record in records:
            # One that cannot be read changes nothing.
            server = self._decode(record) or before.get(record.key)
            if server is not None:
                self.listed[record.key] = server
        self._feed.put_all(
            records,
            lambda record: _differs(
                self.listed.get(record.key), before.get(record.key)
            ),
        )
        self._book.replace_all(
            self.listed.values(), log_was_away=self._log_was_away()
        )

    def take_changes(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes in changes of the list; most change nothing."""
        self._book.heard_before_s = self._feed.follower.heard_s
        newest: dict[str, logs.KeyedRecord] = {}
        # Also those that changed and changed back: others may have seen what
        # was in between.
        changed: set[str] = set()
        servers: dict[str, model.BackendServer | None] = {}
        for record in records:
            server = self._decode(record)
            if server is None and record.value:
                # It cannot be read, and changes nothing.
                continue
            key = record.key
            known = servers.get(key, self.listed.get(key))
            if _differs(known, server) or self._is_told:
                changed.add(key)
            newest[key], servers[key] = record, server
        for server_id, server in servers.items():
            self._take_server(server_id, server)
        self._feed.put(newest.values(), lambda record: record.key in changed)

    @property
    def _is_told(self) -> bool:
        """Whether another instance told what is taken of the servers."""
        return self._feed.follower.source is followers.Source.PEER

    def _take_server(
        self, server_id: str, server: model.BackendServer | None
    ) -> None:
        """Takes in one entry of the list, or that it is gone."""
        if server is not None:
            self.listed[server_id] = server
            self._book.put(server)
            return
        self.listed.pop(server_id, None)
        self._book.remove(
            ids.ServerId(server_id), log_was_away=self._log_was_away()
        )

    def _decode(self, record: logs.KeyedRecord) -> model.BackendServer | None:
        """Returns the server of an entry; None if it makes no sense."""
        if not record.value:
            return None
        try:
            return self._decode_entry(record)
        except findings.FindingsError as error:
            self._journal.decision("entry_unreadable", reason=str(error))
            return None

    def _log_was_away(self) -> bool:
        """Whether entries may have lapsed only for want of the log."""
        follower = self._feed.follower
        now_s = self._clock.monotonic_s()
        grace_s = self._book.settings.lapse_grace_s
        return (
            follower.lost_since_s is not None
            or now_s < follower.regained_s + grace_s
        )


def _differs(
    known: model.BackendServer | None, listed: model.BackendServer | None
) -> bool:
    """Whether others must be told of a change of an entry.

    The rest of the time for which a server is slow runs off by itself.
    """
    if known is None or listed is None:
        return known is not listed
    left_ms = listed.warmup_left_ms
    return dataclasses.replace(known, warmup_left_ms=left_ms) != listed
