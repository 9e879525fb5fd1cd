"""``python -m lugtally``: the command line.

Exit status: 0 after a planned stop, 1 where the address cannot be listened on, 2 for a bad command line or
configuration; the rehearsal commands have more, see ``lugtally rehearse --help``.
"""

from __future__ import annotations

import sys


def main(arguments: list[str] | None = None) -> int:
    """Run one command; returns the exit status."""
    told = sys.argv[1:] if arguments is None else arguments
    if told[:1] == ["serve"]:
        # The daemon has days of 32 MB: it loads its own command and none of the groups round it.
        from lugtally.cli.daemon import serve

        return run(serve, told[1:], "lugtally serve")
    from lugtally.cli.root import root

    return run(root, told, "lugtally")


def run(command: object, arguments: list[str], name: str) -> int:
    """A click command to an exit status: ours where it returns one, 2 for a bad command line."""
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
