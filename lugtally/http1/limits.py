"""Limits on what is read, and the methods that are allowed."""

from __future__ import annotations

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_STREAMED_BODY_BYTES = 256 * 1024 * 1024
"""A longer Content-Length of a streamed response is taken for a fault of the endpoint."""
MAX_INTERIM_RESPONSES = 16
"""1xx responses before a final one: an endless row of them would hold its connection for good."""
MAX_CHUNK_LINE_BYTES = 256
"""The line with a chunk's size, or one of a trailer."""
MAX_CACHED_HEAD_BYTES = 512
MAX_CACHED_HEADS = 128
"""At most 128 KiB, with the limit on each; beyond, all are dropped."""

METHODS = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})
