"""Tests of the moving averages of the durations of served attempts."""

from __future__ import annotations

import pytest

from lugtally.dispatch.service_times import NEW_DURATION_WEIGHT, ServiceTimes


def test_average_is_zero_before_the_first_duration() -> None:
    assert ServiceTimes().average_ns(0) == 0


def test_first_duration_is_the_average() -> None:
    service_times = ServiceTimes()
    service_times.record(0, 1000)
    assert service_times.average_ns(0) == 1000


def test_later_durations_move_the_average_of_their_class_only() -> None:
    service_times = ServiceTimes()
    service_times.record(0, 1000)
    service_times.record(1, 500)
    service_times.record(0, 2000)
    assert service_times.average_ns(0) == pytest.approx(1000 + 1000 * NEW_DURATION_WEIGHT)
    assert service_times.average_ns(1) == 500
