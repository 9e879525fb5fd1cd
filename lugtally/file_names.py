"""Names of files that contain the name of a sidecar."""

from __future__ import annotations

MAX_NAME_LENGTH = 64
"""Largest number of characters of a sidecar's name that a file name contains."""


def file_safe_name(sidecar_name: str) -> str:
    """Return the name with every character replaced that a file name should not contain."""
    safe_name = "".join(char if char.isalnum() or char in "-_." else "_" for char in sidecar_name)
    return safe_name[:MAX_NAME_LENGTH] or "sidecar"
