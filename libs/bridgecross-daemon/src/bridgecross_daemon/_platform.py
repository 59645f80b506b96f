"""The platform's instance list, and who lives at which address."""

import anyio
import httpcore
import httpx
import loguru

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_daemon import ports
from bridgecross_ownership import leases
from bridgecross_ownership import membership as memberships
from bridgecross_request import runner as runners

_LIST_TIMEOUT_S = 2.0
_LEASE_CONNECTIONS = 2
_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class ListReader:
    """Reads the instance list again and again."""

    def __init__(
        self,
        source: ports.InstanceListSource,
        interval_ms: int,
        membership: memberships.Membership,
    ) -> None:
        """Reads nothing yet.

        Args:
            source: Where the list is.
            interval_ms: How often it is read.
            membership: Where the newest list goes.
        """
        self._source = source
        self._interval_s = interval_ms / 1_000
        self._membership = membership

    async def run(self) -> None:
        """Reads the list until it is cancelled; an outage keeps the old."""
        while True:
            try:
                self._membership.replace(await self._source.read())
            except ports.InstanceListUnavailableError as error:
                loguru.logger.debug("instance list: {}", error)
            await anyio.sleep(self._interval_s)


class HttpInstanceList:
    """The instance list over HTTP: ``GET /instances``."""

    def __init__(self, url: str) -> None:
        """Opens no connection yet."""
        self._client = httpx.AsyncClient(
            base_url=url, timeout=_LIST_TIMEOUT_S, trust_env=False
        )

    async def read(self) -> list[memberships.Listing]:
        """Reads the list once; see ``ports.InstanceListSource``."""
        try:
            response = await self._client.get("/instances")
            response.raise_for_status()
            return codec.from_json(response.content, list[memberships.Listing])
        except (httpx.HTTPError, codec.CodecError) as error:
            raise ports.InstanceListUnavailableError(repr(error)) from error

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._client.aclose()


class Addresses:
    """Finds addresses in the instance list.

    A server or instance that the list has dropped may still hold something,
    so its last address is remembered.
    """

    def __init__(self, membership: memberships.Membership) -> None:
        """Remembers no address yet."""
        self._membership = membership
        self._remembered: dict[str, str] = {}

    def find_address(self, server: ids.ServerId) -> str | None:
        """Returns a server's address; see ``runner.AddressBook``."""
        return self._find(server)

    def find_peer_address(self, instance: ids.InstanceId) -> str | None:
        """Returns a peer's address; see ``peer_client.PeerAddresses``."""
        return self._find(instance)

    def list_instances(self) -> set[ids.InstanceId]:
        """Returns the entry instances that are listed now."""
        return set(self._membership.list_instances())

    def _find(self, name: str) -> str | None:
        """Returns the newest address that was listed for a name."""
        listing = self._membership.find(name)
        if listing is not None:
            self._remembered[name] = listing.address
        return self._remembered.get(name)


class HttpLeaseTransport:
    """Lease exchanges with backend servers over HTTP.

    The lower layer of ``httpx`` is used, as it costs half the processor time
    and this is the most frequent message of all.

    Protocol: ``PUT /bridgecross/lease`` with a JSON ``LeaseRequest``; the
    answer is a JSON ``LeaseReply``.
    """

    def __init__(self, addresses: runners.AddressBook) -> None:
        """Opens no connection yet."""
        self._addresses = addresses
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    async def exchange(
        self, server: ids.ServerId, request: leases.LeaseRequest
    ) -> leases.LeaseReply:
        """Exchanges a lease; see ``leases.LeaseTransport``."""
        address = self._addresses.find_address(server)
        if address is None:
            raise leases.ServerUnreachableError("its address is not known")
        limit_s = request.lease_ms / 1_000
        phases = ("connect", "read", "write", "pool")
        try:
            response = await self._find_pool(address).request(
                "PUT",
                f"http://{address}/bridgecross/lease",
                content=codec.to_json(request).encode(),
                extensions={"timeout": dict.fromkeys(phases, limit_s)},
            )
            return codec.from_json(response.content, leases.LeaseReply)
        except (*_HTTP_ERRORS, codec.CodecError) as error:
            raise leases.ServerUnreachableError(repr(error)) from error

    async def aclose(self) -> None:
        """Closes the connections."""
        for pool in self._pools.values():
            await pool.aclose()

    def _find_pool(self, address: str) -> httpcore.AsyncConnectionPool:
        """Returns the pool of one server.

        A pool looks at each of its connections for every request, so one
        pool for all servers would cost more with each server.
        """
        if address not in self._pools:
            self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=_LEASE_CONNECTIONS
            )
        return self._pools[address]
