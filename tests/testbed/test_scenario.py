"""Scenario files: errors that name the invalid field, and schedules that are drawn from a seed."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from lugtally.cli.root import root
from lugtally.testbed.scenario import scenario, scenario_file, schedule
from lugtally.testbed.scenario.random_streams import named_uniform, stream

SHIPPED = sorted(scenario_file.shipped())


def test_named_scenarios_are_shipped() -> None:
    assert {
        "quiet",
        "christmas-appeal",
        "may-deadline",
        "silent-servers",
        "neighbour",
        "burst",
        "shared-slow",
        "drain-goes-silent",
        "rolling-release",
        "cold-restart",
        "discovery-outage",
        "overload",
    } <= set(SHIPPED)


@pytest.mark.parametrize("name", SHIPPED)
def test_shipped_scenario_is_valid_and_reproducible(name: str) -> None:
    loaded = scenario_file.load(name)
    assert loaded.name == name
    assert loaded.about
    first, second = schedule.make_schedule(loaded, 7), schedule.make_schedule(loaded, 7)
    assert first == second
    assert first.arrivals != schedule.make_schedule(loaded, 8).arrivals
    requests_per_s = len(first.arrivals) / loaded.length_s
    assert 0.5 < requests_per_s / first.rate < 2.2
    assert all(0 <= arrival.at < loaded.length_s and arrival.work > 0 for arrival in first.arrivals)
    assert {machine.zone for machine in first.machines} == set(loaded.fleet.zones)


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("name = ", "day.toml: invalid TOML: "),
        ("name = 'x'", "day.toml: Object missing required field `about`"),
        ("[fleet]\nservers = 0", "day.toml: fleet.servers: Expected `int` >= 1"),
        ("[fleet]\nserver = 3", "day.toml: fleet: Object contains unknown field `server`"),
        ("[fleet]\nspeed = [2.0, 1.0]", "day.toml: fleet.speed: [2.0, 1.0] is not a range"),
        ("[load]\nrate_per_s = 'many'", "day.toml: load.rate_per_s: Expected `float`, got `str`"),
        ("[[troubles]]\nkind = 'flood'\nat_s = 1", "day.toml: troubles[0].kind: Invalid enum value 'flood'"),
        ("[[troubles]]\nkind = 'silent'\nat_s = 99", "day.toml: troubles[0].at_s: 99.0 is not within the 20.0 s"),
        ("[[troubles]]\nkind = 'silent'\nat_s = 1\nzone = 'moon'", "day.toml: troubles[0].zone: 'moon' is not a zone"),
        (
            "[[troubles]]\nkind = 'silent'\nat_s = 1\nsame_as = 0",
            "day.toml: troubles[0].same_as: is not the index of an earlier fault",
        ),
        ("[[troubles]]\nkind = 'sidecar-kill'\nat_s = 1\nsidecar = 9", "day.toml: troubles[0].sidecar: there are 4"),
        (
            "[[classes]]\nname = 'a'\nshare = 0.5\nwork_ms = 1\naim_ms = 1\ndeadline_ms = 2\nworth = 1\n"
            "effect = 'safe'",
            "day.toml: classes: the shares add up to 0.500",
        ),
    ],
)
def test_invalid_scenario_error_names_file_and_field(text: str, expected_error: str) -> None:
    required_fields = "" if text.startswith("name") else "name = 'x'\nabout = 'y'\n"
    with pytest.raises(scenario.ScenarioError) as raised:
        scenario_file.decode(required_fields + text, "day.toml")
    assert str(raised.value).startswith(expected_error)
    assert "\n" not in str(raised.value)


def test_invalid_scenario_exits_2_with_one_line(tmp_path: Path) -> None:
    path = str(tmp_path / "bad.toml")
    Path(path).write_text("name = 'x'\nabout = 'y'\n[clients]\nretries = -1\n", encoding="utf-8")
    for command in (["rehearse", "run", path], ["rehearse", "check", path], ["rehearse", "run", "no-such-scenario"]):
        result = CliRunner().invoke(root, command, standalone_mode=False)
        assert result.return_value == 2, result.output
        assert result.stderr.count("\n") == 1, result.output
    assert CliRunner().invoke(root, ["rehearse", "list"], standalone_mode=False).output.count("\n") == len(SHIPPED)


def test_additional_servers_change_no_other_draw() -> None:
    small, large = (
        scenario_file.decode(f"name='x'\nabout='y'\n[fleet]\nservers={servers}\nsidecars={sidecars}\n", "x")
        for servers, sidecars in ((6, 3), (9, 3))
    )
    first, second = schedule.make_schedule(small, 3), schedule.make_schedule(large, 3)
    assert second.machines[:6] == first.machines
    assert second.arrivals == first.arrivals, "the number of servers does not change the arrivals"
    assert named_uniform(1, "a", 2) == named_uniform(1, "a", 2) != named_uniform(1, "a", 3)
    assert stream(5, "x").random() != stream(5, "y").random()
