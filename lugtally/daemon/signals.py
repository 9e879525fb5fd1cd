"""Signals, handled between two turns of the event loop."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Mapping

from lugtally.eventloop import READABLE, EventLoop

MAX_SIGNALS_READ = 64
SignalHandlers = Mapping[signal.Signals, Callable[[], None]]


def handle_signals(loop: EventLoop, handlers: SignalHandlers) -> None:
    """Call a handler from the event loop for each of these signals.

    They wake the loop through a socket: Python resumes a blocked poll after a signal handler returns.  Several
    signals of one kind that came before the loop got to them count as one.
    """
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    for number in handlers:
        signal.signal(number, lambda *_: None)

    def dispatch(_: int) -> None:
        writer.fileno()  # the reference keeps the writing end open
        for number in dict.fromkeys(reader.recv(MAX_SIGNALS_READ)):
            handlers[signal.Signals(number)]()

    loop.register(reader.fileno(), READABLE, dispatch)
