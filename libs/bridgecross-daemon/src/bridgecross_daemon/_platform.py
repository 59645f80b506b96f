"""The platform's instance list, addresses, and lease messages over HTTP."""

import anyio
import httpcore
import httpx
import loguru

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_daemon import ports
from bridgecross_ownership import leases
from bridgecross_ownership import membership as memberships
from bridgecross_request import bounded_streams
from bridgecross_request import runner as runners

_LIST_TIMEOUT_S = 2.0
_LEASE_MAX_CONNECTIONS = 2
_LEASE_ANSWER_MAX_BYTES = 1024 * 1024
"""An answer lists the slices that a server holds."""
_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class InstanceListPoller:
    """Reads the instance list periodically."""

    def __init__(
        self,
        source: ports.InstanceListSource,
        interval_ms: int,
        membership: memberships.Membership,
    ) -> None:
        """Initializes the poller; ``run`` starts it.

        Args:
            source: Reads the list.
            interval_ms: The pause between two reads.
            membership: Receives each list that was read.
        """
        self._source = source
        self._interval_s = interval_ms / 1_000
        self._membership = membership

    async def run(self) -> None:
        """Reads the list until cancelled; a failed read keeps the old list."""
        while True:
            try:
                self._membership.replace(await self._source.read())
            except ports.InstanceListUnavailableError as error:
                loguru.logger.debug("instance list not read: {}", error)
            await anyio.sleep(self._interval_s)


class HttpInstanceList:
    """The instance list over HTTP: ``GET /instances``."""

    def __init__(self, url: str) -> None:
        """Creates the client; connections are opened on first use."""
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
    """Looks up the addresses of servers and instances.

    A server or instance that is no longer listed may still hold a lease or
    slices, so its last listed address is kept.
    """

    def __init__(self, membership: memberships.Membership) -> None:
        """Starts without addresses of unlisted servers and instances."""
        self._membership = membership
        self._last_addresses: dict[str, str] = {}

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
        """Returns the last address that was listed for a name."""
        listing = self._membership.find(name)
        if listing is not None:
            self._last_addresses[name] = listing.address
        return self._last_addresses.get(name)


class HttpLeaseTransport:
    """Exchanges leases with backend servers over HTTP.

    It uses ``httpcore``, the lower layer of ``httpx``, because that takes half
    the processor time and lease requests are the most frequent messages.

    Protocol: ``PUT /bridgecross/lease`` with a JSON ``LeaseRequest``; the
    answer is a JSON ``LeaseReply``.
    """

    def __init__(self, addresses: runners.AddressBook) -> None:
        """Creates the transport; connections are opened on first use."""
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
            # The timeouts of the pool are for a single read or write.
            with anyio.fail_after(limit_s):
                response = await self._find_pool(address).request(
                    "PUT",
                    f"http://{address}/bridgecross/lease",
                    content=codec.to_json(request).encode(),
                    extensions={"timeout": dict.fromkeys(phases, limit_s)},
                )
            return codec.from_json(response.content, leases.LeaseReply)
        except (*_HTTP_ERRORS, codec.CodecError, TimeoutError) as error:
            raise leases.ServerUnreachableError(repr(error)) from error

    async def aclose(self) -> None:
        """Closes the connections."""
        for pool in self._pools.values():
            await pool.aclose()

    def _find_pool(self, address: str) -> httpcore.AsyncConnectionPool:
        """Returns the connection pool of one server.

        A pool checks each of its connections for every request, so the cost of
        one pool for all servers would grow with the number of servers.
        """
        if address not in self._pools:
            self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=_LEASE_MAX_CONNECTIONS,
                network_backend=bounded_streams.BoundedBackend(
                    _LEASE_ANSWER_MAX_BYTES
                ),
            )
        return self._pools[address]
