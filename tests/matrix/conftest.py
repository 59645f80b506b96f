"""Disables a guard if an environment variable names one."""

import os

import pytest

from tests.matrix import guards


@pytest.fixture(autouse=True)
def _without_guard(monkeypatch: pytest.MonkeyPatch) -> None:
    name = os.environ.get(guards.VARIABLE)
    if name is not None:
        guards.GUARDS[name](monkeypatch)
