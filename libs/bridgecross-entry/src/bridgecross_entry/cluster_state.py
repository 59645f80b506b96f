"""What an instance believes: servers, configuration and key maps.

All of it comes from topics of the platform's log. One instance reads them and
tells the others; each reads for itself when it is not told.
"""

from collections.abc import Callable
import dataclasses
import math
from typing import NamedTuple
from typing import Protocol

import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import codec as codecs
from bridgecross_core import notifier
from bridgecross_entry import evacuations
from bridgecross_entry import feeds
from bridgecross_entry import follower as followers
from bridgecross_entry import invalid_records
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import log as logs
from bridgecross_entry import model
from bridgecross_entry import server_list
from bridgecross_entry import servers as servers_lib
from bridgecross_entry import tasks as tasks_lib

KEY_TOPIC = "keyed.bridgecross-keys"
"""Key maps, one record a service."""

INSTANCE_TOPIC = "keyed.bridgecross-instances"
"""What all instances have to know of one another: where each listens, by its
address, and which requests are refused. Each topic costs every instance calls
of its own."""

REFUSED_PREFIX = "refused/"
"""Begins the keys of records that name a request that is refused."""


class ListedInstance(NamedTuple):
    """What an instance tells of itself."""

    name: str
    # Whether its machine is too weak to lead many others.
    is_weak: bool
    # The failure domain that it runs in; empty if it did not tell.
    failure_domain: str = ""


INSTANCES = codecs.Codec(ListedInstance)
"""How instances stand in their topic."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterStateSettings:
    """How often the log is read."""

    # Servers write their entries several times a second together, so waiting
    # in the log returns at once; this bounds the age of the list well under
    # the drain bound of 2 s.
    list_pause_s: float = 0.7
    # A read that arrives while a record is being appended has been seen to
    # wait on although the record was there, until its time was over. The time
    # is short so that, with the 0.7 s until the leader's next word, what the
    # others know stays younger than the age at which they read for themselves.
    # It costs the leader 2.2 calls a second.
    configuration_wait_ms: float = 400.0
    # The age of the list and of the configuration at which an instance reads
    # them for itself. While all is well they grow 1.2 s old: 0.46 s between two
    # answers of the log, and 0.71 s until the word after. A change is in force
    # after this age, 0.1 s to look, 0.01 s to read and 0.3 s for a second try:
    # 1.7 s of the 2 s allowed (docs/design/age-of-beliefs.md).
    own_read_age_s: float = 1.3
    # For so long after its start an instance leaves all reading to the leader;
    # see ``FIRST_START_SETTINGS``.
    first_read_wait_s: float = 0.0
    # A new instance waits for the leader's word until this one has read of it.
    instance_wait_ms: float = 1_200.0
    # Key maps are pushed by their coordinator; the log is the second way.
    key_wait_ms: float = 5_000.0
    # Bounds the rate of reads while changes come in quick succession.
    quiet_pause_s: float = 0.05
    # The same for key maps, which change several times a second when load
    # shifts and have come by another way by then.
    key_pause_s: float = 0.7
    # A list of servers older than this is not acted upon: two polls, so that
    # one that takes long does not stop the work.
    list_fresh_s: float = 1.6


FIRST_START_SETTINGS = ClusterStateSettings(first_read_wait_s=4.0)
"""While the whole system starts for the first time there is no hurry: callers
come about ten seconds later, and after two a leader is found and has told
everybody. Four reads of each instance are then one of the leader; calls to the
log are priced and their rate is bounded, and hundreds of instances start
together."""


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

    def decode_evacuation(
        self, record: logs.KeyedRecord
    ) -> evacuations.EvacuationChange | None:
        """Returns what a record of the configuration's topic says of a domain.

        None if it says nothing of any.

        Raises:
            findings.FindingsError: It makes no sense.
        """


class TopicOffset(NamedTuple):
    """Up to where an instance knows a topic."""

    topic: str
    # The offset to read on from; None if nothing is known.
    next_offset: int | None


Offsets = tuple[TopicOffset, ...]
"""Up to where an instance knows the topics."""


class ClusterState:
    """Follows the log's topics and keeps what they say."""

    def __init__(
        self,
        settings: ClusterStateSettings,
        log: logs.PlatformLog,
        decoder: Decoder,
        book: servers_lib.ServerRegistry,
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
        # Called with the key and the value of a record that names a request
        # that is refused, or no longer.
        self.on_refused: Callable[[str, bytes], None] = lambda *_: None
        # Where the instances listen, this one included.
        self.instances: set[model.Address] = set()
        # Those that should lead only if no other can.
        self.weak_instances: set[model.Address] = set()
        # The strong ones by failure domain; replaced when one comes or goes.
        self._strong: dict[str, tuple[model.Address, ...]] = {}
        # When a word about an instance last came.
        self._instances_changed_s = clock.monotonic_s()
        # Notified when there is something to tell others.
        self.updated = notifier.Notifier()
        self._settings = settings
        self._log = log
        self._decoder = decoder
        self._book = book
        self._table = table
        self._configure = configure
        self._journal = journal
        self._clock = clock
        self._configuration_is_unreadable = False
        topics = (decoder.configuration_topic, KEY_TOPIC, INSTANCE_TOPIC)
        self._aside = {
            topic: invalid_records.InvalidRecords(topic, journal)
            for topic in topics
        }
        self._servers = feeds.Feed(decoder.server_topic)
        self._list = server_list.ServerList(
            self._servers, decoder.decode_server, book, journal, clock
        )
        self._follow(
            self._servers,
            (0, settings.list_pause_s),
            self._list.take_all,
            self._list.take_changes,
            is_urgent=True,
        )
        self._configurations = feeds.Feed(decoder.configuration_topic)
        self._follow(
            self._configurations,
            (settings.configuration_wait_ms, settings.quiet_pause_s),
            self._take_all_configurations,
            self._take_configurations,
            is_urgent=True,
        )
        self._keys = feeds.Feed(KEY_TOPIC)
        self._follow(
            self._keys,
            (settings.key_wait_ms, settings.key_pause_s),
            self._take_all_maps,
            self._take_maps,
        )
        self._instances = feeds.Feed(INSTANCE_TOPIC)
        self._follow(
            self._instances,
            (settings.instance_wait_ms, settings.quiet_pause_s),
            self._take_all_instances,
            self._take_instances,
        )
        self._feeds = (
            self._servers,
            self._configurations,
            self._keys,
            self._instances,
        )

    def _follow(
        self,
        feed: feeds.Feed,
        pace: tuple[float, float],
        take_all: Callable[[tuple[logs.KeyedRecord, ...]], None],
        take_changes: Callable[[tuple[logs.KeyedRecord, ...]], None],
        *,
        is_urgent: bool = False,
    ) -> None:
        """Gives a feed its follower, which reads nothing yet."""
        is_list = feed is self._servers
        own_read_age_s = self._settings.own_read_age_s
        feed.follower = followers.Follower(
            followers.FollowSettings(
                feed.topic,
                *pace,
                is_urgent=is_urgent,
                own_read_age_s=own_read_age_s if is_urgent else math.inf,
                first_read_wait_s=self._settings.first_read_wait_s,
            ),
            self._log,
            take_all,
            take_changes,
            self._journal,
            self._clock,
            self.updated.notify if is_list else None,
        )

    @property
    def key_follower(self) -> followers.Follower:
        """Follows the key maps."""
        return self._keys.follower

    def take_topic_statuses(self) -> tuple[followers.TopicStatus, ...]:
        """Returns how well each topic is known; longest ages start anew."""
        return tuple(feed.follower.take_status() for feed in self._feeds)

    def unreadable_counts(self) -> dict[str, int]:
        """Returns how many records made no sense, by topic."""
        counts = {topic: each.count for topic, each in self._aside.items()}
        counts[self._servers.topic] = self._list.left_aside.count
        return counts

    def _aside_of(self, feed: feeds.Feed) -> invalid_records.InvalidRecords:
        """Returns what was left aside of a topic."""
        return self._aside[feed.topic]

    @property
    def server_list_as_of_s(self) -> float | None:
        """When the list of servers was last heard of."""
        return self._servers.follower.as_of_s

    @property
    def configuration_age_s(self) -> float:
        """How long ago the configuration was known to be the newest.

        Infinite if a newer one could not be read.
        """
        if self._configuration_is_unreadable:
            return float("inf")
        return self._configurations.follower.age_s

    @property
    def list_is_lost(self) -> bool:
        """Whether the list of servers could not be read just now."""
        return self._servers.follower.lost_since_s is not None

    @property
    def list_is_fresh(self) -> bool:
        """Whether the list of servers was read just now."""
        heard_s = self.server_list_as_of_s
        if heard_s is None:
            return False
        age_s = self._clock.monotonic_s() - heard_s
        return age_s < self._settings.list_fresh_s

    @property
    def knows_instances(self) -> bool:
        """Whether the list of instances has been read."""
        return self._instances.follower.next_offset is not None

    @property
    def has_lost_a_topic(self) -> bool:
        """Whether there is a topic that this instance cannot read."""
        return any(feed.follower.is_lost for feed in self._feeds)

    @property
    def instances_are_lost(self) -> bool:
        """Whether instances may have listed themselves unseen."""
        return self._instances.follower.is_lost

    @property
    def instances_age_s(self) -> float:
        """How long ago the list of instances was known to be the newest."""
        return self._instances.follower.age_s

    @property
    def instances_unchanged_for_s(self) -> float:
        """For how long nothing has been heard of any instance."""
        return self._clock.monotonic_s() - self._instances_changed_s

    @property
    def is_complete(self) -> bool:
        """Whether there is enough to route requests by."""
        return (
            self.configuration is not None
            and self.server_list_as_of_s is not None
        )

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to follow all topics."""
        for feed in self._feeds:
            tasks.start_soon(
                tasks_lib.keep_running, feed.follower.run, self._journal
            )

    # Telling others.

    def start_relaying(self) -> None:
        """Reads for all from now on, waiting for nobody's word."""
        for feed in self._feeds:
            feed.follower.stop_awaiting_relay()

    def offsets(self) -> Offsets:
        """Returns up to where this instance knows the topics."""
        return tuple(
            TopicOffset(feed.topic, feed.follower.next_offset)
            for feed in self._feeds
        )

    def changes_since(self, known: Offsets) -> tuple[followers.TopicBatch, ...]:
        """Returns what one that knows the topics up to some offsets is told.

        Args:
            known: Up to where it knows them; topics that are missing, not at
                all.
        """
        offset_of = {each.topic: each.next_offset for each in known}
        batches = [
            feed.since(offset_of.get(feed.topic)) for feed in self._feeds
        ]
        return tuple(batch for batch in batches if batch is not None)

    def apply_relayed(
        self,
        batches: tuple[followers.TopicBatch, ...],
        delay_s: float | None = 0.0,
    ) -> None:
        """Takes in what the instance that reads for all knows.

        Args:
            batches: What it told.
            delay_s: For how long that was under way at the most; None if that
                is not known.
        """
        for feed, batch in self._match(batches):
            known_to = feed.follower.next_offset
            feed.follower.apply_relayed(batch, delay_s)
            if feed.follower.next_offset != known_to:
                feed.note_applied(batch)

    def _match(
        self, batches: tuple[followers.TopicBatch, ...]
    ) -> list[tuple[feeds.Feed, followers.TopicBatch]]:
        """Returns batches with their feeds; topics not known are left out."""
        feed_of = {feed.topic: feed for feed in self._feeds}
        return [
            (feed_of[batch.topic], batch)
            for batch in batches
            if batch.topic in feed_of
        ]

    def changes_for_lost_topics(
        self, batches: tuple[followers.TopicBatch, ...]
    ) -> tuple[followers.TopicBatch, ...]:
        """Returns what is known here of topics that a teller cannot read.

        Args:
            batches: What it told, which says what it cannot read.
        """
        found = [
            feed.since(batch.next_offset)
            for feed, batch in self._match(batches)
            if batch.is_lost
        ]
        return tuple(batch for batch in found if batch and batch.records)

    def apply_from_follower(
        self, batches: tuple[followers.TopicBatch, ...]
    ) -> None:
        """Takes in what another instance knows beyond this one."""
        for feed, batch in self._match(batches):
            known_to = feed.follower.next_offset
            feed.follower.apply_from_follower(batch)
            if feed.follower.next_offset != known_to:
                feed.note_applied(batch)

    def is_behind(self, batches: tuple[followers.TopicBatch, ...]) -> bool:
        """Whether one that tells some batches knows more than this one."""
        known_to = {each.topic: each.next_offset for each in self.offsets()}
        return any(
            _is_before(known_to[batch.topic], batch.next_offset)
            for batch in batches
            if batch.topic in known_to
        )

    # The operator's words: configurations and evacuations.

    def _take_all_configurations(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Takes the newest words, which may be known."""
        self._configurations.put_all(records)
        evacuated = self._book.evacuations.domains
        words, unclear = self._read_evacuations(records)
        # What no record says any more is over; what cannot be read stands.
        gone = evacuated - {word.domain for word in words} - unclear
        words += [
            evacuations.EvacuationChange(domain, False)
            for domain in sorted(gone)
        ]
        self._evacuate(words)
        self._apply_configurations(records)

    def _take_configurations(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Takes words that followed."""
        self._configurations.put(records)
        words, _ = self._read_evacuations(records)
        self._evacuate(words)
        self._apply_configurations(records)

    def _read_evacuations(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> tuple[list[evacuations.EvacuationChange], set[str]]:
        """Returns what records say of failure domains.

        Returns:
            What they say, and the domains of which they say something that
            cannot be read.
        """
        words = []
        unclear = set()
        for record in records:
            try:
                word = self._decoder.decode_evacuation(record)
            except Exception as error:
                self._aside_of(self._configurations).note(
                    "evacuation_unreadable", record.key, error
                )
                unclear |= self._domain_in_key(record)
                continue
            if word is not None:
                words.append(word)
        return words, unclear

    def _domain_in_key(self, record: logs.KeyedRecord) -> set[str]:
        """Returns the domain that a record is about whose value is unclear."""
        try:
            word = self._decoder.decode_evacuation(record._replace(value=b""))
        except Exception as error:
            self._aside_of(self._configurations).note(
                "evacuation_unreadable", record.key, error
            )
            return set()
        return {word.domain} if word else set()

    def _evacuate(self, words: list[evacuations.EvacuationChange]) -> None:
        """Puts what the operator says of failure domains in force."""
        if words:
            known_s = self._configurations.follower.as_of_s
            self._book.evacuate(words, known_s)

    def _apply_configurations(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Puts the newest configuration in force, never an older one."""
        self.updated.notify()
        for record in records:
            try:
                new = self._decoder.decode_configuration(record)
            except Exception as error:
                self._aside_of(self._configurations).note(
                    "configuration_unreadable", record.key, error
                )
                self._configuration_is_unreadable = True
                continue
            if new is not None:
                self._take_configuration(new)
                self._configuration_is_unreadable = False

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
        try:
            self._configure(new)
        except BaseException:
            self.configuration = current
            raise
        follower = self._configurations.follower
        self._journal.lifecycle(
            "configuration_in_force",
            version=new.version,
            previous=version,
            routes=len(new.routes),
            services=len(new.services),
            source=follower.source.value,
            known_to=follower.next_offset,
            # The one before may have been out of force for so long at most.
            known_s_ago=(
                None if follower.as_of_s is None else round(follower.age_s, 3)
            ),
        )

    # Key maps.

    def _take_all_maps(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes the newest key map of each service."""
        self._keys.put_all(records)
        self._apply_maps(records)

    def _take_maps(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes key maps that followed."""
        self._keys.put(records)
        self._apply_maps(records)

    def _apply_maps(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Puts key maps into the table, which takes no older ones."""
        for record in records:
            try:
                key_map = keymap.decode(record.value)
            except Exception as error:
                self._aside_of(self._keys).note(
                    "key_map_unreadable", record.key, error
                )
                continue
            self._table.put(key_map, "log")

    # Instances.

    def _take_all_instances(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Takes in where all instances listen; others are gone."""
        self._instances.put_all(records)
        # What came and went in between is not known.
        self._instances_changed_s = self._clock.monotonic_s()
        self.instances.clear()
        self.weak_instances.clear()
        self._strong.clear()
        self._apply_instances(records)

    def _take_instances(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes in where instances listen, or no longer do."""
        self._instances.put(records)
        self._apply_instances(records)

    def _apply_instances(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Adds and takes off instances."""
        self.updated.notify()
        for record in records:
            if record.key.startswith(REFUSED_PREFIX):
                self._take_refused(record)
                continue
            try:
                address = model.parse_address(record.key)
            except ValueError as error:
                self._note_instance(record, error)
                continue
            self._instances_changed_s = self._clock.monotonic_s()
            self._set_strong(address, None)
            if not record.value:
                self.instances.discard(address)
                continue
            self.instances.add(address)
            listed = self._decode_instance(record)
            if listed is not None and listed.is_weak:
                self.weak_instances.add(address)
                continue
            self.weak_instances.discard(address)
            if listed is not None and listed.failure_domain:
                self._set_strong(address, listed.failure_domain)

    def _take_refused(self, record: logs.KeyedRecord) -> None:
        """Passes on which request is refused, or no longer."""
        try:
            self.on_refused(record.key, record.value)
        except Exception as error:
            self._note_instance(record, error)

    def strong_instances(self, domain: str) -> tuple[model.Address, ...]:
        """Returns the instances of a failure domain that are not weak.

        The same object until one of them comes or goes.
        """
        return self._strong.get(domain, ())

    def _set_strong(self, address: model.Address, domain: str | None) -> None:
        """Keeps a strong instance's failure domain; None if it has none."""
        for known, addresses in self._strong.items():
            if address in addresses and known != domain:
                kept = tuple(each for each in addresses if each != address)
                self._strong[known] = kept
        if domain is not None:
            others = self._strong.get(domain, ())
            if address not in others:
                self._strong[domain] = (*others, address)

    def _decode_instance(
        self, record: logs.KeyedRecord
    ) -> ListedInstance | None:
        """Returns what an instance tells of itself, if it can be read."""
        try:
            return INSTANCES.decode(record.value)
        except Exception as error:
            self._note_instance(record, error)
            return None

    def _note_instance(
        self, record: logs.KeyedRecord, error: Exception
    ) -> None:
        """Leaves aside what an instance is said to tell of itself."""
        self._aside_of(self._instances).note(
            "instance_unreadable", record.key, error
        )


def _is_before(known_to: int | None, next_offset: int) -> bool:
    """Whether a topic is known less far than up to an offset."""
    return known_to is None or known_to < next_offset
