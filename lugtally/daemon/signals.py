"""Handles signals in the event loop."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Mapping

from lugtally.eventloop import READABLE, EventLoop

MAX_SIGNALS_READ = 64
"""Largest number of signals that one read returns; each is one byte."""
SignalHandlers = Mapping[signal.Signals, Callable[[], None]]


def handle_signals(loop: EventLoop, handlers: SignalHandlers) -> None:
    """Let the event loop call the handler of each signal.

    A signal wakes the loop through a socket, because Python restarts an interrupted poll.  If the same signal arrives
    several times before the loop handles it, its handler is called once.
    """
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    for number in handlers:
        signal.signal(number, lambda *_: None)

    def call_handlers(_: int) -> None:
        writer.fileno()  # the reference from this closure keeps the socket open
        for number in dict.fromkeys(reader.recv(MAX_SIGNALS_READ)):
            handlers[signal.Signals(number)]()

    loop.register(reader.fileno(), READABLE, call_handlers)
