"""The event loop of one process: greenlets over ``select.poll``, with timers, events and clocks.

Every blocking call of the process is made here.  The package must not know what a task waits for: it contains no
protocol, no balancing decision and no configuration.
"""

from lugtally.eventloop.event import Event
from lugtally.eventloop.loop import PEER_CLOSED, READABLE, WRITABLE, EventLoop
from lugtally.eventloop.socket_io import send_all
from lugtally.eventloop.task import Task, WakeReason

__all__ = ["PEER_CLOSED", "READABLE", "WRITABLE", "Event", "EventLoop", "Task", "WakeReason", "send_all"]
