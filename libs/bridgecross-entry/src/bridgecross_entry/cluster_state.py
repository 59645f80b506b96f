"""An instance's state of the cluster: servers, configuration and key maps.

All of it comes from topics of the platform's log. The leader reads them and
relays the changes to the other instances; an instance to which nothing is
relayed reads the log itself.
"""

from collections.abc import Callable
import dataclasses
import math
from typing import NamedTuple
from typing import Protocol

import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import notifier
from bridgecross_entry import evacuations
from bridgecross_entry import feeds
from bridgecross_entry import follower as followers
from bridgecross_entry import instance_list
from bridgecross_entry import invalid_records
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import log as logs
from bridgecross_entry import model
from bridgecross_entry import server_list
from bridgecross_entry import server_registry
from bridgecross_entry import tasks as tasks_lib

KEY_TOPIC = "keyed.bridgecross-keys"
"""The topic of the key maps, with one record per service."""

INSTANCE_TOPIC = "keyed.bridgecross-instances"
"""The topic of what instances share: records that list each instance, keyed by
its peer address, and records of requests that are refused. Both are in one
topic because each topic costs every instance log calls of its own."""

REFUSED_PREFIX = "refused/"
"""The prefix of the keys of records that name refused requests."""

_LOGGED_WARNINGS_MAX_COUNT = 20
"""The warnings of one configuration that are logged one by one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterStateSettings:
    """The timing of reads of the log."""

    # The pause between reads of the server list. Servers write their entries
    # several times a second together, so a read that waits in the log would
    # return at once. This pause keeps the age of the list well below the drain
    # bound of 2 s.
    list_pause_s: float = 0.7
    # How long a read of the configuration waits in the log. A read that arrived
    # while a record was being appended has been seen to wait until its time was
    # over although the record was there. The time is short so that, with the
    # 0.7 s until the leader's next relay message, what the other instances know
    # stays younger than the age at which they read for themselves. It costs the
    # leader 2.2 calls a second.
    configuration_wait_ms: float = 400.0
    # An instance reads the server list and the configuration itself once they
    # are older than this. In normal operation their age reaches 1.2 s: 0.46 s
    # between two answers of the log, and 0.71 s until the next relay message. A
    # change takes effect after this age, 0.1 s until the next check, 0.01 s for
    # the read and 0.3 s for a second attempt: 1.7 s of the 2 s allowed
    # (docs/design/age-of-beliefs.md).
    own_read_age_s: float = 1.3
    # For this long after its start an instance leaves all reading to the
    # leader; see ``FIRST_START_SETTINGS``.
    first_read_wait_s: float = 0.0
    # How long a read of the instance topic waits in the log. A new instance
    # gets no relay messages until the leader has read its record.
    instance_wait_ms: float = 1_200.0
    # How long a read of the key maps waits in the log. The coordinator also
    # pushes key maps to all instances; the log is the fallback.
    key_wait_ms: float = 5_000.0
    # Limits the rate of reads while changes come in quick succession.
    quiet_pause_s: float = 0.05
    # The same for key maps. They change several times a second when load
    # shifts, and have been pushed by the time they are read.
    key_pause_s: float = 0.7
    # A server list older than this is not acted upon. It is two read intervals,
    # so that a single slow read does not stop the work.
    list_fresh_s: float = 1.6


FIRST_START_SETTINGS = ClusterStateSettings(first_read_wait_s=4.0)
"""The settings at the first start of the whole system, when fast reads are not
needed: callers come about ten seconds later, and after two a leader has been
elected and has relayed the topics to all. The four reads that each instance
would make are then made by one instance only, the leader. Calls to the log cost
money and their rate is limited, and hundreds of instances start together."""


class Decoder(Protocol):
    """Decodes records of the platform."""

    @property
    def server_topic(self) -> str:
        """The topic of the list of backend servers."""

    @property
    def configuration_topic(self) -> str:
        """The topic of the operator's configuration."""

    def decode_server(self, record: logs.KeyedRecord) -> model.BackendServer:
        """Decodes an entry of the server list.

        Raises:
            findings.FindingsError: The entry is invalid.
        """

    def decode_configuration(
        self, record: logs.KeyedRecord
    ) -> model.Configuration | None:
        """Decodes a configuration; returns None for any other record.

        Raises:
            findings.FindingsError: The configuration is invalid.
        """

    def decode_evacuation(
        self, record: logs.KeyedRecord
    ) -> evacuations.EvacuationChange | None:
        """Decodes the start or end of an evacuation.

        Returns None for any other record of the configuration topic.

        Raises:
            findings.FindingsError: The record is invalid.
        """


class TopicOffset(NamedTuple):
    """The offset up to which an instance knows a topic."""

    topic: str
    # The offset to read on from; None if nothing is known.
    next_offset: int | None


Offsets = tuple[TopicOffset, ...]
"""The offsets up to which an instance knows the topics."""


class ClusterState:
    """Follows the topics of the log and keeps their state."""

    def __init__(
        self,
        settings: ClusterStateSettings,
        log: logs.PlatformLog,
        decoder: Decoder,
        registry: server_registry.ServerRegistry,
        table: keymap.KeyTable,
        configure: Callable[[model.Configuration], None],
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Initializes the state without reading.

        Args:
            settings: The timing of reads.
            log: The platform's log.
            decoder: Decodes its records.
            registry: Receives the servers.
            table: Receives the key maps.
            configure: Called with each newer configuration.
            journal: Receives lines about changes and invalid records.
            clock: Measures ages.
        """
        self.configuration: model.Configuration | None = None
        # Called with the key and value of each record that adds or removes a
        # refused request.
        self.on_refused: Callable[[str, bytes], None] = lambda *_: None
        self._listed = instance_list.InstanceList()
        # Instances whose record this one is writing, unless another record
        # about them has been applied since the write began.
        self._unchanged: set[model.Address] = set()
        # When the last record about an instance was applied.
        self._instances_changed_s = clock.monotonic_s()
        # Notified when there may be changes to relay, and after each read of
        # the server list.
        self.updated = notifier.Notifier()
        self._settings = settings
        self._log = log
        self._decoder = decoder
        self._registry = registry
        self._table = table
        self._configure = configure
        self._journal = journal
        self._clock = clock
        self._configuration_is_invalid = False
        topics = (decoder.configuration_topic, KEY_TOPIC, INSTANCE_TOPIC)
        self._invalid_records = {
            topic: invalid_records.InvalidRecords(topic, journal)
            for topic in topics
        }
        self._servers = feeds.Feed(decoder.server_topic)
        self._list = server_list.ServerList(
            self._servers, decoder.decode_server, registry, journal, clock
        )
        self._follow(
            self._servers,
            (0, settings.list_pause_s),
            self._list.apply_all,
            self._list.apply_changes,
            is_urgent=True,
        )
        self._configurations = feeds.Feed(decoder.configuration_topic)
        self._follow(
            self._configurations,
            (settings.configuration_wait_ms, settings.quiet_pause_s),
            self._apply_all_configurations,
            self._apply_changed_configurations,
            is_urgent=True,
        )
        self._keys = feeds.Feed(KEY_TOPIC)
        self._follow(
            self._keys,
            (settings.key_wait_ms, settings.key_pause_s),
            self._apply_all_maps,
            self._apply_changed_maps,
        )
        self._instances = feeds.Feed(INSTANCE_TOPIC)
        self._follow(
            self._instances,
            (settings.instance_wait_ms, settings.quiet_pause_s),
            self._apply_all_instances,
            self._apply_changed_instances,
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
        timing: tuple[float, float],
        apply_all: Callable[[tuple[logs.KeyedRecord, ...]], None],
        apply_changes: Callable[[tuple[logs.KeyedRecord, ...]], None],
        *,
        is_urgent: bool = False,
    ) -> None:
        """Creates the follower of a feed."""
        is_list = feed is self._servers
        own_read_age_s = self._settings.own_read_age_s
        feed.follower = followers.Follower(
            followers.FollowSettings(
                feed.topic,
                *timing,
                is_urgent=is_urgent,
                own_read_age_s=own_read_age_s if is_urgent else math.inf,
                first_read_wait_s=self._settings.first_read_wait_s,
            ),
            self._log,
            apply_all,
            apply_changes,
            self._journal,
            self._clock,
            self.updated.notify if is_list else None,
        )

    @property
    def instances(self) -> set[model.Address]:
        """The peer addresses of all instances, including this one."""
        return self._listed.addresses

    @property
    def weak_instances(self) -> set[model.Address]:
        """Those of weak machines, which should lead only if no other can."""
        return self._listed.weak

    @property
    def key_follower(self) -> followers.Follower:
        """The follower of the key maps."""
        return self._keys.follower

    def take_topic_statuses(self) -> tuple[followers.TopicStatus, ...]:
        """Returns the status of each topic, and resets the longest ages."""
        return tuple(feed.follower.take_status() for feed in self._feeds)

    def invalid_record_counts(self) -> dict[str, int]:
        """Returns the number of invalid records by topic."""
        counts = {
            topic: each.count for topic, each in self._invalid_records.items()
        }
        counts[self._servers.topic] = self._list.invalid_records.count
        return counts

    def _invalid_records_of(
        self, feed: feeds.Feed
    ) -> invalid_records.InvalidRecords:
        """Returns the invalid records of a topic."""
        return self._invalid_records[feed.topic]

    @property
    def server_list_as_of_s(self) -> float | None:
        """When the list of servers was last known to be the newest."""
        return self._servers.follower.as_of_s

    @property
    def configuration_age_s(self) -> float:
        """How long ago the configuration was last known to be the newest.

        Infinite if a newer one is invalid.
        """
        if self._configuration_is_invalid:
            return float("inf")
        return self._configurations.follower.age_s

    @property
    def list_is_lost(self) -> bool:
        """Whether the last attempt to read the list of servers failed."""
        return self._servers.follower.lost_since_s is not None

    @property
    def list_is_fresh(self) -> bool:
        """Whether the list of servers is recent enough to act upon."""
        as_of_s = self.server_list_as_of_s
        if as_of_s is None:
            return False
        age_s = self._clock.monotonic_s() - as_of_s
        return age_s < self._settings.list_fresh_s

    @property
    def knows_instances(self) -> bool:
        """Whether the list of instances has been read."""
        return self._instances.follower.next_offset is not None

    @property
    def instances_offset(self) -> int | None:
        """The offset up to which the list of instances is known."""
        return self._instances.follower.next_offset

    @property
    def has_lost_a_topic(self) -> bool:
        """Whether there is a topic that this instance cannot read."""
        return any(feed.follower.is_lost for feed in self._feeds)

    @property
    def instances_are_lost(self) -> bool:
        """Whether instances may have been added that this one does not know."""
        return self._instances.follower.is_lost

    @property
    def instances_age_s(self) -> float:
        """How long ago the list of instances was known to be the newest."""
        return self._instances.follower.age_s

    @property
    def instances_unchanged_for_s(self) -> float:
        """For how long the list of instances has not changed."""
        return self._clock.monotonic_s() - self._instances_changed_s

    @property
    def is_complete(self) -> bool:
        """Whether all that is needed to route requests is known."""
        return (
            self.configuration is not None
            and self.server_list_as_of_s is not None
        )

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts following all topics."""
        for feed in self._feeds:
            tasks.start_soon(
                tasks_lib.keep_running, feed.follower.run, self._journal
            )

    # Relaying to other instances.

    def start_relaying(self) -> None:
        """Starts reading for all, without waiting for relay messages."""
        for feed in self._feeds:
            feed.follower.stop_awaiting_relay()

    def offsets(self) -> Offsets:
        """Returns the offsets up to which this instance knows the topics."""
        return tuple(
            TopicOffset(feed.topic, feed.follower.next_offset)
            for feed in self._feeds
        )

    def changes_since(self, known: Offsets) -> tuple[followers.TopicBatch, ...]:
        """Returns the changes that an instance with some offsets lacks.

        Args:
            known: Its offsets; a topic that is missing is not known at all.
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
        """Applies batches that the leader relayed.

        Args:
            batches: The relayed changes.
            delay_s: An upper bound of the time that the message was in transit;
                None if that is unknown.
        """
        for feed, batch in self._match(batches):
            known_to = feed.follower.next_offset
            feed.follower.apply_relayed(batch, delay_s)
            if feed.follower.next_offset != known_to:
                feed.note_applied(batch)

    def _match(
        self, batches: tuple[followers.TopicBatch, ...]
    ) -> list[tuple[feeds.Feed, followers.TopicBatch]]:
        """Returns batches with their feeds; skips unknown topics."""
        feed_of = {feed.topic: feed for feed in self._feeds}
        return [
            (feed_of[batch.topic], batch)
            for batch in batches
            if batch.topic in feed_of
        ]

    def changes_for_lost_topics(
        self, batches: tuple[followers.TopicBatch, ...]
    ) -> tuple[followers.TopicBatch, ...]:
        """Returns changes of topics that the sender of batches cannot read.

        Args:
            batches: The relayed changes, which show the topics that it cannot
                read.
        """
        candidates = [
            feed.since(batch.next_offset)
            for feed, batch in self._match(batches)
            if batch.is_lost
        ]
        return tuple(batch for batch in candidates if batch and batch.records)

    def apply_from_follower(
        self, batches: tuple[followers.TopicBatch, ...], asked_s: float
    ) -> None:
        """Applies batches from a follower that is ahead of this instance.

        Args:
            batches: The changes that the follower sent.
            asked_s: When it was asked for them, on the monotonic clock.
        """
        for feed, batch in self._match(batches):
            known_to = feed.follower.next_offset
            feed.follower.apply_from_follower(batch, asked_s)
            if feed.follower.next_offset != known_to:
                feed.note_applied(batch)

    def is_behind(self, batches: tuple[followers.TopicBatch, ...]) -> bool:
        """Whether the sender of batches knows more than this instance."""
        known_to = {each.topic: each.next_offset for each in self.offsets()}
        return any(
            _is_before(known_to[batch.topic], batch.next_offset)
            for batch in batches
            if batch.topic in known_to
        )

    # Records of the operator: configurations and evacuations.

    def _apply_all_configurations(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Applies the newest records, some of which may be known."""
        self._configurations.put_all(records)
        evacuated = self._registry.evacuations.domains
        changes, invalid = self._read_evacuations(records)
        # An evacuation without a record has ended; one with an invalid record
        # remains.
        ended = evacuated - {change.domain for change in changes} - invalid
        changes += [
            evacuations.EvacuationChange(domain, False)
            for domain in sorted(ended)
        ]
        self._evacuate(changes)
        self._apply_newest_configuration(records)

    def _apply_changed_configurations(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Applies the records that followed."""
        self._configurations.put(records)
        changes, _ = self._read_evacuations(records)
        self._evacuate(changes)
        self._apply_newest_configuration(records)

    def _read_evacuations(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> tuple[list[evacuations.EvacuationChange], set[str]]:
        """Decodes the changes of evacuations in records.

        Returns:
            The changes, and the failure domains of invalid records.
        """
        changes = []
        invalid = set()
        for record in records:
            try:
                change = self._decoder.decode_evacuation(record)
            except Exception as error:
                self._invalid_records_of(self._configurations).note(
                    "evacuation_unreadable", record.key, error
                )
                invalid |= self._domain_of_invalid(record)
                continue
            if change is not None:
                changes.append(change)
        return changes, invalid

    def _domain_of_invalid(self, record: logs.KeyedRecord) -> set[str]:
        """Returns the failure domain of a record whose value is invalid."""
        try:
            change = self._decoder.decode_evacuation(record._replace(value=b""))
        except Exception as error:
            self._invalid_records_of(self._configurations).note(
                "evacuation_unreadable", record.key, error
            )
            return set()
        return {change.domain} if change else set()

    def _evacuate(self, changes: list[evacuations.EvacuationChange]) -> None:
        """Applies changes of evacuations."""
        if changes:
            last_known_s = self._configurations.follower.as_of_s
            self._registry.evacuate(changes, last_known_s)

    def _apply_newest_configuration(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Applies the newest configuration, never an older one."""
        self.updated.notify()
        for record in records:
            try:
                new = self._decoder.decode_configuration(record)
            except Exception as error:
                self._invalid_records_of(self._configurations).note(
                    "configuration_unreadable", record.key, error
                )
                self._configuration_is_invalid = True
                continue
            if new is not None:
                self._apply_configuration(new)
                self._configuration_is_invalid = False

    def _apply_configuration(self, new: model.Configuration) -> None:
        """Applies a configuration if it is newer."""
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
            # The previous one may have been outdated for up to this long.
            known_s_ago=(
                None if follower.as_of_s is None else round(follower.age_s, 3)
            ),
            warnings=len(new.warnings),
        )
        for warning in new.warnings[:_LOGGED_WARNINGS_MAX_COUNT]:
            self._journal.lifecycle(
                "configuration_warning",
                version=new.version,
                place=str(warning.place),
                problem=warning.problem,
            )

    # Key maps.

    def _apply_all_maps(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Applies the newest key map of each service."""
        self._keys.put_all(records)
        self._put_maps(records)

    def _apply_changed_maps(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Applies key maps that followed."""
        self._keys.put(records)
        self._put_maps(records)

    def _put_maps(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Adds key maps to the table, which ignores older ones."""
        for record in records:
            try:
                key_map = keymap.decode(record.value)
            except Exception as error:
                self._invalid_records_of(self._keys).note(
                    "key_map_unreadable", record.key, error
                )
                continue
            self._table.put(key_map, "log")

    # Instances.

    async def put_instance(
        self,
        address: model.Address,
        listed: instance_list.ListedInstance | None,
    ) -> None:
        """Writes the record of an instance, and applies it once it is written.

        If another record about the instance is applied meanwhile, that one may
        be the later one. Then this record takes effect when it is read.

        Args:
            address: The peer address of the instance.
            listed: What it publishes; None removes it from the list.
        """
        value = (
            b"" if listed is None else instance_list.INSTANCES.encode(listed)
        )
        record = logs.KeyedRecord(str(address), value)
        self._unchanged.add(address)
        is_written = await self._log.put(INSTANCE_TOPIC, record)
        if not is_written or address not in self._unchanged:
            return
        if listed is None:
            self.instances.discard(address)
        else:
            self.instances.add(address)

    def _apply_all_instances(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Replaces the list of instances."""
        self._instances.put_all(records)
        # Instances that were added and removed in between are unknown.
        self._instances_changed_s = self._clock.monotonic_s()
        self._listed.clear()
        self._unchanged.clear()
        self._update_instances(records)

    def _apply_changed_instances(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Applies additions to and removals from the list of instances."""
        self._instances.put(records)
        self._update_instances(records)

    def _update_instances(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Adds and removes instances, and passes on refused requests."""
        self.updated.notify()
        for record in records:
            if record.key.startswith(REFUSED_PREFIX):
                self._pass_on_refused(record)
                continue
            try:
                address = model.parse_address(record.key)
            except ValueError as error:
                self._note_invalid_instance(record, error)
                continue
            self._instances_changed_s = self._clock.monotonic_s()
            self._unchanged.discard(address)
            if record.value:
                self._listed.add(address, self._decode_instance(record))
            else:
                self._listed.remove(address)

    def _pass_on_refused(self, record: logs.KeyedRecord) -> None:
        """Passes on a record that adds or removes a refused request."""
        try:
            self.on_refused(record.key, record.value)
        except Exception as error:
            self._note_invalid_instance(record, error)

    def find_instance(self, name: str) -> model.Address | None:
        """Returns the address of an instance; None if it is not listed."""
        return self._listed.find(name)

    def domain_of_instance(self, address: model.Address) -> str:
        """Returns the failure domain of an instance; empty if unknown."""
        return self._listed.domain_of(address)

    def strong_instances(self, domain: str) -> tuple[model.Address, ...]:
        """Returns the instances of a failure domain that are not weak.

        Returns the same object until one of them is added or removed.
        """
        return self._listed.list_strong(domain)

    def _decode_instance(
        self, record: logs.KeyedRecord
    ) -> instance_list.ListedInstance | None:
        """Decodes what an instance published; returns None if it is invalid."""
        try:
            return instance_list.INSTANCES.decode(record.value)
        except Exception as error:
            self._note_invalid_instance(record, error)
            return None

    def _note_invalid_instance(
        self, record: logs.KeyedRecord, error: Exception
    ) -> None:
        """Counts and logs an invalid record of the instance topic."""
        self._invalid_records_of(self._instances).note(
            "instance_unreadable", record.key, error
        )


def _is_before(known_to: int | None, next_offset: int) -> bool:
    """Whether a topic is known only up to an earlier offset."""
    return known_to is None or known_to < next_offset
