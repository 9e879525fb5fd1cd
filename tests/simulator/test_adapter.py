"""Tests of the simulator adapter: the messages that it reads and writes, and its errors."""

from __future__ import annotations

import io
import json
import pathlib
import re
import subprocess
import sys
from typing import Any

import pytest

from lugtally import balancing
from lugtally.balancing.balancer import Balancer
from lugtally.config import balancing_settings
from lugtally.simulator import adapter

ROOT = pathlib.Path(__file__).parents[2]
RAW_SETTINGS = {
    "grades": [{"name": "a", "effect": "idempotent", "slo_ns": 100000000, "hard_limit_ns": 900000000}],
    "instances": 1,
    "ceilings": {"most_tries": 3, "retry_after": True, "max_retry_after_ns": 1000000000},
    "contract": {"cold_from": 0.2},
    "membership_mode": "subscribe",
    "never_heard_of": 1,
}
START_MESSAGES: list[Any] = [
    ["mark", 5000000000],
    ["power_on", 3, 77, RAW_SETTINGS],
    ["define_list", 0, [[11, 0, 0, 0, "healthy", 1, None], [12, 1, 0, 0, "cordoned", 1.5, 6]]],
    ["endpoints", 3, 0, "disk", 41],
    ["go"],
]
REQUEST = ["req", 3, "one", 0, 0, "k:x", 240000000, 12000000, 1]


def run_adapter(messages: list[Any]) -> tuple[int, list[list[Any]], str]:
    """Run the adapter on the messages; return the exit status, the messages that it replied and its error output."""
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in messages)
    out, errors = io.BytesIO(), io.StringIO()
    status = adapter.run(io.BytesIO(text.encode()), out, errors)
    return status, [json.loads(line) for line in out.getvalue().splitlines()], errors.getvalue()


def test_session_on_the_wire_exits_with_success() -> None:
    status, reply, errors = run_adapter(
        [
            *START_MESSAGES,
            ["mark", 5005000000],
            REQUEST,
            ["go"],
            ["mark", 5050000000],
            ["answer", 3, "one", True, 45000000, "GOOD", 0, 11, [3, 7]],
            ["expired", 3, "one"],
            ["timer", 3, "sweep"],
            ["health", 3, "GOOD", 11, 5, None],
            ["message", 3, 0, "hi"],
            ["first_byte", 3, "one", 0, 11, 4],
            ["go"],
            ["mark", 5060000000],
            ["endpoints", 3, 0, "error", None],
            ["teardown", 3],
            ["timer", 3, "sweep"],
            ["go"],
        ]
    )
    assert status == 0
    assert errors == ""
    assert ["follow", 3, True] in reply
    assert ["dispatch", 3, "one", 11, 240000000] in reply
    assert sum(line == ["done"] for line in reply) == 4


def test_settings_are_read_and_missing_ones_get_defaults() -> None:
    settings = balancing_settings.read_settings(RAW_SETTINGS)
    assert settings.classes[0].idempotency is balancing.Idempotency.IDEMPOTENT
    assert settings.max_attempts == 3
    assert settings.subscribe_to_endpoints
    assert settings.initial_capacity == 0.2
    assert settings.removal_is_binding
    assert not settings.hedging_allowed
    defaults = balancing_settings.read_settings({})
    assert defaults == balancing.Settings()
    assert not balancing_settings.read_settings({"contract": {"removal_not_binding": True}}).removal_is_binding
    assert balancing_settings.read_settings({"contract": {"ask_within_ns": 7}}).max_poll_interval_ns == 7


@pytest.mark.parametrize(
    ("field", "raw"),
    [
        ("effect", {"grades": [{"effect": "twice"}]}),
        ("group", {"grades": [{"key_scope": "rack"}]}),
        ("slo_ns", {"grades": [{"slo_ns": -4}]}),
        ("warm_within_ns", {"contract": {"warm_within_ns": -1}}),
    ],
    ids=["effect", "group", "slo_ns", "warm_within_ns"],
)
def test_invalid_settings_error_names_the_field(field: str, raw: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=f"^{field}: "):
        balancing_settings.read_settings(raw)
    status, reply, errors = run_adapter([["mark", 5], ["power_on", 3, 7, raw], ["go"]])
    assert status == 2
    assert reply == []
    assert field in errors
    assert "line 2" in errors


def test_unknown_event_is_skipped_with_one_error_line() -> None:
    status, reply, errors = run_adapter([*START_MESSAGES, ["mark", 6000000000], ["sunrise", 3], REQUEST, ["go"]])
    assert status == 0
    assert errors.count("\n") == 1
    assert "sunrise" in errors
    assert any(line[0] == "dispatch" for line in reply)


@pytest.mark.parametrize(
    "bad",
    [
        '{"a":',
        "[]",
        "7",
        '["req",3,"x"]',
        '["endpoints",3,9,"disk",1]',
        "[4,5]",
        '["answer",3,"one",true,5,"WHAT",0,11,null]',
        '["mark","soon"]',
    ],
    ids=[
        "incomplete JSON",
        "empty list",
        "number",
        "short request",
        "unknown list",
        "numeric kind",
        "unknown result",
        "time as text",
    ],
)
def test_malformed_line_exits_without_a_partial_reply(bad: str) -> None:
    status, reply, errors = run_adapter([*START_MESSAGES, ["mark", 5005000000], REQUEST, bad, ["go"]])
    assert status == 2
    assert "line 8:" in errors
    assert reply[-1] == ["done"]
    assert not any(line[0] == "dispatch" for line in reply)


def test_exception_in_the_balancer_is_reported_as_bug(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: Balancer, now: int, event: balancing.Event) -> list[balancing.Action]:
        raise KeyError("lost")

    monkeypatch.setattr(Balancer, "handle", broken)
    status, reply, errors = run_adapter([*START_MESSAGES])
    assert status == 0
    assert reply[0] == ["bug", 3, "KeyError: 'lost'"]
    assert "Traceback" in errors


def test_simulator_command_answers_on_standard_output() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "lugtally.simulator"],
        input=b'["mark",1]\n["go"]\n',
        capture_output=True,
        cwd=ROOT,
        check=False,
    )
    assert (done.returncode, done.stdout, done.stderr) == (0, b'["done"]\n', b"")


def test_readme_example_prints_what_the_readme_says() -> None:
    text = (ROOT / "README.md").read_text(encoding="utf-8")
    example = re.search(r"```python\n(.*?)```", text, re.S)
    expected = re.search(r"```text\n(.*?)```", text, re.S)
    assert example
    assert expected
    done = subprocess.run([sys.executable, "-c", example[1]], capture_output=True, text=True, cwd=ROOT, check=True)
    assert done.stdout == expected[1]
