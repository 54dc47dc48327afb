"""`harepick run`: the same program as `python -m harepick`."""

from __future__ import annotations

import sys

import click


@click.command()
@click.option("--operator", envvar="HAREPICK_OPERATOR", metavar="FILE", help="Operator's file.")
def run(operator: str | None) -> None:
    """Run one instance until SIGTERM.

    With GW_CONFIG set it serves the platform; with an operator's file it serves ENUM look-ups, and with
    [store] in that file it runs a replica of the store as well. Exit code 2: an invalid setting, named in
    one line.
    """
    from harepick.__main__ import main

    sys.argv[1:] = ["--operator", operator] if operator else []
    sys.exit(main())
