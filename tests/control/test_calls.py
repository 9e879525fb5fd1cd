"""The calls of the operators' address and the counters' object, without sockets."""

from __future__ import annotations

import ujson

from lugtally.control.calls import Call, answer, parse
from lugtally.control.counters import Counters
from lugtally.ending import WRITTEN, Ending


class Books:
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
    assert parse("GET", "/control/ready") == Call("ready")
    assert parse("GET", "/control/counters?x=1") == Call("counters")
    assert parse("POST", "/control/pledge-servers/s-1/offline") == Call("offline", "s-1")
    assert parse("POST", "/control/pledge-servers/s-1/online") == Call("online", "s-1")
    assert [
        parse(*asked)[0]  # type: ignore[index]
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
    books = Books()
    assert answer(Call("ready"), books)[0] == 200
    books.is_ready = False
    assert answer(Call("ready"), books)[0] == 503
    assert ujson.loads(answer(Call("counters"), books)[1]) == {"concurrent": 3}
    assert answer(Call("offline", "s-1"), books)[0] == answer(Call("offline", "s-1"), books)[0] == 200
    assert books.banned == {"s-1"}
    assert answer(Call("offline", "s-9"), books)[0] == 404 and books.banned == {"s-1"}
    assert answer(Call("online", "s-1"), books)[0] == 200 and not books.banned


def test_the_figures_have_the_form_of_the_page() -> None:
    counters = Counters(("campaign-read", "receipt-issue"))
    counters.success[0] += 2
    counters.overload[1] += 1
    counters.dispatches += 3
    assert counters.figures(4, 10, 1) == {
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
    assert WRITTEN == {
        Ending.SERVED,
        Ending.ERRORED,
        Ending.DECLINED,
        Ending.TURNED_AWAY,
        Ending.BROKEN,
        Ending.GARBLED,
        Ending.TIMED_OUT,
        Ending.CANCELLED,
    }
