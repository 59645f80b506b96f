"""Checks of the guarantees that must hold in a cluster in spite of faults."""

import math
from typing import NamedTuple

import anyio

from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import faults
from bridgecross_emulator import instances
from bridgecross_entry import keymap

IN_FORCE_WITHIN_S = 2.0
"""From the log's acknowledgement of a configuration to its use everywhere."""

UNDISTURBED_AFTER_S = 3.0
"""How long an instance and the log must have been undisturbed for checks of
delays to apply to the instance."""

EVACUATED_WITHIN_S = 5.0
"""From the log's acknowledgement of an evacuation to its use everywhere."""

SERVED_AGAIN_WITHIN_S = 8.0
"""From the end of the last fault until all keys are served: entries return
within 2.6 s, a lease lasts 2.7 s, and the orders of an earlier leader 2 s."""

_CHECK_INTERVAL_S = 0.05

_LINE_CLOCK_STEP_S = 0.001
"""The times of log lines are rounded."""


class Violation(NamedTuple):
    """A violated guarantee."""

    promise: str
    at_s: float
    detail: str


class ConfigurationCheck:
    """Checks that new versions are in force in time, and never old ones.

    The time limit applies to undisturbed instances.
    """

    def __init__(self, scene: faults.Scene) -> None:
        """Initializes the check without violations."""
        self.violations: list[Violation] = []
        self._scene = scene
        # The highest version that each process of an instance has used.
        self._highest: dict[instances.EmulatedInstance, int] = {}

    async def run(self) -> None:
        """Checks all running instances periodically, until cancelled."""
        while True:
            for instance in self._scene.cluster.instances:
                if not instance.host.is_paused:
                    self.check(instance)
            await anyio.sleep(_CHECK_INTERVAL_S)

    def check(self, instance: instances.EmulatedInstance) -> None:
        """Compares the version that an instance uses with those published."""
        now_s = self._scene.cluster.now_s
        used = instance.configuration_version or 0
        name = instance.settings.name
        highest = self._highest.get(instance, 0)
        if used < highest:
            detail = f"{name} went from version {highest} to {used}"
            self._record("configuration never goes back", detail)
        self._highest[instance] = max(highest, used)
        if self._scene.disturbances.undisturbed_s(name) < UNDISTURBED_AFTER_S:
            return
        due_s = now_s - IN_FORCE_WITHIN_S - _CHECK_INTERVAL_S
        published = self._scene.cluster.published
        due = [p.version for p in published if p.acknowledged_s <= due_s]
        if due and used < due[-1]:
            detail = f"{name} uses version {used} instead of {due[-1]}"
            self._record("configuration in force in time", detail)

    def _record(self, promise: str, detail: str) -> None:
        """Records a violation, unless it is already recorded."""
        at_s = round(self._scene.cluster.now_s, 3)
        if not any(v.detail == detail for v in self.violations):
            self.violations.append(Violation(promise, at_s, detail))


class EvacuationCheck:
    """Checks that evacuated servers are unused after ``EVACUATED_WITHIN_S``."""

    def __init__(self, scene: faults.Scene) -> None:
        """Initializes the check without violations."""
        self.violations: list[Violation] = []
        self._scene = scene

    async def run(self) -> None:
        """Checks undisturbed instances periodically, until cancelled."""
        while True:
            for instance in self._scene.cluster.instances:
                name = instance.settings.name
                calm_s = self._scene.disturbances.undisturbed_s(name)
                stands = instance.host.is_paused
                if not stands and calm_s >= UNDISTURBED_AFTER_S:
                    self.check(instance)
            await anyio.sleep(_CHECK_INTERVAL_S)

    def check(self, instance: instances.EmulatedInstance) -> None:
        """Checks whether an instance may still use an evacuated server."""
        cluster = self._scene.cluster
        for domain, taken_s in cluster.evacuated_s.items():
            if cluster.now_s < taken_s + EVACUATED_WITHIN_S + _CHECK_INTERVAL_S:
                continue
            used = [
                s.listed.name
                for s in instance.parts.registry.of_service(instances.SERVICE)
                if s.listed.failure_domain == domain
                and instance.parts.registry.may_use(
                    s, instance.parts.clock.monotonic_s()
                )
            ]
            if used and not any(domain in v.detail for v in self.violations):
                detail = f"{instance.settings.name} uses {used} of {domain}"
                violation = Violation(
                    "an evacuated domain is empty", cluster.now_s, detail
                )
                self.violations.append(violation)


POISON_CRASHES_MAX_COUNT = 3
"""How many servers a poison request may crash before it is refused."""


def check_poison_requests(
    cluster: clusters.Cluster, calm_s: float
) -> list[Violation]:
    """Returns poison requests that crashed too many servers.

    Crashes before the end of the last fault do not count: while instances are
    lost or cut off, some may not know of crashes that others have observed.

    Args:
        cluster: The cluster.
        calm_s: When the last fault ended, apart from poison requests.
    """
    found = []
    for target in sorted(cluster.fleet.poison_targets):
        ends = [
            end
            for end in cluster.fleet.ends
            if end.target == target and end.at_s > calm_s
        ]
        if len(ends) > POISON_CRASHES_MAX_COUNT:
            detail = f"{len(ends)} servers ended under {target.decode()}"
            violation = Violation(
                "three servers end under a request", ends[-1].at_s, detail
            )
            found.append(violation)
    return found


def check_owners(cluster: clusters.Cluster) -> list[Violation]:
    """Returns violations in which two servers held a key at the same time."""
    return [
        Violation(
            "one owner a key",
            overlap.at_s,
            f"{overlap.server} takes key {overlap.first_key}, "
            f"which {overlap.other} holds",
        )
        for overlap in cluster.fleet.overlaps
    ]


def check_ends(cluster: clusters.Cluster) -> list[Violation]:
    """Returns runs of servers that were taken for ended, but were not."""
    ended_s = cluster.fleet.ended_s
    found = []
    for line in cluster.lines:
        if line.event != "ended_under_request":
            continue
        server = str(line.fields["server"])
        if ended_s.get(server, math.inf) > line.at_s + _LINE_CLOCK_STEP_S:
            detail = f"{line.instance} takes {server} for ended"
            found.append(Violation("an end is an end", line.at_s, detail))
    return found


def check_handovers(cluster: clusters.Cluster) -> list[Violation]:
    """Returns keys that were granted while the previous holder worked on them.

    Work counts only until the end of the lease under which it runs.
    """
    found: dict[str, Violation] = {}
    for each in cluster.fleet.premature:
        detail = (
            f"{each.server} takes key {each.key}, on which {each.other} works"
        )
        promise = "a key is given on once its last holder rests"
        found.setdefault(detail, Violation(promise, each.at_s, detail))
    return list(found.values())


TOPICS_KNOWN_WITHIN_S = 6.0
"""Without faults, each instance knows all records of a topic that are older
than this: where no other instance relays key maps, reads of the log wait for
them for 5 s."""


def find_ends(cluster: clusters.Cluster) -> dict[str, int]:
    """Returns the current end of each topic."""
    offsets = cluster.instances[0].parts.cluster_state.offsets()
    return {each.topic: cluster.log.end(each.topic) for each in offsets}


def check_topics(
    cluster: clusters.Cluster, ends: dict[str, int]
) -> list[Violation]:
    """Returns topics that an instance has stopped following.

    Args:
        cluster: The cluster.
        ends: Where the topics ended ``TOPICS_KNOWN_WITHIN_S`` ago.
    """
    found = []
    for instance in cluster.instances:
        for each in instance.parts.cluster_state.offsets():
            end = ends[each.topic]
            if (each.next_offset or 0) < end:
                detail = (
                    f"{instance.settings.name} knows {each.topic} up to "
                    f"{each.next_offset} of {end}"
                )
                found.append(
                    Violation("a topic goes on", cluster.now_s, detail)
                )
    return found


def check_served(cluster: clusters.Cluster) -> list[Violation]:
    """Returns keys that are not held by their known owner, and only by it."""
    found = []
    for instance in cluster.instances:
        key_map = instance.parts.table.newest(instances.SERVICE)
        for key_range in key_map.ranges if key_map else ():
            detail = _find_fault(cluster, key_range)
            if detail:
                detail = f"{instance.settings.name}: {detail}"
                found.append(
                    Violation("keys are served", cluster.now_s, detail)
                )
        if key_map is None:
            detail = f"{instance.settings.name} knows no key map"
            found.append(Violation("keys are served", cluster.now_s, detail))
    return found


def _find_fault(cluster: clusters.Cluster, key_range: keymap.KeyRange) -> str:
    """Returns why a range is not served by its owner; "" if it is."""
    holders = cluster.fleet.holders(key_range.first_key)
    names = [f"{h.name}@{h.started_ms:x}" for h in holders]
    if names == [key_range.owner]:
        return ""
    return f"key {key_range.first_key} of {key_range.owner} is held by {names}"
