"""``python -m lugtally``: the command line.

Exit status: 0 after a planned stop, 1 where the address cannot be listened on, 2 for a bad command line or
configuration; the rehearsal commands have more, see ``lugtally rehearse --help``.
"""

from __future__ import annotations

import sys


def main(arguments: list[str] | None = None) -> int:
    """Run one command; return the exit status."""
    command_line = sys.argv[1:] if arguments is None else arguments
    if command_line[:1] == ["serve"]:
        # A sidecar may be limited to 32 MB of memory: it loads its own command and no other group.
        from lugtally.cli.daemon import serve

        return run(serve, command_line[1:], "lugtally serve")
    from lugtally.cli.root import root

    return run(root, command_line, "lugtally")


def run(command: object, arguments: list[str], name: str) -> int:
    """Run a click command; return its exit status, or 2 for a bad command line."""
    import click

    assert isinstance(command, click.Command)
    try:
        status = command.main(args=arguments, prog_name=name, standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return 130
    return status if isinstance(status, int) else 0


if __name__ == "__main__":
    sys.exit(main())
