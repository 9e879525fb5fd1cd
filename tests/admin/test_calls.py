"""Parsing and execution of admin calls, and the JSON object of the counters, without sockets."""

from __future__ import annotations

import ujson

from lugtally.admin.calls import AdminCall, AdminOperation, execute_call, parse_call
from lugtally.dispatch.attempt_outcome import FULLY_SENT, AttemptOutcome
from lugtally.dispatch.metrics import RequestMetrics


class FakeBackend:
    """A backend with two listed endpoints, which records the drained ones."""

    def __init__(self) -> None:
        self.drained: set[str] = set()
        self.listed = {"s-1", "s-2"}
        self.ready = True

    def is_ready(self) -> bool:
        return self.ready

    def counters(self) -> dict[str, object]:
        return {"concurrent": 3}

    def start_drain(self, endpoint_name: str) -> bool:
        if endpoint_name in self.listed:
            self.drained.add(endpoint_name)
        return endpoint_name in self.listed

    def end_drain(self, endpoint_name: str) -> bool:
        self.drained.discard(endpoint_name)
        return endpoint_name in self.listed


def test_valid_calls_are_parsed_and_others_rejected() -> None:
    assert parse_call("GET", "/control/ready") == AdminCall(AdminOperation.READY)
    assert parse_call("GET", "/control/counters?x=1") == AdminCall(AdminOperation.COUNTERS)
    assert parse_call("POST", "/control/pledge-servers/s-1/offline") == AdminCall(AdminOperation.OFFLINE, "s-1")
    assert parse_call("POST", "/control/pledge-servers/s-1/online") == AdminCall(AdminOperation.ONLINE, "s-1")
    assert [
        parse_call(*arguments).status  # type: ignore[union-attr]
        for arguments in [
            ("POST", "/control/ready"),
            ("GET", "/control/pledge-servers/s-1/offline"),
            ("GET", "/control/"),
            ("POST", "/control/pledge-servers//offline"),
            ("POST", "/control/pledge-servers/a/b/offline"),
            ("GET", "/_health"),
        ]
    ] == [405, 405, 404, 404, 404, 404]


def test_calls_succeed_with_2xx_and_fail_otherwise() -> None:
    backend = FakeBackend()
    assert execute_call(AdminCall(AdminOperation.READY), backend).status == 200
    backend.ready = False
    assert execute_call(AdminCall(AdminOperation.READY), backend).status == 503
    assert ujson.loads(execute_call(AdminCall(AdminOperation.COUNTERS), backend).body) == {"concurrent": 3}
    assert (
        execute_call(AdminCall(AdminOperation.OFFLINE, "s-1"), backend).status
        == execute_call(AdminCall(AdminOperation.OFFLINE, "s-1"), backend).status
        == 200
    )
    assert backend.drained == {"s-1"}
    assert execute_call(AdminCall(AdminOperation.OFFLINE, "s-9"), backend).status == 404
    assert backend.drained == {"s-1"}
    assert execute_call(AdminCall(AdminOperation.ONLINE, "s-1"), backend).status == 200
    assert not backend.drained


def test_counters_have_the_documented_keys() -> None:
    metrics = RequestMetrics(("campaign-read", "receipt-issue"))
    metrics.success[0] += 2
    metrics.overload[1] += 1
    metrics.dispatches += 3
    assert metrics.snapshot(4, 10, 1) == {
        "replies": {
            "campaign-read": {"success": 2, "overload": 0, "error": 0},
            "receipt-issue": {"success": 0, "overload": 1, "error": 0},
        },
        "dispatches": 3,
        "concurrent": 4,
        "targets": 10,
        "targets_disabled": 1,
    }


def test_dispatches_are_the_attempts_whose_last_byte_was_written() -> None:
    assert {
        AttemptOutcome.SERVED,
        AttemptOutcome.ERRORED,
        AttemptOutcome.DECLINED,
        AttemptOutcome.REJECTED,
        AttemptOutcome.RESET,
        AttemptOutcome.MALFORMED_RESPONSE,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.CANCELLED,
    } == FULLY_SENT
