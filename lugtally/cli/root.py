"""The root of the command line: each command is found when it is asked for."""

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


class Lazy(click.Group):
    """Loads the module of a command with the command."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All names, in the order of the table."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of that name."""
        if cmd_name not in COMMANDS:
            return None
        module, name = COMMANDS[cmd_name].split(".")
        command = getattr(import_module(f"lugtally.cli.{module}"), name)
        assert isinstance(command, click.Command)
        return command


@click.command(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
def root() -> None:
    """A load-balancing sidecar, and the kit to rehearse its worst days."""
