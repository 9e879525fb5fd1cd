"""The calls of the operators' address and the counters' object, without sockets."""

from __future__ import annotations

import ujson

from lugtally.admin.calls import AdminCall, execute_call, parse_call
from lugtally.dispatch.attempt_outcome import FULLY_SENT, AttemptOutcome
from lugtally.dispatch.metrics import RequestMetrics


class AdminBackend:
    def __init__(self) -> None:
        self.banned: set[str] = set()
        self.listed = {"s-1", "s-2"}
        self.is_ready = True

    def ready(self) -> bool:
        return self.is_ready

    def figures(self) -> dict[str, object]:
        return {"concurrent": 3}

    def offline(self, server: str) -> bool:
        if server in self.listed:
            self.banned.add(server)
        return server in self.listed

    def online(self, server: str) -> bool:
        self.banned.discard(server)
        return server in self.listed


def test_each_call_is_understood_and_the_rest_refused() -> None:
    assert parse_call("GET", "/control/ready") == AdminCall("ready")
    assert parse_call("GET", "/control/counters?x=1") == AdminCall("counters")
    assert parse_call("POST", "/control/pledge-servers/s-1/offline") == AdminCall("offline", "s-1")
    assert parse_call("POST", "/control/pledge-servers/s-1/online") == AdminCall("online", "s-1")
    assert [
        parse_call(*asked)[0]  # type: ignore[index]
        for asked in [
            ("POST", "/control/ready"),
            ("GET", "/control/pledge-servers/s-1/offline"),
            ("GET", "/control/"),
            ("POST", "/control/pledge-servers//offline"),
            ("POST", "/control/pledge-servers/a/b/offline"),
            ("GET", "/_health"),
        ]
    ] == [405, 405, 404, 404, 404, 404]


def test_answers_say_yes_with_2xx_and_no_otherwise() -> None:
    books = AdminBackend()
    assert execute_call(AdminCall("ready"), books)[0] == 200
    books.is_ready = False
    assert execute_call(AdminCall("ready"), books)[0] == 503
    assert ujson.loads(execute_call(AdminCall("counters"), books)[1]) == {"concurrent": 3}
    assert (
        execute_call(AdminCall("offline", "s-1"), books)[0]
        == execute_call(AdminCall("offline", "s-1"), books)[0]
        == 200
    )
    assert books.banned == {"s-1"}
    assert execute_call(AdminCall("offline", "s-9"), books)[0] == 404 and books.banned == {"s-1"}
    assert execute_call(AdminCall("online", "s-1"), books)[0] == 200 and not books.banned


def test_the_figures_have_the_form_of_the_page() -> None:
    counters = RequestMetrics(("campaign-read", "receipt-issue"))
    counters.success[0] += 2
    counters.overload[1] += 1
    counters.dispatches += 3
    assert counters.snapshot(4, 10, 1) == {
        "replies": {
            "campaign-read": {"success": 2, "overload": 0, "error": 0},
            "receipt-issue": {"success": 0, "overload": 1, "error": 0},
        },
        "dispatches": 3,
        "concurrent": 4,
        "targets": 10,
        "targets_disabled": 1,
    }


def test_dispatches_are_the_steps_whose_last_byte_was_written() -> None:
    assert FULLY_SENT == {
        AttemptOutcome.SERVED,
        AttemptOutcome.ERRORED,
        AttemptOutcome.DECLINED,
        AttemptOutcome.REJECTED,
        AttemptOutcome.RESET,
        AttemptOutcome.MALFORMED_RESPONSE,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.CANCELLED,
    }
