"""``python -m lugtally``: the command line.

Exit status: 0 after a graceful shutdown, 1 if the sidecar cannot listen at an address, 2 for an invalid command line or
configuration.  The testbed's commands have additional statuses, which ``lugtally.cli.rehearse`` lists.
"""

from __future__ import annotations

import sys

from lugtally.cli.errors import EXIT_INTERRUPTED


def main(arguments: list[str] | None = None) -> int:
    """Run one command; return the exit status."""
    command_line = sys.argv[1:] if arguments is None else arguments
    if command_line[:1] == ["serve"]:
        return _serve(command_line[1:])
    from lugtally.cli.root import root

    return run_command(root, command_line, "lugtally")


def _serve(options: list[str]) -> int:
    """Run ``serve``, without the other commands and, if it has no options, without the parser of the command line."""
    from lugtally.cli.light_imports import import_loguru

    import_loguru()
    if not options:
        from lugtally.cli.serve import serve as run_serve

        return run_serve()
    from lugtally.cli.daemon import serve

    return run_command(serve, options, "lugtally serve")


def run_command(command: object, arguments: list[str], program_name: str) -> int:
    """Run a click command; return its exit status, 2 for an invalid command line, or 130 after an interrupt."""
    import click

    assert isinstance(command, click.Command)
    try:
        status = command.main(args=arguments, prog_name=program_name, standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return EXIT_INTERRUPTED
    return status if isinstance(status, int) else 0


if __name__ == "__main__":
    sys.exit(main())
