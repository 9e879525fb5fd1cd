"""Fixtures of this folder."""

from __future__ import annotations

from tests.fakes import sidecar

__all__ = ["sidecar"]
