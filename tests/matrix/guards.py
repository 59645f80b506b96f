"""Takes each guard out in turn and counts the cells that go red.

A matrix that stays green without a guard does not prove that guard.
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
"""The environment variable that names the guard to take out."""

_WORKERS = "5"
_CELLS = (
    "test_outage or test_fault_at_step"
    " and (slow or isolated or paused or acknowledgements or race)"
)
Patch = Callable[[pytest.MonkeyPatch], None]


def _fold_without(word: str) -> Patch:
    """Returns a patch that lets one fault of an assignment pass."""

    def patch(monkeypatch: pytest.MonkeyPatch) -> None:
        original = cell.Cell._find_violation

        def find_violation(self: cell.Cell, assignment: Any) -> str:
            reason = original(self, assignment)
            return "" if reason.startswith(word) else reason

        monkeypatch.setattr(cell.Cell, "_find_violation", find_violation)

    return patch


def _claims_always_valid(monkeypatch: pytest.MonkeyPatch) -> None:
    original = cell.Cell._apply_claim

    def apply_claim(self: cell.Cell, offset: Any, claim: Any) -> Any:
        return original(self, offset, claim._replace(supersedes=self.term))

    monkeypatch.setattr(cell.Cell, "_apply_claim", apply_claim)


def _settings_without_base(monkeypatch: pytest.MonkeyPatch) -> None:
    def apply(self: versions.SettingsState, record: Any) -> Any:
        change = versions._CHANGES.decode(record.envelope.body)
        return self._activate(
            versions.SettingsVersion(
                record.offset, change.author, change.summary, change.document
            )
        )

    monkeypatch.setattr(versions.SettingsState, "apply", apply)


def _no_blockers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        _prior_owners.PriorOwners, "is_free", lambda self, index: True
    )


def _lease_never_awaited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        leases.LeaseTerm, "over_at_s", property(lambda self: 0.0)
    )


def _always_authority(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        authority.Authority, "may_act_as_front", lambda self, witnesses: True
    )


def _witnesses_not_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    async def has_read(self: Any, instance: Any, offset: Any) -> bool:
        return True

    monkeypatch.setattr(_peer_log_reader.PeerLogReader, "has_read", has_read)


def _earlier_fronts_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    original = lease_manager.LeaseManager.__init__

    def build(self: Any, *arguments: Any, **options: Any) -> None:
        original(self, *arguments, **options)
        self._earlier._over_at_s.clear()
        self._maybe_held = set()

    monkeypatch.setattr(lease_manager.LeaseManager, "__init__", build)


def _held_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    original = lease_manager.LeaseManager._has_released

    def has_released(self: Any, wanted: Any) -> bool:
        self._maybe_held = set()
        return original(self, wanted)

    monkeypatch.setattr(
        lease_manager.LeaseManager, "_has_released", has_released
    )


def _busy_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        lease_manager.LeaseManager, "begin_request", lambda self, index: None
    )
    monkeypatch.setattr(
        lease_manager.LeaseManager,
        "end_request",
        lambda self, index, over_at_s: None,
    )


def _always_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        lease_manager.LeaseManager,
        "is_open",
        lambda self, index, token: self._granted.get(index) == token,
    )


def _server_fence_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        fakes.FakeServer, "is_fenced", lambda self, fence: False
    )
    original = fakes.FakeServer.__init__

    def build(self: Any, *arguments: Any, **options: Any) -> None:
        original(self, *arguments, **options)
        self._checks = False

    monkeypatch.setattr(fakes.FakeServer, "__init__", build)


def _lease_from_receipt(monkeypatch: pytest.MonkeyPatch) -> None:
    original = fakes.FakeServer.exchange

    def exchange(self: Any, asked: Any) -> Any:
        reply = original(self, asked)
        if reply.accepted and asked.echo is not None:
            self._lease_until_ms = self._now_ms() + asked.lease_ms
        return reply

    monkeypatch.setattr(fakes.FakeServer, "exchange", exchange)


def _old_fronts_obeyed(monkeypatch: pytest.MonkeyPatch) -> None:
    original = fakes.FakeServer.exchange

    def exchange(self: Any, asked: Any) -> Any:
        self._front_token = min(self._front_token, asked.front_token)
        self._sequence = 0
        return original(self, asked)

    monkeypatch.setattr(fakes.FakeServer, "exchange", exchange)


GUARDS: dict[str, Patch] = {
    "fold: a claim ends the newest term": _claims_always_valid,
    "fold: an assignment is of the newest term": _fold_without("is of term"),
    "fold: an assignment builds on the newest": _fold_without("builds on"),
    "settings: a change edits the newest": _settings_without_base,
    "keeper: earlier owners let go first": _no_blockers,
    "keeper: a lost server's lease is waited for": _lease_never_awaited,
    "keeper: what the server still holds": _held_ignored,
    "keeper: earlier fronts are stopped first": _earlier_fronts_ignored,
    "keeper: requests under way hold a slice": _busy_ignored,
    "runner: the last look before sending": _always_open,
    "authority: news must be fresh": _always_authority,
    "authority: witnesses must have read": _witnesses_not_asked,
    "server: the fence": _server_fence_off,
    "server: a lease counts from the echo": _lease_from_receipt,
    "server: an earlier front is refused": _old_fronts_obeyed,
}
"""The guards by name."""


def main() -> int:
    """Runs the matrix without each guard and prints what went red."""
    print(f"{'guard taken out':<46}{'red':>5}{'of':>6}")
    silent = 0
    for name in sys.argv[1:] or GUARDS:
        run = subprocess.run(
            [
                sys.executable,
                "-m",
                "pytest",
                "tests/matrix",
                "--override-ini=addopts=--import-mode=importlib -q",
                "--numprocesses",
                _WORKERS,
                "--tb=no",
                "-k",
                _CELLS,
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
        red = counts.get("failed", 0)
        silent += not red
        print(f"{name:<46}{red:>5}{sum(counts.values()):>6}", flush=True)
    return 1 if silent else 0


if __name__ == "__main__":
    sys.exit(main())
