"""Starts a whole house as separate processes on this machine.

For tests, measurements and the demo. Every process listens on loopback and
is ended by its id when the house is closed.
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
    """How many backend servers a service has, and what they are like."""

    # The service's name in the settings.
    service: str
    # The number of backend servers.
    servers: int
    # How long a request takes.
    service_ms: float = 2.0


@dataclasses.dataclass(frozen=True)
class HouseShape:
    """What to start."""

    # The file with the house's settings.
    settings_file: pathlib.Path
    # The place to start.
    place: str
    # The services.
    services: tuple[ServiceShape, ...]
    # The number of entry instances.
    instances: int
    # Where logs and process settings are written.
    folder: pathlib.Path
    # The settings of the log stand-in, as JSON.
    log_settings: str = "{}"


class Process:
    """One process that was started here."""

    def __init__(
        self, name: str, arguments: list[str], folder: pathlib.Path
    ) -> None:
        """Starts the process; its output goes to a file in the folder."""
        self.name = name
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("wb") as output:
            self._process = subprocess.Popen(
                arguments, stdout=output, stderr=output
            )

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._process.pid

    def is_running(self) -> bool:
        """Returns whether the process has not ended."""
        return self._process.poll() is None

    def signal(self, number: int) -> None:
        """Sends the process a signal, if it still runs."""
        if self.is_running():
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Ends the process at once, as a loss would."""
        self.signal(signal.SIGKILL)
        self._process.wait()

    def terminate(self) -> None:
        """Begins a planned stop."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits until the process has ended and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: It did not end in time.
        """
        return self._process.wait(timeout_s)


@dataclasses.dataclass(frozen=True)
class Entry:
    """An entry instance that was started here."""

    # Its name in the instance list.
    name: str
    # The process.
    process: Process
    # Where callers reach it.
    caller_url: str
    # Where health checks and metrics are.
    admin_url: str
    # Where peers reach it, as ``host:port``.
    peer_address: str
    # The process's settings, which the command-line tool reads as well.
    settings_path: pathlib.Path


@dataclasses.dataclass(frozen=True)
class Server:
    """A backend server that was started here."""

    # Its name in the instance list.
    name: str
    # The service that it belongs to.
    service: str
    # The process.
    process: Process
    # Where it is reached, as ``host:port``.
    address: str


class StartError(RuntimeError):
    """A process did not come up."""


class House:
    """A house's processes, from the log service to the entry instances."""

    def __init__(self, shape: HouseShape) -> None:
        """Starts log service, instance list and backend servers."""
        self.shape = shape
        self.settings = _read_house(shape.settings_file)
        self.entries: dict[str, Entry] = {}
        self.servers: dict[str, Server] = {}
        self._client = httpx.Client(trust_env=False, timeout=5.0)
        shape.folder.mkdir(parents=True, exist_ok=True)
        for old in shape.folder.glob("*.journal"):
            old.unlink()
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

    def __enter__(self) -> "House":
        """Returns the house."""
        return self

    def __exit__(self, *exception: object) -> None:
        """Ends all processes."""
        self.close()

    @property
    def place(self) -> tree.Place:
        """The place's settings as the file has them."""
        return self.settings.places[self.shape.place]

    def start_server(self, shape: ServiceShape, name: str) -> Server:
        """Starts a backend server and lists it."""
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
            StartError: One of them did not come up.
        """
        for entry in self.entries.values():
            self._await_http(entry.process, f"{entry.admin_url}/readyz")

    def start_entry(self, name: str) -> Entry:
        """Starts one entry instance and lists it."""
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
        """Adds or changes a line of the instance list."""
        self._client.put(
            f"{self.list_url}/instances/{listing.name}",
            content=codec.to_json(listing),
        ).raise_for_status()

    def delete_listing(self, name: str) -> None:
        """Removes a line of the instance list."""
        self._client.delete(f"{self.list_url}/instances/{name}")

    def set_faults(self, base_url: str, faults: object) -> None:
        """Switches the faults of a stand-in."""
        self._client.put(
            f"{base_url}/faults", content=codec.to_json(faults)
        ).raise_for_status()

    def read_journal(self, name: str) -> list[backend_standin.JournalEntry]:
        """Returns what a backend server has journalled, alive or not."""
        return backend_standin.read_journal(self._journal_path(name))

    def read_journals(self) -> list[backend_standin.JournalEntry]:
        """Returns what all backend servers have journalled."""
        return [e for name in self.servers for e in self.read_journal(name)]

    def close(self) -> None:
        """Ends all processes that were started here."""
        processes = [entry.process for entry in self.entries.values()]
        processes += [server.process for server in self.servers.values()]
        for process in [*processes, self.list, self.log]:
            process.signal(signal.SIGCONT)
            process.kill()
        self._client.close()

    def _journal_path(self, name: str) -> pathlib.Path:
        """Returns the file of a server's journal."""
        return self.shape.folder / f"{name}.journal"

    def _choose_domain(self, number: int) -> str:
        """Returns a failure domain, one after another."""
        domains = self.place.failure_domains
        return domains[number % len(domains)]

    def _start_standin(
        self, name: str, kind: str, url: str, settings: str
    ) -> Process:
        """Starts a stand-in."""
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
        """Waits until a URL answers 200.

        Raises:
            StartError: It did not in time, or the process ended.
        """
        give_up_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < give_up_s and process.is_running():
            try:
                if self._client.get(url).status_code == _HTTP_OK:
                    return
            except httpx.HTTPError:
                pass
            time.sleep(_POLL_S)
        output = process.log_path.read_text(errors="replace")[-2_000:]
        raise StartError(f"{process.name} did not come up:\n{output}")


def find_free_port() -> int:
    """Returns a loopback port that is free at the moment.

    The port lies below those that the kernel gives to outgoing connections,
    so that none of these can take it before it is bound. Runs that go on at
    the same time start at different ports.

    Raises:
        StartError: No port is free.
    """
    for port in _ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((_LOOPBACK, port))
            except OSError:
                continue
            return port
    raise StartError("no port is free")


def _read_house(path: pathlib.Path) -> tree.House:
    """Reads the settings of a house.

    Raises:
        findings.FindingsError: They are not sound.
    """
    return check.check_text(path.read_text(encoding="utf-8"), str(path))
