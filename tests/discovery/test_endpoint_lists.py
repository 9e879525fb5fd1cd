"""Handling of endpoint lists that are malformed, outdated, duplicate, unsolicited or endless."""

from __future__ import annotations

import sys
from typing import Any

import pytest
import ujson

from lugtally import balancing
from lugtally.config.endpoint_list import parse_endpoint_list
from lugtally.discovery import timing
from lugtally.eventloop import WRITABLE, WakeReason
from lugtally.units import NS_PER_MS
from tests.discovery.discovery_harness import start_first_call, update_kinds, wait_for_failed_call
from tests.fakes import ENDPOINT_A, ENDPOINT_B, MAX_WAIT_NS, Sidecar


@pytest.mark.usefixtures("short_timeouts")
def test_list_received_during_move_is_discarded(sidecar: Sidecar) -> None:
    def script() -> None:
        connection = start_first_call(sidecar)
        # The list can be read in the same iteration of the event loop in which the move takes effect.
        connection.send_endpoint_list(9, True, sidecar.endpoint_row("s-b", "draining"))
        sidecar.endpoint_watcher.move_to(sidecar.second_discovery.address)
        moved = sidecar.second_discovery.accept()
        assert moved.read_head() == "GET /catalog/members HTTP/1.1"
        moved.send_endpoint_list(4, True, sidecar.endpoint_row("s-a"))
        assert "from=4&" in moved.read_head()

    sidecar.run(script)
    assert update_kinds(sidecar) == ["cached", "full"]


@pytest.mark.usefixtures("short_timeouts")
def test_lower_version_requests_the_full_list(sidecar: Sidecar) -> None:
    """A lower version shows that discovery has restarted, so that its changes do not apply to the current list."""

    def script() -> None:
        connection = start_first_call(sidecar)
        connection.send_endpoint_list(41, False)
        assert "from=41&" in connection.read_head()
        connection.send_endpoint_list(3, False)
        assert connection.read_head() == "GET /catalog/members HTTP/1.1"
        connection.send_endpoint_list(4, True, sidecar.endpoint_row("s-b", "draining"))
        assert "from=4&" in connection.read_head()

    sidecar.run(script)
    assert sidecar.balancer.endpoint_updates()[-1] == ("full", {ENDPOINT_B: "draining"})


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize(
    "invalid_field",
    [{"cell": "x"}, {"addr": "nowhere"}, {"started_ms": 1e999}, {"state": 4}, {"id": 7}],
    ids=["cell", "addr", "started_ms", "state", "id"],
)
@pytest.mark.parametrize("full", [True, False], ids=["full list", "changes"])
def test_malformed_record_does_not_hide_drains_in_other_records(
    invalid_field: dict[str, Any], full: bool, sidecar: Sidecar
) -> None:
    def script() -> None:
        connection = start_first_call(sidecar)
        connection.send_endpoint_list(
            2, full, sidecar.endpoint_row("s-b", "draining"), sidecar.endpoint_row("s-a", **invalid_field)
        )
        assert "from=2&" in connection.read_head()

    sidecar.run(script)
    kind, states = sidecar.balancer.endpoint_updates()[-1]
    valid = {} if "id" in invalid_field else {ENDPOINT_A: "ready"}  # a record without an id is ignored
    assert kind == ("full" if full else "delta")
    assert states == {ENDPOINT_B: "draining", **valid}
    assert sidecar.endpoint_watcher.ready_count == (0 if full and "id" in invalid_field else 1)


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b'{"version":"2","servers":[]}',
        b'{"version":2,"servers":4}',
        b"\xff{",
        b'{"version":2,"full":true,"servers":[{"id":"s-a"}]}',
        b'{"version":true,"servers":[]}',
    ],
    ids=["no object", "version as text", "servers as number", "no JSON", "no valid row", "version as boolean"],
)
def test_list_without_valid_records_keeps_the_current_list(body: bytes, sidecar: Sidecar) -> None:
    def script() -> None:
        connection = start_first_call(sidecar)
        connection.respond(body)
        wait_for_failed_call(sidecar)
        sidecar.endpoint_watcher.watch()
        assert "from=1&" in sidecar.discovery.accept().read_head()

    sidecar.run(script)
    assert update_kinds(sidecar) == ["cached", "failed"]
    assert sidecar.endpoint_watcher.ready_count == 2


class FailingFirstUpdate:
    """Replaces ``_apply_update``: raises an error on the first call, and applies the update on later ones."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.apply_update = sidecar.endpoint_watcher._apply_update
        self.failed = False

    def apply(self, endpoint_list: object, kind: str) -> None:
        if not self.failed:
            self.failed = True
            raise KeyError("injected")
        self.apply_update(endpoint_list, kind)  # type: ignore[arg-type]


@pytest.mark.usefixtures("short_timeouts")
def test_update_that_fails_to_apply_is_requested_again(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    """The watcher stores the version of an update only after the update was applied."""
    failing_first_update = FailingFirstUpdate(sidecar)

    def script() -> None:
        connection = start_first_call(sidecar)
        monkeypatch.setattr(sidecar.endpoint_watcher, "_apply_update", failing_first_update.apply)
        connection.send_endpoint_list(2, False, sidecar.endpoint_row("s-b", "draining"))
        wait_for_failed_call(sidecar)
        sidecar.endpoint_watcher.watch()
        connection = sidecar.discovery.accept()
        assert "from=1&" in connection.read_head()
        connection.send_endpoint_list(2, False, sidecar.endpoint_row("s-b", "draining"))
        assert "from=2&" in connection.read_head()

    sidecar.run(script)
    assert sidecar.balancer.endpoint_updates()[-1] == ("delta", {ENDPOINT_B: "draining"})


def test_unknown_cells_or_zones_share_no_deduplication_scope() -> None:
    """A retry with an idempotency key must not go to an endpoint that may not know the first attempt."""
    raw_records = [{"id": name, "addr": "127.0.0.1:1", "state": "ready"} for name in ("s-a", "s-b")]
    cells = [record.cell for record in parse_endpoint_list({"version": 1, "servers": raw_records}, "known").records]
    assert len(set(cells)) == 2
    sidecar = Sidecar()
    sidecar.run(
        lambda: sidecar.endpoint_watcher.start(parse_endpoint_list({"version": 1, "servers": raw_records}, "known"))
    )
    endpoints = next(
        event.endpoints for event in sidecar.balancer.events if isinstance(event, balancing.EndpointUpdate)
    )
    assert len({endpoint.zone for endpoint in endpoints}) == 2


def serialize_list(version: int) -> bytes:
    """Serialize a response of discovery that contains no changes."""
    body = ujson.dumps({"version": version, "full": False, "servers": []}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def test_duplicate_list_does_not_delay_the_next_call(sidecar: Sidecar) -> None:
    """The second copy must not be taken for the response to the next call."""

    def script() -> None:
        connection = start_first_call(sidecar)
        connection.send(serialize_list(2) * 2)
        if not connection.read_more():
            connection = sidecar.discovery.accept()
        assert "from=2&" in connection.read_head()
        connection.send_endpoint_list(3, False, sidecar.endpoint_row("s-b", "draining"))
        sidecar.wait_until(lambda: sidecar.balancer.endpoint_updates()[-1] == ("delta", {ENDPOINT_B: "draining"}))

    sidecar.run(script)


def test_list_received_between_calls_is_discarded(monkeypatch: pytest.MonkeyPatch, sidecar: Sidecar) -> None:
    """The unsolicited list arrives in the pause that follows an unchanged list."""
    monkeypatch.setattr(timing, "EMPTY_RESPONSE_PAUSE_NS", MAX_WAIT_NS)
    loop_sleep = sidecar.loop.sleep

    def script() -> None:
        connection = start_first_call(sidecar)

        def sleep(duration_ns: int) -> WakeReason:
            if duration_ns != MAX_WAIT_NS:
                return loop_sleep(duration_ns)
            connection.send(serialize_list(9))  # its changes do not apply to the current list
            return loop_sleep(0)

        monkeypatch.setattr(sidecar.loop, "sleep", sleep)
        connection.send(serialize_list(1))
        if not connection.read_more():
            connection = sidecar.discovery.accept()
        assert "from=1&" in connection.read_head()
        connection.send_endpoint_list(2, False, sidecar.endpoint_row("s-b", "draining"))
        sidecar.wait_until(lambda: sidecar.balancer.endpoint_updates()[-1] == ("delta", {ENDPOINT_B: "draining"}))

    sidecar.run(script)
    assert sidecar.endpoint_watcher._client.version == 2


def test_endless_list_is_aborted_at_call_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """The response never ends and is always readable, so that no wait for bytes times out."""
    monkeypatch.setattr("lugtally.http1.chunked_body.MAX_TRAILER_BYTES", sys.maxsize)  # else the response is malformed
    monkeypatch.setattr(timing, "WATCH_HOLD_MS", 100)
    monkeypatch.setattr(timing, "RESPONSE_TIMEOUT_NS", 100 * NS_PER_MS)
    sidecar = Sidecar()

    def script() -> None:
        connection = start_first_call(sidecar)
        connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
        give_up_ns = sidecar.loop.now() + MAX_WAIT_NS // 4
        while sidecar.loop.now() < give_up_ns:
            sidecar.loop.wait(connection.sock.fileno(), WRITABLE, give_up_ns)
            try:
                connection.sock.send(b"T: v\r\n" * 10_000)
            except OSError:
                break
        else:
            raise AssertionError("the call exceeded its timeout")
        assert "from=1&" in sidecar.discovery.accept().read_head()

    sidecar.run(script)
