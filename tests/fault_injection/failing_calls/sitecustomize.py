"""Makes system calls of a sidecar under test fail at random; Python imports this module at its start.

``FAILING_CALLS`` is ``seed:probability``.  Calls fail in ways that Linux documents: sockets, connects, accepts, reads,
writes, options and renames.  Reads and writes may also be short.  Each failure lasts for one call.
``STEPPED_CLOCK`` is a seed; the wall clock is then stepped forward or back again and again.
"""

import errno
import os
import random
import socket
import time
from collections.abc import Callable
from typing import Any

_START_S = time.monotonic()
_GRACE_S = 1.0  # the calls of the start succeed
_CLOCK_STEP_INTERVAL_S = 0.4
_CLOCK_STEPS_S = (0, 3600, -3600, 2, -2)
_NODELAY_AND_LINGER = (socket.TCP_NODELAY, socket.SO_LINGER)
_seed, _, _probability = os.environ.get("FAILING_CALLS", "").partition(":")
_random = random.Random(_seed)


def _fails() -> bool:
    return time.monotonic() - _START_S > _GRACE_S and _random.random() < float(_probability)


def _fail_with(*numbers: int) -> None:
    number = _random.choice(numbers)
    raise OSError(number, os.strerror(number))


class _FailingSocket(socket.socket):
    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:  # noqa: A002
        if fileno is None and _fails():
            _fail_with(errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
        super().__init__(family, type, proto, fileno)

    def accept(self) -> tuple[socket.socket, Any]:
        if _fails():
            _fail_with(errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EHOSTUNREACH, errno.EPROTO)
        return super().accept()

    def connect_ex(self, address: Any) -> int:
        if _fails():
            return _random.choice((errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.EHOSTUNREACH, errno.ETIMEDOUT))
        return super().connect_ex(address)

    def send(self, data: Any, *flags: int) -> int:
        if _fails():
            if len(data) < 2 or _random.random() < 0.5:
                _fail_with(errno.ENOBUFS, errno.ENOMEM)
            data = data[: len(data) // 2]
        return super().send(data, *flags)

    def sendmsg(self, buffers: Any, *arguments: Any) -> int:
        return super().sendmsg(buffers[:1] if _fails() else buffers, *arguments)

    def recv(self, size: int, *flags: int) -> bytes:
        if not flags and _fails():
            if _random.random() < 0.5:
                _fail_with(errno.ENOBUFS, errno.ENOMEM)
            size = max(1, size // 64)
        return super().recv(size, *flags)

    def setsockopt(self, level: int, option: int, *value: Any) -> None:
        if option in _NODELAY_AND_LINGER and _fails():
            _fail_with(errno.ENOBUFS)
        super().setsockopt(level, option, *value)


def _failing_replace(source: Any, target: Any, replace: Callable[[Any, Any], None] = os.replace) -> None:
    if _fails():
        _fail_with(errno.ENOSPC, errno.EIO)
    replace(source, target)


def _stepped_time_ns(time_ns: Callable[[], int] = time.time_ns) -> int:
    step = int((time.monotonic() - _START_S) / _CLOCK_STEP_INTERVAL_S)
    step_s = random.Random(f"{os.environ['STEPPED_CLOCK']}/{step}").choice(_CLOCK_STEPS_S)
    return time_ns() + step_s * 1_000_000_000


if _probability:
    socket.socket = _FailingSocket  # type: ignore[misc]
    os.replace = _failing_replace  # type: ignore[assignment]
if "STEPPED_CLOCK" in os.environ:
    time.time_ns = _stepped_time_ns
