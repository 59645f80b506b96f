"""The platform's list of backend servers, as an instance follows it."""

from collections.abc import Callable
import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_entry import feeds
from bridgecross_entry import follower as followers
from bridgecross_entry import invalid_records
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
        book: servers_lib.ServerRegistry,
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
        # The servers that are listed, by their names.
        self.listed: dict[str, model.BackendServer] = {}
        self._feed = feed
        self._decode_entry = decode
        self._book = book
        self._clock = clock
        # Entries that make no sense.
        self.left_aside = invalid_records.InvalidRecords(feed.topic, journal)

    def take_all(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes in the whole list of backend servers."""
        before = self.listed
        self._book.previous_list_as_of_s = self._feed.follower.as_of_s
        self.listed = {}
        for record in records:
            server = self._choose(self._decode(record), before.get(record.key))
            if server is not None:
                self.listed[record.key] = server
        # One that makes no sense is told to nobody; its key counts as gone.
        self._feed.put_all(
            (record for record in records if record.key in self.listed),
            lambda record: _differs(
                self.listed.get(record.key), before.get(record.key)
            ),
        )
        present = {record.key for record in records}
        for name, known in before.items():
            server = self.listed.get(name)
            if server is not None:
                self._note_restart(known, server)
                self._leave_earlier(known, server)
            elif name in present:
                # Its entry is there and names no server to use.
                self._book.remove(known.server_id, log_was_away=False)
        self._book.replace_all(
            self.listed.values(), log_was_away=self._log_was_away()
        )

    def take_changes(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes in changes of the list; most change nothing."""
        self._book.previous_list_as_of_s = self._feed.follower.as_of_s
        newest: dict[str, logs.KeyedRecord] = {}
        # Also those that changed and changed back: others may have seen what
        # was in between.
        changed: set[str] = set()
        servers: dict[str, model.BackendServer | None] = {}
        for record in records:
            key = record.key
            known = servers.get(key, self.listed.get(key))
            server = self._choose(self._decode(record), known)
            if server is known and record.value:
                # It names no server where none stood, or an earlier run.
                continue
            # One that makes no sense is told to nobody.
            told = record if server else logs.KeyedRecord(key, b"")
            if _differs(known, server) or self._is_told:
                changed.add(key)
            if known is not None and server is not None:
                self._note_restart(known, server)
            newest[key], servers[key] = told, server
        for name, server in servers.items():
            self._take_server(name, server)
        self._feed.put(newest.values(), lambda record: record.key in changed)

    @property
    def _is_told(self) -> bool:
        """Whether another instance told what is taken of the servers."""
        return self._feed.follower.source is followers.Source.PEER

    def _take_server(
        self, name: str, server: model.BackendServer | None
    ) -> None:
        """Takes in one entry of the list, or that it is gone."""
        known = self.listed.pop(name, None)
        if server is None:
            if known is not None:
                self._book.remove(
                    known.server_id, log_was_away=self._log_was_away()
                )
            return
        self.listed[name] = server
        if known is not None:
            self._leave_earlier(known, server)
        self._book.put(server)

    def _choose(
        self,
        server: model.BackendServer | None,
        known: model.BackendServer | None,
    ) -> model.BackendServer | None:
        """Returns which of two runs of a server stands in the list.

        An entry that its server wrote before it started again may be done
        after the first one of the new run; the earlier run has ended. One that
        tells no start, where the server does, is not the server's.
        """
        if server is None or known is None or known.started_ms is None:
            return server
        if server.started_ms is None:
            error = ValueError("it tells no start, as its server does")
            self.left_aside.note("entry_unreadable", server.name, error)
            return None
        return server if server.started_ms >= known.started_ms else known

    def _note_restart(
        self, known: model.BackendServer, server: model.BackendServer
    ) -> None:
        """Takes in that a server has started again, if it has.

        The earlier run has ended. Orders that were meant for it may have
        reached the new one.
        """
        if (server.started_ms or 0) > (known.started_ms or 0):
            reason = f"it has started again as {server.server_id}"
            self._book.end(known.server_id, reason)

    def _leave_earlier(
        self, known: model.BackendServer, server: model.BackendServer
    ) -> None:
        """Gives up another run that stood in the list before."""
        if known.server_id != server.server_id:
            # It need not have ended: gone in between, and by its clock the
            # new run began before it.
            self._book.remove(known.server_id, log_was_away=False)

    def _decode(self, record: logs.KeyedRecord) -> model.BackendServer | None:
        """Returns the server of an entry; None if it names none to use."""
        if not record.value:
            return None
        try:
            return self._decode_entry(record)
        except Exception as error:
            # Whatever others wrote, it must not stop the topic.
            self.left_aside.note("entry_unreadable", record.key, error)
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

    The rest of the time for which a server is cold runs off by itself; others
    must be told if it has grown, since the server has turned cold again.
    """
    if known is None or listed is None:
        return known is not listed
    left_ms = listed.warmup_left_ms
    if left_ms > known.warmup_left_ms:
        return True
    return dataclasses.replace(known, warmup_left_ms=left_ms) != listed
