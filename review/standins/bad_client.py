"""A bad client: sends what cannot be read, at full speed, and reads whatever it is sent.

Usage: bad_client.py HOST PORT SECONDS FORM.  FORM is ``lines`` for empty lines without end, or ``trailers`` for a
request whose last header lines never end.  It stops when it gets an error or a close, or after SECONDS.
"""

from __future__ import annotations

import select
import socket
import sys
import time

PIECE = 64 * 1024
STARTS = {
    "lines": b"",
    "trailers": b"POST /receipt-issue HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: bad0000000000001\r\n"
    b"X-Service-Class: receipt-issue\r\nX-Time-Left: 1.000\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
}
PIECES = {"lines": b"\r\n" * (PIECE // 2), "trailers": b"X-More: 1234\r\n" * (PIECE // 14)}


def flood(address: tuple[str, int], seconds: float, form: str) -> str:
    """Send until there is an error, a close or no time left; return which it was, and after how long."""
    started = time.monotonic()
    sent = 0
    unsent = memoryview(STARTS[form] or PIECES[form])
    with socket.create_connection(address) as sock:
        sock.setblocking(False)
        while time.monotonic() - started < seconds:
            readable, writable, _ = select.select([sock], [sock], [], 0.05)
            try:
                if readable:
                    got = sock.recv(PIECE)
                    return f"{'answer ' + repr(got[:12]) if got else 'close'} after {time.monotonic() - started:.2f} s"
                if writable:
                    count = sock.send(unsent)
                    sent += count
                    unsent = unsent[count:] or memoryview(PIECES[form])
            except OSError as error:
                return f"{type(error).__name__} after {time.monotonic() - started:.2f} s"
        return f"nothing in {time.monotonic() - started:.2f} s, {sent >> 20} MB sent"


if __name__ == "__main__":
    print(flood((sys.argv[1], int(sys.argv[2])), float(sys.argv[3]), sys.argv[4]), flush=True)
