"""Disables each guard in turn and counts the cases of the matrix that fail.

A guard is not tested by the matrix if no case fails without it.
``python -m tests.matrix.guards`` prints the table of
``docs/design/proof.md``.
"""

from collections.abc import Callable
import os
import re
import subprocess
import sys
from typing import Any

import pytest

from bridgecross_daemon import _peer_log_reader
from bridgecross_ownership import _prior_owners
from bridgecross_ownership import authority
from bridgecross_ownership import cell
from bridgecross_ownership import lease_manager
from bridgecross_ownership import leases
from bridgecross_settings import versions
from tests.matrix import fakes

VARIABLE = "WITHOUT_GUARD"
"""The environment variable that names the guard to disable."""

_WORKER_COUNT = "5"
_CASES = (
    "test_outage or test_fault_at_step"
    " and (slow or isolated or paused or acknowledgements or race)"
)
Patch = Callable[[pytest.MonkeyPatch], None]


def _skip_assignment_check(reason_prefix: str) -> Patch:
    """Returns a patch that accepts one kind of invalid assignment."""

    def patch(monkeypatch: pytest.MonkeyPatch) -> None:
        original = cell.Cell._find_violation

        def find_violation(self: cell.Cell, assignment: Any) -> str:
            reason = original(self, assignment)
            return "" if reason.startswith(reason_prefix) else reason

        monkeypatch.setattr(cell.Cell, "_find_violation", find_violation)

    return patch


def _accept_every_claim(monkeypatch: pytest.MonkeyPatch) -> None:
    original = cell.Cell._apply_claim

    def apply_claim(self: cell.Cell, offset: Any, claim: Any) -> Any:
        return original(self, offset, claim._replace(supersedes=self.term))

    monkeypatch.setattr(cell.Cell, "_apply_claim", apply_claim)


def _ignore_settings_base(monkeypatch: pytest.MonkeyPatch) -> None:
    def apply(self: versions.SettingsState, record: Any) -> Any:
        change = versions._CHANGES.decode(record.envelope.body)
        return self._activate(
            versions.SettingsVersion(
                record.offset, change.author, change.summary, change.document
            )
        )

    monkeypatch.setattr(versions.SettingsState, "apply", apply)


def _ignore_prior_owners(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        _prior_owners.PriorOwners, "is_free", lambda self, index: True
    )


def _skip_lease_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        leases.LeaseTerm, "over_at_s", property(lambda self: 0.0)
    )


def _grant_authority_always(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        authority.Authority,
        "may_act_as_queue_owner",
        lambda self, witnesses: True,
    )


def _skip_witnesses(monkeypatch: pytest.MonkeyPatch) -> None:
    async def has_read(self: Any, instance: Any, offset: Any) -> bool:
        return True

    monkeypatch.setattr(_peer_log_reader.PeerLogReader, "has_read", has_read)


def _ignore_earlier_queue_owners(monkeypatch: pytest.MonkeyPatch) -> None:
    original = lease_manager.LeaseManager.__init__

    def build(self: Any, *arguments: Any, **options: Any) -> None:
        original(self, *arguments, **options)
        self._earlier._over_at_s.clear()
        self._maybe_held = set()

    monkeypatch.setattr(lease_manager.LeaseManager, "__init__", build)


def _ignore_held_grants(monkeypatch: pytest.MonkeyPatch) -> None:
    original = lease_manager.LeaseManager._has_released

    def has_released(self: Any, wanted: Any) -> bool:
        self._maybe_held = set()
        return original(self, wanted)

    monkeypatch.setattr(
        lease_manager.LeaseManager, "_has_released", has_released
    )


def _ignore_running_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        lease_manager.LeaseManager, "begin_request", lambda self, index: None
    )
    monkeypatch.setattr(
        lease_manager.LeaseManager,
        "end_request",
        lambda self, index, over_at_s: None,
    )


def _skip_lease_check(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        lease_manager.LeaseManager,
        "is_open",
        lambda self, index, token: self._granted.get(index) == token,
    )


def _disable_server_fence(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        fakes.FakeServer, "is_fenced", lambda self, fence: False
    )
    original = fakes.FakeServer.__init__

    def build(self: Any, *arguments: Any, **options: Any) -> None:
        original(self, *arguments, **options)
        self._checks = False

    monkeypatch.setattr(fakes.FakeServer, "__init__", build)


def _start_lease_at_receipt(monkeypatch: pytest.MonkeyPatch) -> None:
    original = fakes.FakeServer.exchange

    def exchange(self: Any, request: Any) -> Any:
        reply = original(self, request)
        if reply.accepted and request.echo is not None:
            self._lease_until_ms = self._now_ms() + request.lease_ms
        return reply

    monkeypatch.setattr(fakes.FakeServer, "exchange", exchange)


def _accept_earlier_queue_owners(monkeypatch: pytest.MonkeyPatch) -> None:
    original = fakes.FakeServer.exchange

    def exchange(self: Any, request: Any) -> Any:
        self._queue_owner_token = min(
            self._queue_owner_token, request.front_token
        )
        self._sequence = 0
        return original(self, request)

    monkeypatch.setattr(fakes.FakeServer, "exchange", exchange)


GUARDS: dict[str, Patch] = {
    "fold: a claim ends the newest term": _accept_every_claim,
    "fold: an assignment is of the newest term": _skip_assignment_check(
        "is of term"
    ),
    "fold: an assignment builds on the newest": _skip_assignment_check(
        "builds on"
    ),
    "settings: a change edits the newest": _ignore_settings_base,
    "keeper: earlier owners let go first": _ignore_prior_owners,
    "keeper: a lost server's lease is waited for": _skip_lease_wait,
    "keeper: what the server still holds": _ignore_held_grants,
    "keeper: earlier fronts are stopped first": _ignore_earlier_queue_owners,
    "keeper: requests under way hold a slice": _ignore_running_requests,
    "runner: the last look before sending": _skip_lease_check,
    "authority: news must be fresh": _grant_authority_always,
    "authority: witnesses must have read": _skip_witnesses,
    "server: the fence": _disable_server_fence,
    "server: a lease counts from the echo": _start_lease_at_receipt,
    "server: an earlier front is refused": _accept_earlier_queue_owners,
}
"""The patches that disable the guards, by the name of the guard."""


def main() -> int:
    """Runs the matrix without each guard and prints how many cases fail."""
    print(f"{'guard taken out':<46}{'red':>5}{'of':>6}")
    untested = 0
    for name in sys.argv[1:] or GUARDS:
        run = subprocess.run(
            [
                sys.executable,
                "-m",
                "pytest",
                "tests/matrix",
                "--override-ini=addopts=--import-mode=importlib -q",
                "--numprocesses",
                _WORKER_COUNT,
                "--tb=no",
                "-k",
                _CASES,
            ],
            env=os.environ | {VARIABLE: name},
            capture_output=True,
            text=True,
            check=False,
        )
        counts = {
            word: int(number)
            for number, word in re.findall(r"(\d+) (passed|failed)", run.stdout)
        }
        failed = counts.get("failed", 0)
        untested += not failed
        print(f"{name:<46}{failed:>5}{sum(counts.values()):>6}", flush=True)
    return 1 if untested else 0


if __name__ == "__main__":
    sys.exit(main())
