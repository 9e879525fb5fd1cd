"""Exit statuses that the commands share, and the output of errors."""

from __future__ import annotations

import sys

EXIT_BAD_INPUT = 2
"""The command line, a configuration or another input file is invalid."""
EXIT_INTERRUPTED = 130
"""The command was interrupted by Ctrl-C or SIGTERM."""


def print_error(error: Exception) -> int:
    """Print an error of the input on one line; return the exit status."""
    print(f"lugtally: {error}", file=sys.stderr)
    return EXIT_BAD_INPUT
