"""The command `harepick`: its command groups, each imported only when it is used."""

from __future__ import annotations

import importlib
import sys

import click

from harepick.cli.common import EXIT_CODES

# Command -> module, attribute, help text.
GROUPS = {
    "config": ("harepick.cli.config", "config", "Read and change the store's configuration."),
    "fleet": ("harepick.cli.fleet", "fleet", "Run fault scenarios on a fleet of instances."),
    "gap": ("harepick.cli.gap", "gap", "Set, lift and show gaps."),
    "limit": (
        "harepick.cli.limit",
        "limit",
        "Set, lift and show limits over all instances together.",
    ),
    "maint": ("harepick.cli.maint", "maint", "Take machines out for maintenance, and bring them back."),
    "run": ("harepick.cli.run", "run", "Run one instance."),
    "store": ("harepick.cli.store", "store", "Set up and maintain the replicated store."),
    "verdict": (
        "harepick.cli.limit",
        "verdict",
        "Judgements of servers and callers, shared by all instances.",
    ),
}


class LazyGroup(click.Group):
    """Lists its commands without importing their modules."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(GROUPS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in GROUPS:
            return None
        module, name, _ = GROUPS[cmd_name]
        command = getattr(importlib.import_module(module), name)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, GROUPS[name][2]) for name in sorted(GROUPS)])


@click.group(cls=LazyGroup, epilog=EXIT_CODES, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="harepick", message="%(prog)s %(version)s")
def harepick() -> None:
    """A border controller: routes calls and ENUM look-ups, and keeps its servers out of overload."""


def main() -> int:
    """Entry point of the installed command."""
    harepick(prog_name="harepick")
    return 0


if __name__ == "__main__":
    sys.exit(main())
