"""Tests of the settings: validation of each field, and the defaults."""

from __future__ import annotations

import pytest

from lugtally import Balancer, balancing
from lugtally.units import NS_PER_S
from tests.balancing.harness import make_endpoints


@pytest.mark.parametrize(
    ("field", "make"),
    [
        ("deduplication_window_ns", lambda: balancing.RequestClass(deduplication_window_ns=-1)),
        ("latency_objective_ns", lambda: balancing.RequestClass(latency_objective_ns=0)),
        ("idempotency", lambda: balancing.RequestClass(idempotency="maybe")),  # type: ignore[arg-type]
        ("deduplication_scope", lambda: balancing.RequestClass(deduplication_scope="rack")),  # type: ignore[arg-type]
        ("overload_multiple", lambda: balancing.Settings(overload_multiple=float("nan"))),
        ("slow_start_window_ns", lambda: balancing.Settings(slow_start_window_ns=-5)),
        ("initial_capacity", lambda: balancing.Settings(initial_capacity=1.5)),
        ("fleet_size", lambda: balancing.Settings(fleet_size=0)),
    ],
)
def test_invalid_settings_error_names_the_field(field: str, make: object) -> None:
    assert callable(make)
    with pytest.raises(ValueError, match=f"^{field}: "):
        make()


def test_balancer_with_default_settings_sends_an_attempt() -> None:
    balancer = Balancer(balancing.Settings(), 1)
    balancer.handle(5, balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, make_endpoints(3)))
    first_action = balancer.handle(6, balancing.Request("a", 4, 2, NS_PER_S))[0]
    assert type(first_action) is balancing.SendAttempt
