"""Why a sidecar cannot start; the text of each error is one line, and each has the exit status that it leads to."""

from __future__ import annotations


class StartupError(Exception):
    """The sidecar cannot start."""

    exit_status = 2


class InvalidConfigurationError(StartupError):
    """A value that only the building of the sidecar could check is wrong."""


class StatusSocketError(StartupError):
    """The status socket cannot be opened."""


class ListenError(StartupError):
    """An address cannot be listened on."""

    exit_status = 1
