"""The root of the command line: the module of a command is imported with the command."""

from __future__ import annotations

from importlib import import_module

import click

COMMANDS = {
    "serve": "daemon.serve",
    "check-config": "daemon.check_config",
    "status": "daemon.status",
    "version": "daemon.version",
    "rehearse": "rehearse.rehearse",
    "experiment": "experiment.experiment",
}


class LazyGroup(click.Group):
    """Imports the module of a command when the command is run."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return all names, in the order of the table."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of that name."""
        if cmd_name not in COMMANDS:
            return None
        module, name = COMMANDS[cmd_name].split(".")
        command = getattr(import_module(f"lugtally.cli.{module}"), name)
        assert isinstance(command, click.Command)
        return command


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def root() -> None:
    """A load-balancing sidecar, and the kit to rehearse its worst days."""
