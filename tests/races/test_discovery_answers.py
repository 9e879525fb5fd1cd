"""Unexpected bytes from discovery: a duplicate, unsolicited or endless response delays no later list."""

from __future__ import annotations

import pytest
import ujson

from lugtally.discovery import timing
from lugtally.eventloop import WRITABLE, WakeReason
from lugtally.units import NS_PER_MS
from tests.races.discovery_harness import start_first_call
from tests.races.fakes import ENDPOINT_B, MAX_WAIT_NS, Sidecar


def serialize_list(version: int) -> bytes:
    """Serialize a response of discovery without a change."""
    body = ujson.dumps({"version": version, "full": False, "servers": []}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def test_duplicate_list_does_not_delay_the_next_call(sidecar: Sidecar) -> None:
    """The second copy must not pass for the response to the next call."""

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
    """It arrives in the pause that follows an unchanged list."""
    monkeypatch.setattr(timing, "EMPTY_RESPONSE_PAUSE_NS", MAX_WAIT_NS)
    loop_sleep = sidecar.loop.sleep

    def script() -> None:
        connection = start_first_call(sidecar)

        def sleep(duration_ns: int) -> WakeReason:
            if duration_ns != MAX_WAIT_NS:
                return loop_sleep(duration_ns)
            connection.send(serialize_list(9))  # unsolicited: its changes do not apply to the current list
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
    """Bytes are always readable, so that no wait ever times out."""
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
