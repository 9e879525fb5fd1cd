"""HTTP/1.1 as the daemon speaks it: a sans-I/O parser, body framing and serializers.

It owns the syntax and the limits on sizes.  It must not know sockets, timeouts or what a message is for.
"""

from lugtally.http1.body_framing import BodyFraming
from lugtally.http1.errors import ProtocolError
from lugtally.http1.limits import MAX_BODY_BYTES, METHODS
from lugtally.http1.message import Message
from lugtally.http1.parser import MessageParser
from lugtally.http1.serializer import (
    ForwardedRequest,
    serialize_get,
    serialize_response,
    serialize_streamed_head,
)

__all__ = [
    "MAX_BODY_BYTES",
    "METHODS",
    "BodyFraming",
    "ForwardedRequest",
    "Message",
    "MessageParser",
    "ProtocolError",
    "serialize_get",
    "serialize_response",
    "serialize_streamed_head",
]
