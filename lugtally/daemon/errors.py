"""Errors that prevent a sidecar from starting.  Their texts are one line each, and each class has an exit status."""

from __future__ import annotations


class StartupError(Exception):
    """The sidecar cannot start."""

    exit_status = 2


class InvalidConfigurationError(StartupError):
    """The configuration has an invalid value that is detected only while the sidecar is built or started."""


class StatusSocketError(StartupError):
    """The status socket cannot be opened."""


class ListenError(StartupError):
    """The sidecar cannot listen at a configured address."""

    exit_status = 1
