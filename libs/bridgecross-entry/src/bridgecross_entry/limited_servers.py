"""Decides about requests to servers that limit the requests of all instances.

Whatever is known of the limit, by an answer to this instance or from the
leader, a request is sent only with a quota of the leader.
"""

from collections.abc import Sequence
import math

from bridgecross_core import ids
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import quota_client
from bridgecross_entry import server_registry
from bridgecross_entry import servers as servers_lib

_DESCRIBED_MAX_COUNT = 3
"""The number of servers that the trail of a refused request names."""

_RETRY_AFTER_S = 1.0
"""When callers return without a leader that issues quotas."""


class LimitedServers:
    """The servers of one instance that may limit the requests to them."""

    def __init__(
        self,
        registry: server_registry.ServerRegistry,
        quotas: quota_client.QuotaClient | None,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Stores the sources of information.

        Args:
            registry: Knows which servers have limits.
            quotas: Obtains quotas; if omitted, there are none.
            metrics: Counts the requests for such servers.
        """
        self._registry = registry
        self._quotas = quotas
        self._metrics = metrics

    def _is_limited(self, server: servers_lib.Server) -> bool:
        """Whether a server limits the requests to it."""
        limits = self._registry.notices.limits
        return limits.any_known and limits.is_limited(server.listed.server_id)

    def _is_exhausted(self, server: servers_lib.Server, priority: int) -> bool:
        """Whether it is known that a server takes no request for now."""
        if not self._is_limited(server):
            return False
        server_id = server.listed.server_id
        return self._quotas is None or (
            self._quotas.refused_for_s(server_id, priority) > 0
        )

    def exclude_exhausted(
        self, servers: Sequence[servers_lib.Server], priority: int
    ) -> list[servers_lib.Server]:
        """Returns the servers that may take a request of a priority now."""
        if not self._registry.notices.limits.any_known:
            return list(servers)
        return [s for s in servers if not self._is_exhausted(s, priority)]

    def list_exhausted(
        self, servers: Sequence[servers_lib.Server], priority: int
    ) -> set[ids.ServerId]:
        """Returns the servers that take no request of a priority for now."""
        if not self._registry.notices.limits.any_known:
            return set()
        return {
            server.listed.server_id
            for server in servers
            if self._is_exhausted(server, priority)
        }

    def retry_after_s(
        self, servers: Sequence[servers_lib.Server], priority: int
    ) -> float:
        """Returns when a caller should return whom no server can take now."""
        if self._quotas is None:
            return _RETRY_AFTER_S
        return min(
            (
                self._quotas.retry_after_s(s.listed.server_id, priority)
                for s in servers
            ),
            default=math.inf,
        )

    async def obtain(
        self, server: servers_lib.Server, priority: int
    ) -> quota_client.Quota | quota_client.Refused | None:
        """Returns a quota for a server, or a refusal; None without a limit."""
        if not self._is_limited(server):
            return None
        if self._quotas is None:
            return quota_client.Refused(_RETRY_AFTER_S)
        return await self._quotas.obtain(server.listed.server_id, priority)

    def left_s(self, quota: quota_client.Quota) -> float:
        """Returns for how long a quota may still be used."""
        return self._quotas.left_s(quota) if self._quotas else 0.0

    def covers(
        self, quota: quota_client.Quota | None, server: servers_lib.Server
    ) -> bool:
        """Whether a request may be sent to a server now, with a quota."""
        if not self._is_limited(server):
            return True
        server_id = server.listed.server_id
        return self._quotas is not None and self._quotas.covers(
            quota, server_id
        )

    def describe(self, servers: Sequence[servers_lib.Server]) -> str:
        """Describes what is known of servers that take no more requests."""
        limits = self._registry.notices.limits
        described = []
        for server in servers[:_DESCRIBED_MAX_COUNT]:
            server_id = server.listed.server_id
            known = limits.get_age(server_id)
            if known is not None:
                how = "told" if known.is_told else "heard of"
                described.append(
                    f"{server_id} takes {known.limit_per_s:g}/s, "
                    f"{how} {known.age_s:.1f} s ago"
                )
        issuer = self._quotas.describe_issuer() if self._quotas else "nobody"
        return "; ".join([*described, f"granted by {issuer}"])

    def count_sent(self, server: servers_lib.Server) -> None:
        """Counts a request that is sent, if its server has a limit."""
        if self._is_limited(server):
            self._count(server.listed.service, "sent")

    def count_refusal(self, service: ids.ServiceName) -> None:
        """Counts a request that is refused because of limits."""
        self._count(service, "refused")

    def _count(self, service: ids.ServiceName, verdict: str) -> None:
        """Counts a request for servers with a limit."""
        self._metrics.limited_requests.inc(
            {"service": service, "verdict": verdict}
        )
