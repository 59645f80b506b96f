"""Follows the platform's list of backend servers."""

from collections.abc import Callable
import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_entry import feeds
from bridgecross_entry import follower as followers
from bridgecross_entry import invalid_records
from bridgecross_entry import journal as journals
from bridgecross_entry import log as logs
from bridgecross_entry import model
from bridgecross_entry import server_registry

DecodeServer = Callable[[logs.KeyedRecord], model.BackendServer]
"""Decodes an entry; raises ``findings.FindingsError`` if it is invalid."""


class ServerList:
    """Applies entries of the list, and stores what must be relayed."""

    def __init__(
        self,
        feed: feeds.Feed,
        decode: DecodeServer,
        registry: server_registry.ServerRegistry,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Initializes an empty list.

        Args:
            feed: Stores what must be relayed to others.
            decode: Decodes entries.
            registry: Receives the servers.
            journal: Receives lines about invalid entries.
            clock: Measures how long ago the log became available again.
        """
        # The listed servers by name.
        self.listed: dict[str, model.BackendServer] = {}
        self._feed = feed
        self._decode_entry = decode
        self._registry = registry
        self._clock = clock
        # Invalid entries.
        self.invalid_records = invalid_records.InvalidRecords(
            feed.topic, journal
        )

    def apply_all(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Replaces the whole list of backend servers."""
        before = self.listed
        self._registry.previous_list_as_of_s = self._feed.follower.as_of_s
        self.listed = {}
        for record in records:
            server = self._choose_run(
                self._decode(record), before.get(record.key)
            )
            if server is not None:
                self.listed[record.key] = server
        # An invalid entry is not relayed; others treat its key as removed.
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
                self._end_earlier_run(known, server)
                self._remove_other_run(known, server)
            elif name in present:
                # Its entry exists but is invalid.
                self._registry.remove(
                    known.server_id, log_was_unavailable=False
                )
        self._registry.replace_all(
            self.listed.values(),
            log_was_unavailable=self._log_was_unavailable(),
        )

    def apply_changes(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Applies changed entries; most of them change nothing that matters."""
        self._registry.previous_list_as_of_s = self._feed.follower.as_of_s
        newest: dict[str, logs.KeyedRecord] = {}
        # Also contains entries that changed and changed back, since other
        # instances may have applied the state in between.
        changed: set[str] = set()
        servers: dict[str, model.BackendServer | None] = {}
        for record in records:
            key = record.key
            known = servers.get(key, self.listed.get(key))
            server = self._choose_run(self._decode(record), known)
            if server is known and record.value:
                # The entry is invalid and none was known, or it is of an
                # earlier run.
                continue
            # An invalid entry is relayed as a removed one.
            relayed = record if server else logs.KeyedRecord(key, b"")
            if _differs(known, server) or self._is_relayed:
                changed.add(key)
            if known is not None and server is not None:
                self._end_earlier_run(known, server)
            newest[key], servers[key] = relayed, server
        for name, server in servers.items():
            self._apply_server(name, server)
        self._feed.put(newest.values(), lambda record: record.key in changed)

    @property
    def _is_relayed(self) -> bool:
        """Whether another instance relayed the records being applied."""
        return self._feed.follower.source is followers.Source.PEER

    def _apply_server(
        self, name: str, server: model.BackendServer | None
    ) -> None:
        """Applies one entry of the list, or its removal."""
        known = self.listed.pop(name, None)
        if server is None:
            if known is not None:
                self._registry.remove(
                    known.server_id,
                    log_was_unavailable=self._log_was_unavailable(),
                )
            return
        self.listed[name] = server
        if known is not None:
            self._remove_other_run(known, server)
        self._registry.put(server)

    def _choose_run(
        self,
        server: model.BackendServer | None,
        known: model.BackendServer | None,
    ) -> model.BackendServer | None:
        """Returns which of two runs of a server is listed.

        An entry that a server wrote before a restart may be appended after the
        first entry of the new run; the earlier run has ended then. An entry
        without a start time was not written by a server that reports its start
        time.
        """
        if server is None or known is None or known.started_ms is None:
            return server
        if server.started_ms is None:
            error = ValueError(
                "the entry has no start time, but its server reports one"
            )
            self.invalid_records.note("entry_unreadable", server.name, error)
            return None
        return server if server.started_ms >= known.started_ms else known

    def _end_earlier_run(
        self, known: model.BackendServer, server: model.BackendServer
    ) -> None:
        """Records that the earlier run has ended, if a server has restarted.

        Orders intended for the earlier run may have reached the new one.
        """
        if (server.started_ms or 0) > (known.started_ms or 0):
            reason = f"it has restarted as {server.server_id}"
            self._registry.end(known.server_id, reason)

    def _remove_other_run(
        self, known: model.BackendServer, server: model.BackendServer
    ) -> None:
        """Removes another run of the server that was listed before."""
        if known.server_id != server.server_id:
            # That run may not have ended: its entry was removed in between, and
            # by the server's clock the new run began earlier.
            self._registry.remove(known.server_id, log_was_unavailable=False)

    def _decode(self, record: logs.KeyedRecord) -> model.BackendServer | None:
        """Returns the server of an entry; None if it is removed or invalid."""
        if not record.value:
            return None
        try:
            return self._decode_entry(record)
        except Exception as error:
            # An invalid record of another writer must not stop the topic.
            self.invalid_records.note("entry_unreadable", record.key, error)
            return None

    def _log_was_unavailable(self) -> bool:
        """Whether entries may have expired for lack of the log."""
        follower = self._feed.follower
        now_s = self._clock.monotonic_s()
        grace_s = self._registry.settings.lapse_grace_s
        return (
            follower.lost_since_s is not None
            or now_s < follower.regained_s + grace_s
        )


def _differs(
    known: model.BackendServer | None, listed: model.BackendServer | None
) -> bool:
    """Whether a change of an entry must be relayed to others.

    The remaining warm-up time decreases by itself. Others must be told only if
    it has increased, since the server has then become cold again.
    """
    if known is None or listed is None:
        return known is not listed
    left_ms = listed.warmup_left_ms
    if left_ms > known.warmup_left_ms:
        return True
    return dataclasses.replace(known, warmup_left_ms=left_ms) != listed
