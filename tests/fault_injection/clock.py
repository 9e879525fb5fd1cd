"""The clock of a run: the arrival times that the kernel recorded, and the scheduling lags of this process."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

from lugtally.units import NS_PER_MS, NS_PER_S
from tests.fault_injection.records import Interval, RunRecords

LAG_CHECK_PERIOD_NS = 10 * NS_PER_MS
MAX_SCHEDULING_LAG_NS = 50 * NS_PER_MS
TCP_INFO_BYTES = 104
LAST_DATA_RECEIVED_OFFSET = 52
"""The offset of ``tcpi_last_data_recv`` in ``struct tcp_info``: the milliseconds since the latest byte arrived."""

now_ns = time.monotonic_ns


def latest_arrival_ns(sock: socket.socket) -> int:
    """Return when the kernel received the latest byte of the connection, no matter when this process reads it."""
    at_ns = now_ns()
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return at_ns
    (age_ms,) = struct.unpack_from("I", info, LAST_DATA_RECEIVED_OFFSET)
    return at_ns - int(age_ms) * NS_PER_MS


async def record_scheduling_lags(records: RunRecords) -> None:
    """Until cancelled, record each interval in which this process ran more than ``MAX_SCHEDULING_LAG_NS`` late."""
    while True:
        expected_ns = now_ns() + LAG_CHECK_PERIOD_NS
        await asyncio.sleep(LAG_CHECK_PERIOD_NS / NS_PER_S)
        woke_ns = now_ns()
        if woke_ns - expected_ns > MAX_SCHEDULING_LAG_NS:
            records.scheduling_lags.append(Interval(expected_ns - LAG_CHECK_PERIOD_NS, woke_ns))
