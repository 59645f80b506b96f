"""Starts a cluster as separate processes on this machine.

For tests, benchmarks and the demo. Every process listens on loopback and is
ended by its process id when the cluster is closed.
"""

import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import httpx

from bridgecross_core import codec
from bridgecross_ownership import membership
from bridgecross_settings import check
from bridgecross_settings import tree
from bridgecross_standins import backend_standin

_LOOPBACK = "127.0.0.1"
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 15.0
_POLL_S = 0.02
_HTTP_OK = 200
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_ports = iter(
    range(
        _FIRST_PORT + os.getpid() * 97 % (_LAST_PORT - _FIRST_PORT) // 2,
        _LAST_PORT,
    )
)


@dataclasses.dataclass(frozen=True)
class ServiceShape:
    """The number and speed of the backend servers of a service."""

    # The service's name in the settings.
    service: str
    # The number of backend servers.
    servers: int
    # The time that a request takes at a server.
    service_ms: float = 2.0


@dataclasses.dataclass(frozen=True)
class ClusterShape:
    """The processes of a cluster and their settings."""

    # The file with the house's settings.
    settings_file: pathlib.Path
    # The place, as the settings name it.
    place: str
    # The services and their backend servers.
    services: tuple[ServiceShape, ...]
    # The number of entry instances.
    instances: int
    # The folder for logs, journals and process settings.
    folder: pathlib.Path
    # The settings of the log stand-in, as JSON.
    log_settings: str = "{}"
    # The memory that each entry instance may use, in 10^6 bytes.
    entry_memory_mb: int = 1_024


class Process:
    """A process that this process started."""

    def __init__(
        self, name: str, arguments: list[str], folder: pathlib.Path
    ) -> None:
        """Starts the process; writes its output to a file in the folder."""
        self.name = name
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("wb") as output:
            self._process = subprocess.Popen(
                arguments, stdout=output, stderr=output
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def is_running(self) -> bool:
        """Returns whether the process has not ended."""
        return self._process.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it is still running."""
        if self.is_running():
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Ends the process immediately, as a crash would."""
        self.signal(signal.SIGKILL)
        self._process.wait()

    def terminate(self) -> None:
        """Asks the process to stop gracefully."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits until the process has ended and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: The process did not end in time.
        """
        return self._process.wait(timeout_s)


@dataclasses.dataclass(frozen=True)
class Entry:
    """An entry instance of the cluster."""

    # Its name in the instance list.
    name: str
    # The process.
    process: Process
    # The base URL for callers.
    caller_url: str
    # The base URL of health checks and metrics.
    admin_url: str
    # The address for other instances, as ``host:port``.
    peer_address: str
    # The settings file of the process, which the command-line tool also reads.
    settings_path: pathlib.Path


@dataclasses.dataclass(frozen=True)
class Server:
    """A backend server of the cluster."""

    # Its name in the instance list.
    name: str
    # The service that it belongs to.
    service: str
    # The process.
    process: Process
    # The address for requests and leases, as ``host:port``.
    address: str


class StartError(RuntimeError):
    """A process did not start in time."""


class Cluster:
    """The processes of a cluster, which include the stand-ins."""

    def __init__(self, shape: ClusterShape) -> None:
        """Starts the log service, the instance list and the backend servers."""
        self.shape = shape
        self.settings = _read_house(shape.settings_file)
        self.entries: dict[str, Entry] = {}
        self.servers: dict[str, Server] = {}
        self._client = httpx.Client(trust_env=False, timeout=5.0)
        shape.folder.mkdir(parents=True, exist_ok=True)
        for old_journal in shape.folder.glob("*.journal"):
            old_journal.unlink()
        self.log_url = f"http://{_LOOPBACK}:{find_free_port()}"
        self.list_url = f"http://{_LOOPBACK}:{find_free_port()}"
        self.log = self._start_standin(
            "log", "log", self.log_url, shape.log_settings
        )
        self.list = self._start_standin("list", "list", self.list_url, "{}")
        self._await_http(self.list, f"{self.list_url}/instances")
        for service in shape.services:
            for number in range(1, service.servers + 1):
                self.start_server(service, f"{service.service}-{number}")

    def __enter__(self) -> "Cluster":
        """Returns the cluster."""
        return self

    def __exit__(self, *exception: object) -> None:
        """Ends all processes of the cluster."""
        self.close()

    @property
    def place(self) -> tree.Place:
        """The settings of the place, as the settings file contains them."""
        return self.settings.places[self.shape.place]

    def start_server(self, shape: ServiceShape, name: str) -> Server:
        """Starts a backend server and adds it to the instance list."""
        policy = self.place.services[shape.service].policy
        address = f"{_LOOPBACK}:{find_free_port()}"
        settings = backend_standin.BackendStandinSettings(
            server=name,
            slots=policy.slots_per_server,
            service_ms=shape.service_ms,
            checks_fences=policy.checks_fences,
            journal_path=str(self._journal_path(name)),
        )
        process = self._start_standin(
            name, "backend", f"http://{address}", codec.to_json(settings)
        )
        server = Server(name, shape.service, process, address)
        self.servers[name] = server
        self.put_listing(
            membership.Listing(
                name=name,
                role=membership.Role.BACKEND,
                service=shape.service,
                failure_domain=self._choose_domain(len(self.servers)),
                address=address,
                state=membership.ListedState.LIVE,
            )
        )
        return server

    def await_entries(self) -> None:
        """Waits until every entry instance is ready.

        Raises:
            StartError: An instance did not become ready in time.
        """
        for entry in self.entries.values():
            self._await_http(entry.process, f"{entry.admin_url}/readyz")

    def start_entry(self, name: str) -> Entry:
        """Starts an entry instance and adds it to the instance list."""
        peer_address = f"{_LOOPBACK}:{find_free_port()}"
        caller_address = f"{_LOOPBACK}:{find_free_port()}"
        admin_address = f"{_LOOPBACK}:{find_free_port()}"
        domain = self._choose_domain(len(self.entries))
        path = self.shape.folder / f"{name}.jsonc"
        path.write_text(
            codec.to_json(
                {
                    "instance": name,
                    "house": self.settings.name,
                    "place": self.shape.place,
                    "failure_domain": domain,
                    "caller_address": caller_address,
                    "peer_address": peer_address,
                    "admin_address": admin_address,
                    "log_url": self.log_url,
                    "instance_list_url": self.list_url,
                    "memory_mb": self.shape.entry_memory_mb,
                },
                indent=2,
            ),
            encoding="utf-8",
        )
        process = Process(
            name,
            [
                sys.executable,
                "-m",
                "bridgecross_daemon.main",
                "--settings",
                str(path),
            ],
            self.shape.folder,
        )
        entry = Entry(
            name=name,
            process=process,
            caller_url=f"http://{caller_address}",
            admin_url=f"http://{admin_address}",
            peer_address=peer_address,
            settings_path=path,
        )
        self.entries[name] = entry
        self.put_listing(
            membership.Listing(
                name=name,
                role=membership.Role.ENTRY,
                service="",
                failure_domain=domain,
                address=peer_address,
                state=membership.ListedState.LIVE,
            )
        )
        return entry

    def put_listing(self, listing: membership.Listing) -> None:
        """Adds or replaces an entry of the instance list."""
        self._client.put(
            f"{self.list_url}/instances/{listing.name}",
            content=codec.to_json(listing),
        ).raise_for_status()

    def delete_listing(self, name: str) -> None:
        """Removes an entry of the instance list."""
        self._client.delete(f"{self.list_url}/instances/{name}")

    def set_faults(self, base_url: str, faults: object) -> None:
        """Replaces the faults of the stand-in at a base URL."""
        self._client.put(
            f"{base_url}/faults", content=codec.to_json(faults)
        ).raise_for_status()

    def read_journal(self, name: str) -> list[backend_standin.JournalEntry]:
        """Returns the journal of a backend server, which may have ended."""
        return backend_standin.read_journal(self._journal_path(name))

    def read_journals(self) -> list[backend_standin.JournalEntry]:
        """Returns the journal entries of all backend servers."""
        return [e for name in self.servers for e in self.read_journal(name)]

    def close(self) -> None:
        """Ends all processes of the cluster."""
        processes = [entry.process for entry in self.entries.values()]
        processes += [server.process for server in self.servers.values()]
        for process in [*processes, self.list, self.log]:
            process.signal(signal.SIGCONT)
            process.kill()
        self._client.close()

    def _journal_path(self, name: str) -> pathlib.Path:
        """Returns the path of a server's journal."""
        return self.shape.folder / f"{name}.journal"

    def _choose_domain(self, number: int) -> str:
        """Returns a failure domain of the place, round robin."""
        domains = self.place.failure_domains
        return domains[number % len(domains)]

    def _start_standin(
        self, name: str, kind: str, url: str, settings: str
    ) -> Process:
        """Starts a stand-in that listens at a URL."""
        return Process(
            name,
            [
                sys.executable,
                "-m",
                "bridgecross_standins.main",
                kind,
                "--address",
                url.removeprefix("http://"),
                "--settings",
                settings,
            ],
            self.shape.folder,
        )

    def _await_http(self, process: Process, url: str) -> None:
        """Waits until a URL is answered with 200.

        Raises:
            StartError: The timeout passed, or the process ended.
        """
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s and process.is_running():
            try:
                if self._client.get(url).status_code == _HTTP_OK:
                    return
            except httpx.HTTPError:
                pass
            time.sleep(_POLL_S)
        output = process.log_path.read_text(errors="replace")[-2_000:]
        raise StartError(f"{process.name} did not start:\n{output}")


def find_free_port() -> int:
    """Returns a loopback port that is free at present.

    The port lies below the range for outgoing connections, so that none of
    these can take it before it is bound. The first port that is tried depends
    on the process id, so that concurrent runs try different ones.

    Raises:
        StartError: No port is free.
    """
    for port in _ports:
        with socket.socket() as trial_socket:
            trial_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                trial_socket.bind((_LOOPBACK, port))
            except OSError:
                continue
            return port
    raise StartError("no loopback port is free")


def _read_house(path: pathlib.Path) -> tree.House:
    """Reads the settings file of a house.

    Raises:
        findings.FindingsError: The settings are not valid.
    """
    return check.check_text(path.read_text(encoding="utf-8"), str(path))
