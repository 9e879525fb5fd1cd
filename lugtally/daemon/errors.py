"""Errors that prevent a sidecar from starting.  The text of each is one line, and each class has its exit status."""

from __future__ import annotations


class StartupError(Exception):
    """The sidecar cannot start."""

    exit_status = 2


class InvalidConfigurationError(StartupError):
    """The configuration has an invalid value that is only detected while the sidecar is built."""


class StatusSocketError(StartupError):
    """The status socket cannot be opened."""


class ListenError(StartupError):
    """The sidecar cannot listen at a configured address."""

    exit_status = 1
