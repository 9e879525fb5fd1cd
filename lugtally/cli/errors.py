"""Exit statuses that several commands use, and the output of input errors."""

from __future__ import annotations

import sys

EXIT_BAD_INPUT = 2
"""The command line, a configuration or another input file is invalid."""
EXIT_INTERRUPTED = 130
"""The command was interrupted by Ctrl-C or SIGTERM."""


def print_error(error: Exception) -> int:
    """Print an error of the input as one line on standard error; return the exit status."""
    print(f"lugtally: {error}", file=sys.stderr)
    return EXIT_BAD_INPUT
