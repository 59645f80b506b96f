"""Tests the walkthroughs of docs/OPERATIONS.md on the log that it uses."""

import pathlib

import pytest

from bridgecross_cli import main

ROOT = pathlib.Path(__file__).parents[3]
LOG = ROOT / "docs/operations-sample/karatas-trouble-1.log"
PAGE = ROOT / "docs/OPERATIONS.md"


@pytest.mark.parametrize(
    ("request_id", "cause"),
    [
        ("5984963762ccbff0", "had no room before"),
        ("b25df18a07bc8481", "it may have run"),
        ("093ef1a7f8ceb12b", "did not hold the key"),
    ],
)
def test_each_walkthrough_finds_its_cause(request_id, cause, capsys):
    assert f"logs explain {request_id}" in PAGE.read_text(encoding="utf-8")
    assert main.main(["logs", "explain", request_id, str(LOG)]) == 0
    assert cause in capsys.readouterr().out
