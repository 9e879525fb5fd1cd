"""Fixtures of this folder."""

from __future__ import annotations

from tests.dispatch.scripted_balancer import balancer

__all__ = ["balancer"]
