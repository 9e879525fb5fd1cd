"""Imports libraries without the parts that a sidecar does not use, because its memory may be limited to 32 MB."""

from __future__ import annotations

import sys
from types import ModuleType

_UNUSED_BY_LOGGING = "asyncio"
"""loguru imports it for sinks that are coroutines.  With the TLS library that it imports it takes several megabytes."""


def import_loguru() -> None:
    """Import loguru without ``asyncio``; a later import of ``asyncio`` is not affected.

    Does nothing if ``asyncio`` has been imported already.
    """
    if _UNUSED_BY_LOGGING in sys.modules:
        return
    placeholder = ModuleType(_UNUSED_BY_LOGGING)
    placeholder.get_running_loop = _no_running_loop  # type: ignore[attr-defined]
    sys.modules[_UNUSED_BY_LOGGING] = placeholder
    try:
        import loguru  # noqa: F401
    finally:
        del sys.modules[_UNUSED_BY_LOGGING]


def _no_running_loop() -> None:
    """Replace ``asyncio.get_running_loop`` in loguru.

    Raises:
        RuntimeError: Always, as the original does outside a coroutine.
    """
    raise RuntimeError("no running event loop")
