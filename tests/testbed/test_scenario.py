"""Scenario files, their faults by name, and what a seed draws from them."""

from __future__ import annotations

import numpy as np
import pytest
from click.testing import CliRunner

from lugtally.cli.root import root
from lugtally.testbed.emulator import endpoint_registry
from lugtally.testbed.scenario import arrivals, scenario, scenario_file, schedule
from lugtally.testbed.scenario.random_streams import stream, unit

SHIPPED = sorted(scenario_file.shipped())


def test_the_library_holds_the_named_days() -> None:
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
def test_a_shipped_scenario_is_sound_and_draws_the_same_again(name: str) -> None:
    day = scenario_file.load(name)
    assert day.name == name and day.about
    first, second = schedule.make_schedule(day, 7), schedule.make_schedule(day, 7)
    assert first == second and first.arrivals != schedule.make_schedule(day, 8).arrivals
    sent_per_s = len(first.arrivals) / day.length_s
    assert 0.5 < sent_per_s / first.rate < 2.2
    assert all(0 <= a.at < day.length_s and a.work > 0 for a in first.arrivals)
    assert {m.zone for m in first.machines} == set(day.fleet.zones)


@pytest.mark.parametrize(
    ("text", "complaint"),
    [
        ("name = ", "day.toml: no TOML: "),
        ("name = 'x'", "day.toml: Object missing required field `about`"),
        ("[fleet]\nservers = 0", "day.toml: fleet.servers: Expected `int` >= 1"),
        ("[fleet]\nserver = 3", "day.toml: fleet: Object contains unknown field `server`"),
        ("[fleet]\nspeed = [2.0, 1.0]", "day.toml: fleet.speed: [2.0, 1.0] is no range"),
        ("[load]\nrate_per_s = 'many'", "day.toml: load.rate_per_s: Expected `float`, got `str`"),
        ("[[troubles]]\nkind = 'flood'\nat_s = 1", "day.toml: troubles[0].kind: Invalid enum value 'flood'"),
        ("[[troubles]]\nkind = 'silent'\nat_s = 99", "day.toml: troubles[0].at_s: 99.0 is not within the 20.0 s"),
        ("[[troubles]]\nkind = 'silent'\nat_s = 1\nzone = 'moon'", "day.toml: troubles[0].zone: 'moon' is no zone"),
        ("[[troubles]]\nkind = 'silent'\nat_s = 1\nsame_as = 0", "day.toml: troubles[0].same_as: names no earlier"),
        ("[[troubles]]\nkind = 'sidecar-kill'\nat_s = 1\nsidecar = 9", "day.toml: troubles[0].sidecar: there are 4"),
        (
            "[[classes]]\nname = 'a'\nshare = 0.5\nwork_ms = 1\naim_ms = 1\ndeadline_ms = 2\nworth = 1\n"
            "effect = 'safe'",
            "day.toml: classes: the shares add up to 0.500",
        ),
    ],
)
def test_a_bad_file_is_named_with_table_and_field(text: str, complaint: str) -> None:
    head = "" if text.startswith("name") else "name = 'x'\nabout = 'y'\n"
    with pytest.raises(scenario.ScenarioError) as caught:
        scenario_file.decode(head + text, "day.toml")
    assert str(caught.value).startswith(complaint) and "\n" not in str(caught.value)


def test_the_command_exits_2_with_one_line(tmp_path: pytest.TempPathFactory) -> None:
    path = f"{tmp_path}/bad.toml"
    with open(path, "w", encoding="utf-8") as file:
        file.write("name = 'x'\nabout = 'y'\n[clients]\nretries = -1\n")
    for command in (["rehearse", "run", path], ["rehearse", "check", path], ["rehearse", "run", "no-such-day"]):
        result = CliRunner().invoke(root, command, standalone_mode=False)
        assert result.return_value == 2 and result.stderr.count("\n") == 1, result.output
    assert CliRunner().invoke(root, ["rehearse", "list"], standalone_mode=False).output.count("\n") == len(SHIPPED)


def test_one_more_process_moves_no_other_draw() -> None:
    small, large = (
        scenario_file.decode(f"name='x'\nabout='y'\n[fleet]\nservers={n}\nsidecars={m}\n", "x")
        for n, m in ((6, 3), (9, 3))
    )
    first, second = schedule.make_schedule(small, 3), schedule.make_schedule(large, 3)
    assert second.machines[:6] == first.machines
    assert second.arrivals == first.arrivals, "more servers, same clients"
    assert unit(1, "a", 2) == unit(1, "a", 2) != unit(1, "a", 3)
    assert stream(5, "x").random() != stream(5, "y").random()


def test_work_has_the_mean_of_its_class() -> None:
    for shape, spread in (("lognormal", 0.8), ("pareto", 2.5), ("exponential", 1.0), ("fixed", 1.0)):
        cls = scenario.RequestClass("a", 1.0, 40.0, 100, 200, 1, "safe", shape=shape, spread=spread)  # type: ignore[arg-type]
        drawn = arrivals.draw_work(cls, 0.04, stream(1, "test", shape), 200_000)
        assert float(np.mean(drawn)) == pytest.approx(0.04, rel=0.03), shape


def test_arrivals_follow_the_burst() -> None:
    day = scenario_file.decode(
        "name='x'\nabout='y'\nlength_s=30\n[load]\nrate_per_s=200\nshape='steady'\n"
        "[[troubles]]\nkind='burst'\nat_s=10\nfor_s=10\nsize=2.5\n",
        "x",
    )
    times = np.array([a.at for a in schedule.make_schedule(day, 2).arrivals])
    inside = ((times >= 10) & (times < 20)).sum()
    outside = len(times) - inside
    assert inside / (outside / 2) == pytest.approx(2.5, rel=0.1)


def test_the_registry_gives_changes_once_and_the_whole_list_to_who_is_behind() -> None:
    rows = [endpoint_registry.EndpointEntry(f"s{n}", "z", 0, "ready", 0) for n in range(3)]
    registry = endpoint_registry.EndpointRegistry(list(rows))
    assert registry.changes_since(None) == (True, rows) and registry.changes_since(1) == (False, [])
    draining = endpoint_registry.EndpointEntry("s1", "z", 0, "draining", 0)
    assert registry.update(draining) and not registry.update(draining)
    assert registry.changes_since(1) == (False, [draining]) and registry.changes_since(2) == (False, [])
    removed = endpoint_registry.EndpointEntry("s1", "z", 0, "gone", 0)
    assert registry.update(removed) and not registry.update(removed), "what has left cannot leave again"
    assert registry.changes_since(1) == (False, [removed]) and len(registry.changes_since(None)[1]) == 2
    assert registry.changes_since(99)[0], "a version from another incarnation of the list"
    for turn in range(endpoint_registry.MAX_CHANGES + 5):
        registry.update(endpoint_registry.EndpointEntry("s0", "z", 0, "ready", turn + 1))
    assert registry.changes_since(2)[0], "too far behind"
