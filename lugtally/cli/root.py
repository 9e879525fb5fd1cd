"""The root command.  It imports the module of a subcommand only when that subcommand is used."""

from __future__ import annotations

from importlib import import_module

import click

# By the name of a command: its module in ``lugtally.cli``, and its function there.
COMMANDS = {
    "serve": "daemon.serve",
    "check-config": "daemon.check_config",
    "status": "daemon.status",
    "version": "daemon.version",
    "rehearse": "rehearse.rehearse",
    "experiment": "experiment.experiment",
}


class LazyGroup(click.Group):
    """A group whose commands are imported when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, in the order of ``COMMANDS``."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return the command ``cmd_name``, or return ``None`` if it is unknown."""
        if cmd_name not in COMMANDS:
            return None
        module, name = COMMANDS[cmd_name].split(".")
        command = getattr(import_module(f"lugtally.cli.{module}"), name)
        assert isinstance(command, click.Command)
        return command


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def root() -> None:
    """A load-balancing sidecar, and a testbed to rehearse outages and overload."""
