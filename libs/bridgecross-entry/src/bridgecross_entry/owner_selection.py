"""Selects the server that owns the key of a request."""

import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_core import outcomes
from bridgecross_entry import keymap
from bridgecross_entry import refusals as refusals_lib
from bridgecross_entry import request_state
from bridgecross_entry import server_registry
from bridgecross_entry import server_selection
from bridgecross_entry import servers as servers_lib


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSettings:
    """Settings for how the owners of keys are waited for."""

    # How long a request waits for confirmation that the owner of its key holds
    # the key, as a fraction of the route's target latency. Most moves take
    # less than 0.1 s, and targets are 0.15 s or more. After that the request
    # is sent to the owner anyway, as the confirmation may have been lost.
    move_wait_ratio: float = 0.75
    # How long it waits while no usable server owns the key. A caller that is
    # refused early can retry and may still be served within the target.
    no_owner_wait_ratio: float = 0.2


class OwnerSelector:
    """Finds the owners of keys, and waits for them while keys move."""

    def __init__(
        self,
        settings: OwnerSettings,
        registry: server_registry.ServerRegistry,
        table: keymap.KeyTable,
        selector: server_selection.ServerSelector,
        refusals: refusals_lib.Refusals,
        clock: clocks.Clock,
    ) -> None:
        """Creates a selector, which is stateless.

        Args:
            settings: How owners are waited for.
            registry: The known backend servers.
            table: The owners of the keys.
            selector: Knows in which failure domains a route is served.
            refusals: Makes refusals.
            clock: The time source.
        """
        self._settings = settings
        self._registry = registry
        self._table = table
        self._selector = selector
        self._refusals = refusals
        self._clock = clock

    async def choose(
        self, state: request_state.RequestState
    ) -> servers_lib.Server | outcomes.NotRun:
        """Waits for a usable owner of the key; returns it or a refusal."""
        assert state.request.key is not None  # checked by the caller
        key = state.request.key
        settings = self._settings
        started_s = self._clock.monotonic_s()
        target_s = state.route.target_latency_ms / 1_000
        while True:
            now_s = self._clock.monotonic_s()
            waited_s = now_s - started_s
            owner = self._table.find(state.service, key)
            server = self._registry.get(owner.server_id) if owner else None
            if server and not self._selector.is_allowed(
                state.route, server.listed.failure_domain
            ):
                state.trail.append(f"key {key} is owned in another area")
                return self._refusals.refuse(
                    "the owner of the key is in another area",
                    self._refusals.repeat_retry_after_ms,
                )
            if owner and self._registry.notices.is_past_drain_limit(
                owner.server_id, now_s
            ):
                # Its keys have not moved since it announced that it leaves, and
                # it is unknown when they will.
                state.trail.append(f"{owner.server_id}: said that it leaves")
                return self._refusals.refuse(
                    "the owner of the key has left",
                    self._refusals.repeat_retry_after_ms,
                )
            if owner and server and self._registry.may_use(server, now_s):
                wait_left_s = settings.move_wait_ratio * target_s - waited_s
                if owner.settled or wait_left_s <= 0:
                    return server
            else:
                wait_left_s = settings.no_owner_wait_ratio * target_s - waited_s
                if wait_left_s <= 0:
                    state.trail.append(f"key {key} has no owner")
                    return self._refusals.refuse(
                        "the key has no owner at present",
                        self._refusals.default_retry_after_ms(state),
                    )
            await self._table.changed.wait(min(wait_left_s, 0.05))

    def is_owner(
        self, state: request_state.RequestState, server: servers_lib.Server
    ) -> bool:
        """Whether a server owns the key of a request."""
        if state.request.key is None:
            return False
        owner = self._table.find(state.service, state.request.key)
        return owner is not None and owner.server_id == server.listed.server_id
