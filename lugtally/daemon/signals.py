"""Handling of signals by the event loop."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Mapping

from lugtally.eventloop import READABLE, EventLoop

MAX_SIGNALS_READ = 64
"""Signals that are read from the socket at a time; each is one byte."""
SignalHandlers = Mapping[signal.Signals, Callable[[], None]]


def handle_signals(loop: EventLoop, handlers: SignalHandlers) -> None:
    """Call the handler of each of these signals from the event loop.

    A signal wakes the loop through a socket, because Python restarts an interrupted poll.  Signals of the same kind
    that arrive before the loop handles them count as one.
    """
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    for number in handlers:
        signal.signal(number, lambda *_: None)

    def dispatch(_: int) -> None:
        writer.fileno()  # this reference keeps the writing end open
        for number in dict.fromkeys(reader.recv(MAX_SIGNALS_READ)):
            handlers[signal.Signals(number)]()

    loop.register(reader.fileno(), READABLE, dispatch)
