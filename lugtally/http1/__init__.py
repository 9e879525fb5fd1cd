"""The HTTP/1.1 codec: a sans-I/O parser, body framing and serializers.

It implements the syntax and the size limits.  It must not know sockets, timeouts or the purpose of a message.
"""

from lugtally.http1.body_framing import BodyFraming, DetachedBody
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
    "DetachedBody",
    "ForwardedRequest",
    "Message",
    "MessageParser",
    "ProtocolError",
    "serialize_get",
    "serialize_response",
    "serialize_streamed_head",
]
