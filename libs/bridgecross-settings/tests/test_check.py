import pathlib

import pytest

from bridgecross_core import findings
from bridgecross_settings import check
from bridgecross_settings import process
from bridgecross_settings import tree

SAMPLES = pathlib.Path(__file__).parents[3] / "settings"
KARATAS = (SAMPLES / "karatas.jsonc").read_text(encoding="utf-8")

# Each case replaces one text of the sample: old text, new text, and a part of
# the expected finding.
MISTAKES = {
    "unknown field, bad unit": (
        '"slots_per_server": 4',
        '"slots_per_server": 4, "lease_s": 4',
        "lease_s: unknown field 'lease_s' at this level "
        "(did you mean lease_ms?)",
    ),
    "wrong type": (
        '"connections_per_server": 130',
        '"connections_per_server": "130"',
        "connections_per_server: '130' is not of type 'integer'",
    ),
    "out of range": (
        '"imbalance_target_ratio": 1.2',
        '"imbalance_target_ratio": 0.2',
        "imbalance_target_ratio: 0.2 is less than the minimum of 1.0",
    ),
    "field too deep": (
        '"inspector": { "priority": 2 }',
        '"inspector": { "priority": 2, "slice_count": 9 }',
        "unknown field 'slice_count' at this level",
    ),
    "broken reference to a tier": (
        '"anadolu/kapama": "authority"',
        '"anadolu/kapama": "minister"',
        "service 'anadolu/kapama' has no tier 'minister'",
    ),
    "broken reference to a service": (
        '"anadolu/bulgu": "contractor"',
        '"anadolu/bulgular": "contractor"',
        "no service 'anadolu/bulgular'",
    ),
    "field twice": (
        '"house": "karatas"',
        '"house": "karatas", "house": "karatas"',
        "house: the field appears twice",
    ),
}


def _find_line(text: str, fragment: str) -> int:
    return text[: text.index(fragment)].count("\n") + 1


@pytest.mark.parametrize("name", ["karatas", "valdivieso"])
def test_samples_are_valid(name):
    text = (SAMPLES / f"{name}.jsonc").read_text(encoding="utf-8")
    assert check.check_text(text, name).name == name


@pytest.mark.parametrize(
    ("old", "new", "expected"), MISTAKES.values(), ids=MISTAKES.keys()
)
def test_a_mistake_is_reported_with_its_line(old, new, expected):
    text = KARATAS.replace(old, new, 1)
    with pytest.raises(findings.FindingsError) as caught:
        check.check_text(text, "house.jsonc")
    (finding,) = caught.value.findings
    assert expected in str(finding)
    assert finding.place.line == _find_line(text, new)


def test_all_mistakes_are_reported_together():
    text = KARATAS
    for old, new, _ in MISTAKES.values():
        text = text.replace(old, new, 1)
    with pytest.raises(findings.FindingsError) as caught:
        check.check_text(text, "house.jsonc")
    report = str(caught.value)
    for _, _, expected in MISTAKES.values():
        assert expected in report
    assert len(caught.value.findings) == len(MISTAKES)


def test_a_syntax_error_is_a_finding():
    with pytest.raises(findings.FindingsError) as caught:
        check.check_text('{\n  "house": \n}', "house.jsonc")
    assert "not JSON with comments" in str(caught.value)


@pytest.mark.parametrize("text", ["[]", "3", "null", '"x"'])
def test_a_document_that_is_no_object_is_a_finding(text):
    with pytest.raises(findings.FindingsError):
        check.check_text(text, "house.jsonc")


def test_levels_inherit_and_override_values():
    house = check.check_text(KARATAS, "karatas")
    place = house.places["anadolu"]
    tiers = place.services["rapor"].tiers
    assert tiers["authority"].policy.queue_requests == 128
    assert tiers["inspector"].policy.queue_requests == 64
    assert place.services["rapor"].policy.slots_per_server == 4
    origins = {
        field.name: field.origin
        for field in house.list_effective("karatas/anadolu/rapor/authority")
    }
    assert origins["queue_requests"] == "karatas/anadolu/rapor/authority"
    assert origins["deadline_ms"] == tree.DEFAULT_ORIGIN
    assert "slice_count" not in origins


def test_an_unknown_path_error_lists_known_names():
    house = check.check_text(KARATAS, "karatas")
    with pytest.raises(tree.UnknownPathError, match="bulgu, cizim, kapama"):
        house.list_effective("karatas/anadolu/rapport")


def test_process_settings_report_all_findings():
    text = '{\n"instance": "Entry 1",\n"port": 3,\n"log_url": "http://log"\n}'
    with pytest.raises(findings.FindingsError) as caught:
        process.check_process_text(text, "entry.jsonc")
    report = str(caught.value)
    assert "entry.jsonc:2: instance" in report
    assert "entry.jsonc:3: port: unknown field" in report
    assert "entry.jsonc:4: log_url" in report
    assert "'house' is a required property" in report
