"""What an instance believes: servers, configuration and key maps.

All of it comes from topics of the platform's log. One instance reads them and
tells the others; each reads for itself when it is not told.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import NamedTuple
from typing import Protocol

import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import codec as codecs
from bridgecross_core import findings
from bridgecross_core import ids
from bridgecross_core import pulse
from bridgecross_entry import follower as followers
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import log as logs
from bridgecross_entry import model
from bridgecross_entry import servers as servers_lib

KEY_TOPIC = "keyed.bridgecross-keys"
"""Key maps, one record a service."""

INSTANCE_TOPIC = "keyed.bridgecross-instances"
"""Where the instances listen; the address is the key."""


class ListedInstance(NamedTuple):
    """What an instance tells of itself."""

    name: str
    # Whether its machine is too weak to lead many others.
    is_weak: bool


INSTANCES = codecs.Codec(ListedInstance)
"""How instances stand in their topic."""


@dataclasses.dataclass(frozen=True, slots=True)
class BeliefSettings:
    """How often the log is read."""

    # Servers write their entries several times a second together, so waiting
    # in the log returns at once; this bounds the age of the list well under
    # the drain bound of 2 s.
    list_pause_s: float = 0.7
    # A read that arrives while a record is being appended has been seen to
    # wait on although the record was there, until its time was over. So for
    # configurations, in force within 2 s, the time is short.
    configuration_wait_ms: float = 1_200.0
    # A new instance waits for the leader's word until this one has read of it.
    instance_wait_ms: float = 1_200.0
    # Key maps are pushed by their coordinator; the log is the second way.
    key_wait_ms: float = 5_000.0
    # Bounds the rate of reads while changes come in quick succession.
    quiet_pause_s: float = 0.05
    # The same for key maps, which change several times a second when load
    # shifts and have come by another way by then.
    key_pause_s: float = 0.7
    # Reads whose news are told again, so that an instance that missed some
    # words need not read for itself, which it may not be able to: those of
    # 2 s. A configuration of 140 routes has 4 KB deflated, and told to 100
    # instances it fills a link of 10 Mbit/s for 0.3 s, so it is told twice.
    told_again_count: int = 3
    configuration_told_again_count: int = 1
    # A list of servers older than this is not acted upon: two polls, so that
    # one that takes long does not stop the work.
    list_fresh_s: float = 1.6


class TopicBatch(NamedTuple):
    """What was read of one topic."""

    topic: str
    # The offset from which was read, and the one to read on from.
    first_offset: int
    next_offset: int
    # Records that changed something.
    records: tuple[logs.KeyedRecord, ...]


class Decoder(Protocol):
    """Reads records of the platform."""

    @property
    def server_topic(self) -> str:
        """The topic that lists the backend servers."""

    @property
    def configuration_topic(self) -> str:
        """The topic of the operator's configuration."""

    def decode_server(self, record: logs.KeyedRecord) -> model.BackendServer:
        """Returns the backend server of an entry.

        Raises:
            findings.FindingsError: The entry makes no sense.
        """

    def decode_configuration(
        self, record: logs.KeyedRecord
    ) -> model.Configuration | None:
        """Returns a configuration; None if the record holds none.

        Raises:
            findings.FindingsError: The configuration makes no sense.
        """


class _ToldNews(NamedTuple):
    """News that were told, and from where on."""

    first_offset: int
    news: dict[str, logs.KeyedRecord]


class _Feed:
    """A follower, and what it took in since it was last told to others."""

    def __init__(self, topic: str, told_again_count: int) -> None:
        """Has taken in nothing."""
        self.topic = topic
        self.follower: followers.Follower
        self.told_offset: int | None = None
        # The newest record of each key that changed.
        self.news: dict[str, logs.KeyedRecord] = {}
        # What was told last, the oldest first.
        self._told: collections.deque[_ToldNews]
        self._told = collections.deque(maxlen=told_again_count)

    def begin(self) -> None:
        """Starts to keep news, from here on."""
        self.told_offset = self.follower.next_offset
        self.news = {}

    def end(self) -> None:
        """Keeps no more news."""
        self.told_offset = None
        self.news = {}
        self._told.clear()

    def keep(self, records: Iterable[logs.KeyedRecord]) -> None:
        """Keeps records to tell others, if it is for this one to tell."""
        if self.told_offset is not None:
            self.news |= {record.key: record for record in records}

    def take_news(self) -> TopicBatch | None:
        """Returns what to tell others; None if there is nothing to say.

        What was told just before is in it as well. Each key stands there once,
        with its newest record, so taking it again changes nothing.
        """
        next_offset = self.follower.next_offset
        if self.told_offset is None or next_offset is None:
            self.begin()
            return None
        new = _ToldNews(self.told_offset, self.news)
        merged: dict[str, logs.KeyedRecord] = {}
        for told in (*self._told, new):
            merged |= told.news
        first_offset = self._told[0].first_offset if self._told else None
        if first_offset is None:
            first_offset = new.first_offset
        self._told.append(new)
        self.begin()
        return TopicBatch(
            self.topic, first_offset, next_offset, tuple(merged.values())
        )


class Beliefs:
    """Follows the log's topics and keeps what they say."""

    def __init__(
        self,
        settings: BeliefSettings,
        log: logs.PlatformLog,
        decoder: Decoder,
        book: servers_lib.ServerBook,
        table: keymap.KeyTable,
        configure: Callable[[model.Configuration], None],
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Reads nothing yet.

        Args:
            settings: How often to read.
            log: The platform's log.
            decoder: Reads its records.
            book: Takes in the servers.
            table: Takes in the key maps.
            configure: Called with each newer configuration.
            journal: Told of changes, and of what cannot be read.
            clock: For ages.
        """
        self.configuration: model.Configuration | None = None
        # Where the instances listen, this one included.
        self.instances: set[model.Address] = set()
        # Those that should lead only if no other can.
        self.weak_instances: set[model.Address] = set()
        # Notified when there is something to tell others.
        self.news = pulse.Pulse()
        self._settings = settings
        self._log = log
        self._decoder = decoder
        self._book = book
        book.list_is_fresh = lambda: self.list_is_fresh
        self._table = table
        self._configure = configure
        self._journal = journal
        self._clock = clock
        self._listed: dict[str, model.BackendServer] = {}
        self._servers, self._keys, self._instances = (
            _Feed(topic, settings.told_again_count)
            for topic in (decoder.server_topic, KEY_TOPIC, INSTANCE_TOPIC)
        )
        self._configurations = _Feed(
            decoder.configuration_topic, settings.configuration_told_again_count
        )
        self._feeds = (
            self._servers,
            self._configurations,
            self._keys,
            self._instances,
        )
        self._attach(
            self._servers,
            (0, settings.list_pause_s),
            self._take_all_servers,
            self._take_servers,
        )
        self._attach(
            self._configurations,
            (settings.configuration_wait_ms, settings.quiet_pause_s),
            self._take_configurations,
            self._take_configurations,
        )
        self._attach(
            self._keys,
            (settings.key_wait_ms, settings.key_pause_s),
            self._take_maps,
            self._take_maps,
        )
        self._attach(
            self._instances,
            (settings.instance_wait_ms, settings.quiet_pause_s),
            self._take_instances,
            self._take_instances,
        )

    def _attach(
        self,
        feed: _Feed,
        pace: tuple[float, float],
        take_all: Callable[[tuple[logs.KeyedRecord, ...]], None],
        take_changes: Callable[[tuple[logs.KeyedRecord, ...]], None],
    ) -> None:
        """Gives a feed its follower."""
        on_read = self.news.notify if feed is self._servers else None
        feed.follower = followers.Follower(
            followers.FollowSettings(feed.topic, *pace),
            self._log,
            take_all,
            take_changes,
            self._journal,
            self._clock,
            on_read,
        )

    @property
    def key_follower(self) -> followers.Follower:
        """Follows the key maps."""
        return self._keys.follower

    def topic_statuses(self) -> tuple[followers.TopicStatus, ...]:
        """Returns how well each topic is known."""
        return tuple(feed.follower.status for feed in self._feeds)

    @property
    def list_heard_s(self) -> float | None:
        """When the list of servers was last heard of."""
        return self._servers.follower.heard_s

    @property
    def log_is_lost(self) -> bool:
        """Whether the list of servers could not be read just now."""
        return self._servers.follower.lost_since_s is not None

    @property
    def list_is_fresh(self) -> bool:
        """Whether the list of servers was read just now."""
        heard_s = self.list_heard_s
        if heard_s is None:
            return False
        age_s = self._clock.monotonic_s() - heard_s
        return age_s < self._settings.list_fresh_s

    @property
    def knows_instances(self) -> bool:
        """Whether the list of instances has been read."""
        return self._instances.follower.next_offset is not None

    @property
    def is_complete(self) -> bool:
        """Whether there is enough to route requests by."""
        return self.configuration is not None and self.list_heard_s is not None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to follow all topics."""
        for feed in self._feeds:
            tasks.start_soon(feed.follower.run)

    # Telling others.

    def begin_telling(self) -> None:
        """Reads for all from now on, waiting for nobody's word."""
        for feed in self._feeds:
            feed.follower.stop_waiting()

    def stop_telling(self) -> None:
        """Keeps no news any more, since another instance tells."""
        for feed in self._feeds:
            feed.end()

    def take_news(self) -> tuple[TopicBatch, ...]:
        """Returns what was read since the last call, from the second on."""
        batches = [feed.take_news() for feed in self._feeds]
        return tuple(batch for batch in batches if batch is not None)

    def take_relayed(self, batches: tuple[TopicBatch, ...]) -> None:
        """Takes in what another instance read."""
        for batch in batches:
            feed = next(
                (f for f in self._feeds if f.topic == batch.topic), None
            )
            if feed is None:
                continue
            feed.follower.take_relayed(
                batch.first_offset, logs.Batch(batch.records, batch.next_offset)
            )

    def take_lost(self) -> None:
        """Takes it that the instance that reads for all has lost the log."""
        for feed in self._feeds:
            is_urgent = feed in {self._servers, self._configurations}
            feed.follower.take_lost(is_urgent=is_urgent)

    # Servers.

    def _take_all_servers(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes in the whole list of backend servers."""
        before = self._listed
        self._book.heard_before_s = self.list_heard_s
        self._listed = {
            server.server_id: server
            for server in map(self._decode_server, records)
            if server is not None
        }
        self._servers.keep(
            record
            for record in records
            if _differs(self._listed.get(record.key), before.get(record.key))
        )
        self._servers.keep(
            logs.KeyedRecord(server_id, b"")
            for server_id in before.keys() - self._listed.keys()
        )
        self._book.replace_all(
            self._listed.values(), log_was_away=self._log_was_away()
        )

    def _take_servers(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes in changes of the list; most change nothing."""
        newest = {record.key: record for record in records}
        self._book.heard_before_s = self.list_heard_s
        for record in newest.values():
            server = self._decode_server(record)
            if server is not None:
                if _differs(self._listed.get(record.key), server):
                    self._servers.keep([record])
                self._listed[record.key] = server
                self._book.put(server)
            elif not record.value:
                self._servers.keep([record])
                self._listed.pop(record.key, None)
                self._book.remove(
                    ids.ServerId(record.key),
                    log_was_away=self._log_was_away(),
                )

    def _decode_server(
        self, record: logs.KeyedRecord
    ) -> model.BackendServer | None:
        """Returns the server of an entry; None if it makes no sense."""
        if not record.value:
            return None
        try:
            return self._decoder.decode_server(record)
        except findings.FindingsError as error:
            self._journal.decision("entry_unreadable", reason=str(error))
            return None

    def _log_was_away(self) -> bool:
        """Whether entries may have lapsed only for want of the log."""
        follower = self._servers.follower
        now_s = self._clock.monotonic_s()
        grace_s = self._book.settings.lapse_grace_s
        return (
            follower.lost_since_s is not None
            or now_s < follower.regained_s + grace_s
        )

    # Configurations.

    def _take_configurations(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Takes the newest configuration, never an older one."""
        self._configurations.keep(records)
        self.news.notify()
        for record in records:
            try:
                new = self._decoder.decode_configuration(record)
            except findings.FindingsError as error:
                self._journal.lifecycle(
                    "configuration_unreadable", reason=str(error)
                )
                continue
            if new is not None:
                self._take_configuration(new)

    def _take_configuration(self, new: model.Configuration) -> None:
        """Puts a configuration in force if it is newer."""
        current = self.configuration
        version = current.version if current else None
        if version is not None and new.version <= version:
            if new.version < version:
                self._journal.lifecycle(
                    "configuration_is_older",
                    version=new.version,
                    current=version,
                )
            return
        self.configuration = new
        self._configure(new)
        self._journal.lifecycle(
            "configuration_in_force",
            version=new.version,
            previous=version,
            routes=len(new.routes),
            services=len(new.services),
            source=self._configurations.follower.source.value,
            known_to=self._configurations.follower.next_offset,
        )

    # Key maps.

    def _take_maps(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes key maps."""
        self._keys.keep(records)
        for record in records:
            try:
                self._table.put(keymap.decode(record.value), "log")
            except codecs.CodecError as error:
                self._journal.lifecycle(
                    "key_map_unreadable",
                    service=record.key,
                    reason=str(error),
                )

    # Instances.

    def _take_instances(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes in where instances listen, or no longer do."""
        self._instances.keep(records)
        self.news.notify()
        for record in records:
            try:
                address = model.parse_address(record.key)
            except ValueError as error:
                self._journal.lifecycle(
                    "instance_unreadable", reason=str(error)
                )
                continue
            if not record.value:
                self.instances.discard(address)
                continue
            self.instances.add(address)
            if self._is_weak(record):
                self.weak_instances.add(address)
            else:
                self.weak_instances.discard(address)

    def _is_weak(self, record: logs.KeyedRecord) -> bool:
        """Whether an instance should lead only if no other can."""
        try:
            return INSTANCES.decode(record.value).is_weak
        except codecs.CodecError as error:
            self._journal.lifecycle("instance_unreadable", reason=str(error))
            return False


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
