"""Speaks the juniper-767c wire on standard input and output for many balancers; decides nothing.

``python -m lugtally.adapter`` reads batches of events, one JSON array a line, and answers each batch.
Exit status: 0 at the end of input, 2 on a line that cannot be understood.
"""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable
from typing import Any, BinaryIO, TextIO

from lugtally import api
from lugtally.decide import Balancer
from lugtally.settings import read_settings

STATES = {"healthy": api.State.UP, "cordoned": api.State.DRAINING, "deregistered": api.State.GONE}
SCOPES = {
    "diff": api.ListKind.CHANGES,
    "snapshot": api.ListKind.WHOLE,
    "disk": api.ListKind.KEPT,
    "error": api.ListKind.FAILED,
}
RESULTS = {
    "GOOD": api.Result.OK,
    "BAD": api.Result.ERROR,
    "FULL": api.Result.REJECTED,
    "LATE": api.Result.TIMEOUT,
    "NOCONN": api.Result.NO_CONNECTION,
    "RST": api.Result.RESET,
    "CXL": api.Result.CANCELLED,
    "NOP": api.Result.NEVER_SENT,
}
CLIENT_RETRY = 2


def read_servers(raw: list[list[Any]]) -> list[api.Server]:
    """Translate the lines of a ``define_list``."""
    return [
        api.Server(row[0], row[1] or 0, row[3] or 0, STATES.get(row[4], api.State.GONE), row[6] or 0) for row in raw
    ]


def write_action(number: int, action: api.Action) -> list[Any]:
    """Translate one action."""
    match action:
        case api.Send(request, server, timeout):
            return ["dispatch", number, request, server, timeout]
        case api.Refuse(request, retry_in):
            return ["busy", number, request, retry_in]
        case api.Fail(request):
            return ["end_failed", number, request]
        case api.Cancel(request, attempt):
            return ["retract", number, request, attempt]
        case api.Wake(after, token):
            return ["remind", number, after, token]
        case api.CloseIdle(server):
            return ["free_links", number, server]
        case api.Watch():
            return ["follow", number, True]


def _request(m: list[Any]) -> api.Event:
    return api.Request(m[2], m[3] or 0, m[4] or 0, m[6], bool((m[8] or 0) & CLIENT_RETRY))


def _outcome(m: list[Any]) -> api.Event:
    load = tuple(m[8]) if len(m) > 8 and m[8] is not None else None
    return api.Outcome(m[2], m[6], m[7], RESULTS[m[5]], bool(m[3]), m[4], load)


EVENTS: dict[str, Callable[[list[Any]], api.Event]] = {
    "req": _request,
    "answer": _outcome,
    "timer": lambda m: api.Timer(m[2]),
    "expired": lambda m: api.ClientLeft(m[2]),
    "first_byte": lambda m: api.FirstByte(m[2], m[3], m[4]),
    "health": lambda m: api.Probed(m[3], m[2] == "GOOD"),
    "message": lambda m: api.PeerMessage(m[2], m[3]),
}


class Host:
    """The balancers of one process and the batch being read.  It shares nothing between balancers."""

    def __init__(self, errors: TextIO) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, list[list[Any]]] = {}
        self.now = 0
        self.reply: list[str] = []
        self.errors = errors

    def take(self, message: list[Any]) -> bool:
        """Handle one message; true when it closed the batch.  Whatever is malformed raises here."""
        name = message[0]
        read = EVENTS.get(name)
        if read is not None:
            self.feed(message[1], read(message))
        elif name == "mark":
            self.now = int(message[1])
        elif name == "go":
            return True
        elif name == "define_list":
            self.lists[message[1]] = message[2]
        elif name == "endpoints":
            kind = SCOPES[message[3]]
            lines = [] if kind is api.ListKind.FAILED else read_servers(self.lists[message[2]])
            self.feed(message[1], api.ServerList(kind, lines))
        elif name == "power_on":
            self.balancers[message[1]] = Balancer(read_settings(message[3]), int(message[2]))
        elif name == "teardown":
            self.balancers.pop(message[1], None)
        elif isinstance(name, str):
            print(f"skipped an unknown event: {name!r}", file=self.errors)
        else:
            raise ValueError("the name of the message is no text")
        return False

    def feed(self, number: int, event: api.Event) -> None:
        """Hand an event to its balancer; an exception inside the module is told as the module's."""
        balancer = self.balancers.get(number)
        if balancer is None:
            return
        try:
            for action in balancer.handle(self.now, event):
                self.reply.append(json.dumps(write_action(number, action), separators=(",", ":")))
        except Exception as error:
            traceback.print_exc(file=self.errors)
            self.reply.append(json.dumps(["bug", number, f"{type(error).__name__}: {error}"]))


def run(source: BinaryIO, out: BinaryIO, errors: TextIO) -> int:
    """Answer batches until the input ends."""
    host = Host(errors)
    for at, line in enumerate(source, 1):
        try:
            message = json.loads(line)
            if not isinstance(message, list) or not message:
                raise ValueError("not a message")
            closed = host.take(message)
        except (ValueError, KeyError, IndexError, TypeError, AttributeError) as error:
            print(f"line {at}: {type(error).__name__}: {error}", file=errors)
            return 2
        if closed:
            host.reply.append('["done"]\n')
            out.write("\n".join(host.reply).encode())
            out.flush()
            host.reply = []
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
