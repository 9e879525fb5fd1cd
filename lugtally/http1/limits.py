"""Size limits of received messages, and the allowed methods."""

from __future__ import annotations

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
"""Largest body of a request, and largest body of a 200 response that a streaming parser still buffers."""
MAX_STREAMED_BODY_BYTES = 256 * 1024 * 1024
"""Largest Content-Length of a streamed response; a larger one is a protocol error."""
MAX_INTERIM_RESPONSES = 16
"""1xx responses before the final response.  Without a limit they could occupy the connection indefinitely."""
MAX_CHUNK_LINE_BYTES = 256
"""A chunk-size line or a trailer line, without its CRLF."""
MAX_CACHED_HEAD_BYTES = 512
"""A longer response head is parsed each time."""
MAX_CACHED_HEADS = 128
"""The cache is cleared when it reaches this size."""

METHODS = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})
