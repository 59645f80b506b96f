"""Shared by all tests of the workspace."""

import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Runs every asynchronous test on asyncio, as the daemon does."""
    return "asyncio"
