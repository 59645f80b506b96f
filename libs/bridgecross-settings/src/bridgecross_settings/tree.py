"""The settings tree and the effective values at each of its nodes."""

import dataclasses
import functools
from typing import Any
from typing import NamedTuple
from typing import TypedDict

import msgspec

from bridgecross_settings import policy

HouseDocument = dict[str, Any]
"""The JSON object of a whole house, validated by ``check``."""

DEFAULT_ORIGIN = "(default)"
"""The origin of a value that no level sets, so that the default applies."""


class CallerDocument(TypedDict):
    """A caller in the document."""

    credential_sha256: str
    tiers: dict[str, str]


class EffectiveField(NamedTuple):
    """An effective value and the path of the level that set it."""

    name: str
    value: Any
    origin: str


@dataclasses.dataclass(frozen=True)
class Caller:
    """A client that sends requests, identified by a credential."""

    # The caller's name in the settings.
    name: str
    # The SHA-256 of the credential, in hexadecimal.
    credential_sha256: str
    # The tier that the caller has bought for each ``place/service``.
    tiers: dict[str, str]


@dataclasses.dataclass(frozen=True)
class Tier:
    """A priority tier of a service."""

    # The tier's name.
    name: str
    # 1 is the highest priority.
    priority: int
    # The policy for its requests.
    policy: policy.Policy


@dataclasses.dataclass(frozen=True)
class Service:
    """A service of a place."""

    # The service's name.
    name: str
    # The policy for the service as a whole.
    policy: policy.Policy
    # The tiers by name.
    tiers: dict[str, Tier]


@dataclasses.dataclass(frozen=True)
class Place:
    """A place of a house: a group of nearby failure domains."""

    # The place's name.
    name: str
    # The policy for the place as a whole.
    policy: policy.Policy
    # The names of its failure domains.
    failure_domains: tuple[str, ...]
    # The services by name.
    services: dict[str, Service]


class UnknownPathError(LookupError):
    """The path does not name a node of the tree."""

    def __init__(self, path: str, known: list[str]) -> None:
        """Stores the path and the names that exist at its level."""
        self.path = path
        self.known = known
        names = ", ".join(sorted(known)) or "none"
        super().__init__(f"no node {path!r}; possible here: {names}")


class House:
    """A read-only view of a checked document."""

    def __init__(self, document: HouseDocument) -> None:
        """Initializes the view of a document that ``check`` has validated."""
        self.document = document
        self.name: str = document["house"]

    @functools.cached_property
    def callers(self) -> dict[str, Caller]:
        """The callers by the SHA-256 of their credential."""
        callers: dict[str, CallerDocument] = self.document["callers"]
        return {
            caller["credential_sha256"]: Caller(
                name=name,
                credential_sha256=caller["credential_sha256"],
                tiers=caller["tiers"],
            )
            for name, caller in callers.items()
        }

    @functools.cached_property
    def places(self) -> dict[str, Place]:
        """The places by name, including their services and tiers."""
        return {
            name: self._build_place(name) for name in self.document["places"]
        }

    def list_effective(self, path: str) -> list[EffectiveField]:
        """Returns the effective value of each field that may be set at a node.

        Args:
            path: ``house``, ``house/place``, ``house/place/service`` or
                ``house/place/service/tier``.

        Raises:
            UnknownPathError: The node does not exist.
        """
        nodes = self._resolve(path)
        level = policy.Level(len(nodes) - 1)
        return [
            _find_effective(name, nodes)
            for name in policy.FIELD_NAMES
            if level <= policy.DEEPEST_LEVELS[name]
        ]

    def effective_policy(self, path: str) -> policy.Policy:
        """Returns the effective policy at a node.

        Raises:
            UnknownPathError: The node does not exist.
        """
        nodes = self._resolve(path)
        values = {
            name: _find_effective(name, nodes).value
            for name in policy.FIELD_NAMES
        }
        return msgspec.convert(values, policy.Policy)

    def _resolve(self, path: str) -> list[tuple[str, dict[str, Any]]]:
        """Returns the path and document of each node from the root down."""
        names = path.strip("/").split("/")
        if names[0] != self.name or len(names) > len(policy.Level):
            raise UnknownPathError(path, [self.name])
        nodes = [(self.name, self.document)]
        for depth, name in enumerate(names[1:]):
            children = nodes[-1][1][("places", "services", "tiers")[depth]]
            if name not in children:
                raise UnknownPathError(path, list(children))
            nodes.append((f"{nodes[-1][0]}/{name}", children[name]))
        return nodes

    def _build_place(self, name: str) -> Place:
        """Returns a place with its services."""
        path = f"{self.name}/{name}"
        node = self.document["places"][name]
        return Place(
            name=name,
            policy=self.effective_policy(path),
            failure_domains=tuple(node["failure_domains"]),
            services={
                service: self._build_service(path, service, child)
                for service, child in node["services"].items()
            },
        )

    def _build_service(
        self, place_path: str, name: str, node: dict[str, Any]
    ) -> Service:
        """Returns a service with its tiers."""
        path = f"{place_path}/{name}"
        return Service(
            name=name,
            policy=self.effective_policy(path),
            tiers={
                tier: Tier(
                    name=tier,
                    priority=child["priority"],
                    policy=self.effective_policy(f"{path}/{tier}"),
                )
                for tier, child in node["tiers"].items()
            },
        )


def _find_effective(
    name: str, nodes: list[tuple[str, dict[str, Any]]]
) -> EffectiveField:
    """Returns a field's value from the deepest level that sets it."""
    for path, node in reversed(nodes):
        if name in node:
            return EffectiveField(name, node[name], path)
    default = getattr(policy.Policy(), name)
    return EffectiveField(name, default, DEFAULT_ORIGIN)
