import pathlib

import pytest

from bridgecross_cli import main

SAMPLES = pathlib.Path(__file__).parents[3] / "settings"


def test_check_reports_five_mistakes_together(tmp_path, capsys):
    text = (SAMPLES / "karatas.jsonc").read_text(encoding="utf-8")
    for old, new in (
        ('"slots_per_server": 4', '"slots_per_server": "four"'),
        ('"connections_per_server": 130', '"connections": 130'),
        ('"imbalance_target_ratio": 1.2', '"imbalance_target_ratio": 99'),
        ('"priority": 3, "queue_requests": 32', '"queue_requests": 32'),
        ('"anadolu/kapama": "authority"', '"anadolu/kapama": "minister"'),
    ):
        assert old in text
        text = text.replace(old, new, 1)
    path = tmp_path / "bad.jsonc"
    path.write_text(text, encoding="utf-8")
    assert main.main(["settings", "check", str(path)]) == 2
    report = capsys.readouterr().err.splitlines()
    assert report[-1] == "5 finding(s)"
    assert all(line.startswith(f"{path}:") for line in report[:-1])


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["settings", "check", str(SAMPLES / "valdivieso.jsonc")], 0),
        (["settings", "check", "no-such-file.jsonc"], 2),
        (["status", "--connect", "no-such-file.jsonc"], 2),
        (
            [
                "settings",
                "show",
                "--file",
                str(SAMPLES / "karatas.jsonc"),
                "--effective",
                "karatas/anadolu/rapport",
            ],
            2,
        ),
    ],
)
def test_exit_codes(arguments, code):
    assert main.main(arguments) == code


def test_effective_settings_show_the_level_that_set_them(capsys):
    path = str(SAMPLES / "karatas.jsonc")
    node = "karatas/anadolu/rapor/authority"
    arguments = ["settings", "show", "--file", path, "--effective", node]
    assert main.main(arguments) == 0
    lines = capsys.readouterr().out.splitlines()
    fields = {line.split()[0]: line.split()[1:] for line in lines}
    assert fields["queue_requests"] == ["128", node]
    assert fields["deadline_ms"] == ["2000", "(default)"]
