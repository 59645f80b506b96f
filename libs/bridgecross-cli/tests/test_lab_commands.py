"""Tests of the ``lab`` commands, which simulate emulated instances."""

import json

import pytest

from bridgecross_cli import main


def test_hunt_simulates_a_seed_and_prints_counts(tmp_path, capsys):
    arguments = ["lab", "hunt", "--seeds", "1-1", "--keep", str(tmp_path)]
    assert main.main(arguments) == 0
    printed = capsys.readouterr().out
    assert "1 of 1 clusters played" in printed
    assert "0 broke a promise" in printed
    assert not list(tmp_path.iterdir())


def test_hunt_accepts_the_moving_draw(tmp_path, capsys):
    arguments = ["lab", "hunt", "--seeds", "1-1", "--draw", "moving"]
    arguments += ["--minutes", "0", "--keep", str(tmp_path)]
    assert main.main(arguments) == 0
    assert "0 of 1 clusters played" in capsys.readouterr().out


def test_hunt_starts_nothing_after_the_time_limit(tmp_path, capsys):
    arguments = ["lab", "hunt", "--seeds", "1-9", "--minutes", "0"]
    assert main.main([*arguments, "--keep", str(tmp_path)]) == 0
    assert "0 of 9 clusters played" in capsys.readouterr().out


@pytest.mark.parametrize("seeds", ["", "x", "3-1", "1-", "-2", "1-2-3"])
def test_malformed_seeds_are_rejected(seeds, capsys):
    with pytest.raises(SystemExit) as caught:
        main.main(["lab", "hunt", f"--seeds={seeds}"])
    assert caught.value.code == 2
    assert "--seeds" in capsys.readouterr().err


def test_replay_prints_the_log_of_a_schedule(tmp_path, capsys):
    path = tmp_path / "schedule.json"
    events = [{"at_s": 0.5, "kind": "change", "target": 0, "for_s": 0.0}]
    document = {"format": "bridgecross-schedule-1", "events": events}
    path.write_text(json.dumps(document), encoding="utf-8")
    assert main.main(["lab", "replay", str(path), "--log"]) == 0
    *lines, count = capsys.readouterr().out.splitlines()
    assert count == "0 violations"
    logged = [json.loads(line) for line in lines]
    assert {each["event"] for each in logged} >= {"leads", "key_map"}


@pytest.mark.parametrize("text", ["", "{}", '{"format": "other"}'])
def test_replay_rejects_files_without_a_schedule(tmp_path, capsys, text):
    path = tmp_path / "schedule.json"
    path.write_text(text, encoding="utf-8")
    assert main.main(["lab", "replay", str(path)]) == 2
    assert str(path) in capsys.readouterr().err


def test_replay_rejects_missing_files(tmp_path, capsys):
    assert main.main(["lab", "replay", str(tmp_path / "none")]) == 2
    assert "none" in capsys.readouterr().err
