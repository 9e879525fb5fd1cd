"""Arrivals: the mean work of the requests of a class, and the request rate during a burst."""

from __future__ import annotations

import numpy as np
import pytest

from lugtally.testbed.scenario import arrivals, scenario, scenario_file, schedule
from lugtally.testbed.scenario.random_streams import stream


def test_work_has_the_mean_of_its_class() -> None:
    for shape, spread in (("lognormal", 0.8), ("pareto", 2.5), ("exponential", 1.0), ("fixed", 1.0)):
        request_class = scenario.RequestClass("a", 1.0, 40.0, 100, 200, 1, "safe", shape=shape, spread=spread)  # type: ignore[arg-type]
        works = arrivals.draw_work(request_class, 0.04, stream(1, "test", shape), 200_000)
        assert float(np.mean(works)) == pytest.approx(0.04, rel=0.03), shape


def test_request_rate_rises_by_size_of_burst() -> None:
    burst_scenario = scenario_file.decode(
        "name='x'\nabout='y'\nlength_s=30\n[load]\nrate_per_s=200\nshape='steady'\n"
        "[[troubles]]\nkind='burst'\nat_s=10\nfor_s=10\nsize=2.5\n",
        "x",
    )
    times = np.array([arrival.at for arrival in schedule.make_schedule(burst_scenario, 2).arrivals])
    during_burst = ((times >= 10) & (times < 20)).sum()
    before_and_after = len(times) - during_burst
    assert during_burst / (before_and_after / 2) == pytest.approx(2.5, rel=0.1)
