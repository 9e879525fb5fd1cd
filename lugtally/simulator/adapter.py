"""Runs many balancers for the simulator, over standard input and output.

``python -m lugtally.simulator`` reads batches of messages, one JSON array a line, and writes the actions that the
balancers return for each batch.  Exit status: 0 at the end of the input, 2 after a malformed line.
"""

from __future__ import annotations

import json
import traceback
from typing import BinaryIO, TextIO

from lugtally import balancing
from lugtally.balancing.balancer import Balancer
from lugtally.config.balancing_settings import read_settings
from lugtally.simulator.wire import EVENT_READERS, UPDATE_KINDS, Message, read_endpoints, write_action

EXIT_MALFORMED_INPUT = 2
BATCH_END = '["done"]\n'
"""Last line of the reply to a batch."""


class SimulatorAdapter:
    """The balancers of one process, which share no state, and the reply to the current batch."""

    def __init__(self, error_output: TextIO) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._endpoint_lists: dict[int, list[Message]] = {}
        self._now_ns = 0
        self._reply_lines: list[str] = []
        self._error_output = error_output

    def handle_message(self, message: Message) -> bool:
        """Handle one message; return whether it ends the batch.

        Raises:
            ValueError, KeyError, IndexError, TypeError, AttributeError: the message is malformed.
        """
        name = message[0]
        read_event = EVENT_READERS.get(name)
        if read_event is not None:
            self._handle_event(message[1], read_event(message))
        elif name == "mark":
            self._now_ns = int(message[1])
        elif name == "go":
            return True
        elif name == "define_list":
            self._endpoint_lists[message[1]] = message[2]
        elif name == "endpoints":
            self._update_endpoints(message)
        elif name == "power_on":
            self._balancers[message[1]] = Balancer(read_settings(message[3]), int(message[2]))
        elif name == "teardown":
            self._balancers.pop(message[1], None)
        elif isinstance(name, str):
            print(f"skipped an unknown event: {name!r}", file=self._error_output)
        else:
            raise ValueError("the message name is not a string")
        return False

    def pop_reply(self) -> bytes:
        """Return the reply to the batch that has ended, and start an empty one for the next batch."""
        lines, self._reply_lines = [*self._reply_lines, BATCH_END], []
        return "\n".join(lines).encode()

    def _update_endpoints(self, message: Message) -> None:
        kind = UPDATE_KINDS[message[3]]
        failed = kind is balancing.EndpointUpdateKind.FAILED
        endpoints = [] if failed else read_endpoints(self._endpoint_lists[message[2]])
        self._handle_event(message[1], balancing.EndpointUpdate(kind, endpoints))

    def _handle_event(self, instance: int, event: balancing.Event | None) -> None:
        """Pass an event to the balancer of an instance; report an exception in the balancer as a ``bug``."""
        balancer = self._balancers.get(instance)
        if balancer is None or event is None:
            return
        try:
            for action in balancer.handle(self._now_ns, event):
                self._reply_lines.append(json.dumps(write_action(instance, action), separators=(",", ":")))
        except Exception as error:
            traceback.print_exc(file=self._error_output)
            self._reply_lines.append(json.dumps(["bug", instance, f"{type(error).__name__}: {error}"]))


def run(source: BinaryIO, out: BinaryIO, error_output: TextIO) -> int:
    """Reply to each batch until the input ends; return the exit status."""
    adapter = SimulatorAdapter(error_output)
    for line_number, line in enumerate(source, 1):
        try:
            message = json.loads(line)
            if not isinstance(message, list) or not message:
                raise ValueError("a message must be a non-empty JSON array")
            ended = adapter.handle_message(message)
        except (ValueError, KeyError, IndexError, TypeError, AttributeError) as error:
            print(f"line {line_number}: {type(error).__name__}: {error}", file=error_output)
            return EXIT_MALFORMED_INPUT
        if ended:
            out.write(adapter.pop_reply())
            out.flush()
    return 0
