"""Instances that follow one log in memory, for tests of the cluster state."""

from collections.abc import Callable
import dataclasses

import entry_fakes as fakes
import entry_support as support

from bridgecross_core import clock
from bridgecross_core import findings
from bridgecross_core import ids
from bridgecross_entry import cluster_state
from bridgecross_entry import evacuations
from bridgecross_entry import follower
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import server_registry
from bridgecross_entry import servers


class Decoder:
    """Decodes records whose value is a list of words."""

    server_topic = "servers"
    configuration_topic = "configuration"

    def decode_server(self, record):
        service, *words = record.value.decode().split()
        if service == "bad":
            place = findings.Place(record.key)
            raise findings.FindingsError([findings.Finding(place, "bad")])
        server = support.make_server(
            record.key, service, leaving="leaving" in words
        )
        left_ms = next((float(word) for word in words if word.isdigit()), 0.0)
        return dataclasses.replace(server, warmup_left_ms=left_ms)

    def __init__(self, *, keyed: bool = False) -> None:
        self._keyed = keyed
        self.warnings: tuple[findings.Finding, ...] = ()

    def decode_evacuation(self, record):
        if not record.key.startswith("evacuate/"):
            return None
        if record.value not in (b"", b"{}"):
            place = findings.Place(record.key)
            raise findings.FindingsError([findings.Finding(place, "bad")])
        domain = record.key.removeprefix("evacuate/")
        return evacuations.EvacuationChange(domain, bool(record.value))

    def decode_configuration(self, record):
        if record.key.startswith("evacuate/"):
            return None
        if int(record.value) < 0:
            place = findings.Place(record.key)
            raise findings.FindingsError([findings.Finding(place, "bad")])
        configuration = support.make_configuration(
            support.make_route(), version=int(record.value), keyed=self._keyed
        )
        return dataclasses.replace(configuration, warnings=self.warnings)


class Reader:
    """The cluster state of one instance."""

    def __init__(
        self,
        platform_log: fakes.MemoryLog,
        written: journals.Journal | None = None,
        *,
        keyed: bool = False,
    ) -> None:
        real = clock.SystemClock()
        journal = written or support.make_journal(real)
        self.registry = server_registry.ServerRegistry(
            servers.ServerSettings(), support.BOUNDS, journal, real
        )
        self.versions: list[int] = []
        self.on_configure: Callable[[], None] = lambda: None
        self.table = keymap.KeyTable(journal)
        self.decoder = Decoder(keyed=keyed)
        self.state = cluster_state.ClusterState(
            cluster_state.ClusterStateSettings(),
            platform_log,
            self.decoder,
            self.registry,
            self.table,
            self._configure,
            journal,
            real,
        )

    def _configure(self, new) -> None:
        self.versions.append(new.version)
        self.on_configure()

    async def read(self) -> None:
        for feed in self.state._feeds:
            await feed.follower.catch_up()

    def knows(self, name: str) -> bool:
        return self.registry.get(ids.ServerId(name)) is not None


class Relay:
    """Relays changes as the leader does.

    Each message starts from the offsets in the receiver's last answer.
    """

    def __init__(self, reader: Reader) -> None:
        self._state = reader.state
        self._known: dict[Reader, cluster_state.Offsets] = {}

    def send(self, *others: Reader) -> None:
        """Relays to other instances, and once more to those that lack more."""
        for other in others:
            known = self._known.get(other, self._state.offsets())
            answer = self._send_once(other, known)
            if answer:
                self._send_once(other, answer)

    def lose(self, other: Reader) -> None:
        """Sends a relay message that is lost."""
        known = self._known.get(other, self._state.offsets())
        self._state.changes_since(known)

    def next_batches(self, other: Reader) -> dict[str, follower.TopicBatch]:
        """Returns the batches of the next relay message, by topic."""
        known = self._known[other]
        return {b.topic: b for b in self._state.changes_since(known)}

    def _send_once(
        self, other: Reader, known: cluster_state.Offsets
    ) -> cluster_state.Offsets:
        batches = self._state.changes_since(known)
        reached = self._state.offsets()
        other.state.apply_relayed(batches)
        is_behind = other.state.is_behind(batches)
        self._known[other] = other.state.offsets() if is_behind else reached
        return other.state.offsets() if is_behind else ()
