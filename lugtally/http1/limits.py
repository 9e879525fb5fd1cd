"""Size limits of received messages, and the allowed methods."""

from __future__ import annotations

MAX_HEAD_BYTES = 16 * 1024
"""Largest head of a message, including the empty lines before a request."""
MAX_HEADER_FIELDS = 100
"""Largest number of header lines in a head.  A parsed field takes many times the memory of its bytes on the wire."""
MAX_TRAILER_BYTES = MAX_HEAD_BYTES
"""Largest total size of the trailers of a chunked body."""
MAX_BODY_BYTES = 64 * 1024
"""Largest body of a request, and largest body of a 200 response that a streaming parser buffers instead of streams."""
MAX_STREAMED_BODY_BYTES = 256 * 1024 * 1024
"""Largest Content-Length of a streamed response; a larger one is a protocol error."""
MAX_INTERIM_RESPONSES = 16
"""Largest number of 1xx responses before a final response; unlimited, they could occupy the connection indefinitely."""
MAX_CHUNK_LINE_BYTES = 256
"""Longest chunk-size line or trailer line, without its CRLF."""
MAX_CHUNK_OVERHEAD_BYTES = 16 * 1024
"""Largest total size of the chunk-size lines of a body, beyond what a body of small chunks needs."""
CHUNK_OVERHEAD_ALLOWANCE_BYTES = 16
"""Length of a chunk-size line that is not overhead.  Two bytes for each byte of the chunk's data are added."""
MAX_CACHED_HEAD_BYTES = 512
"""Largest response head that is cached; a larger one is parsed each time."""
MAX_CACHED_HEADS = 128
"""Before a head is added to a cache of this size, the cache is cleared."""

METHODS = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})
