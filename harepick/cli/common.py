"""What the sub-commands share: access to the store, printing of results and errors, exit codes."""

from __future__ import annotations

import getpass
import socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NoReturn

import click

from harepick.settings import SettingsError

if TYPE_CHECKING:
    from harepick.store.client import StoreClient

OK, REFUSED, USAGE, UNAVAILABLE, CONFLICT = 0, 1, 2, 3, 4
EXIT_CODES = """
\b
Exit codes: 0 done; 1 refused (an invalid configuration, an unknown revision);
2 invalid arguments or operator's file; 3 no answer in time, or no leader;
4 another change was made first.
"""
ERROR_EXIT_CODES = {
    "conflict": CONFLICT,
    "no_answer": UNAVAILABLE,
    "not_leader": UNAVAILABLE,
    "busy": UNAVAILABLE,
    "lost": UNAVAILABLE,
    "unavailable": UNAVAILABLE,
    "bad_request": USAGE,
    "turned_away": USAGE,
}
HINTS = {
    "conflict": "see the other change with 'harepick config diff', then make yours again on top of it",
    "no_answer": "check that a replica runs there, or name others with --at",
    "not_leader": "no leader at present: a majority must be up; 'harepick store status' lists the replicas",
    "lost": "check with 'harepick config history' whether the change took effect",
    "unavailable": "'harepick store status' shows what is wrong",
    "invalid": "nothing was changed; correct the key and check with 'harepick config check FILE'",
    "no_revision": "'harepick config history' lists the revisions that are kept",
    "no_machine": "'harepick config get' shows the servers, 'harepick store members' the controllers",
    "refused": "nothing was changed; 'harepick maint list' or 'harepick config history' shows the state",
    "turned_away": "check that store.cluster in your operator's file names this cluster",
}


@dataclass
class StoreAccess:
    """The store that a command works on, its time limit in seconds, and the form of its output."""

    operator: str | None
    at: tuple[str, ...]
    cluster: str | None
    timeout_s: float
    as_json: bool
    members: dict[str, str] = field(default_factory=dict)

    def client(self) -> StoreClient:
        """A client of the store's replicas; raises `SettingsError` if their addresses are not valid."""
        from harepick.settings import parse_address, read_toml
        from harepick.store.client import StoreClient
        from harepick.store.settings import read_store

        cluster, addresses = self.cluster or "harepick", [parse_address(a, "--at") for a in self.at]
        if self.operator:
            settings = read_store(read_toml(self.operator))
            if settings is None:
                raise SettingsError(f"file {self.operator} has no [store]")
            cluster = self.cluster or settings.cluster
            if not addresses:
                addresses = [settings.listen]
                addresses += [parse_address(m.address, "store.member") for m in settings.members.members]
        if not addresses:
            addresses = [parse_address("127.0.0.1:7353", "--at")]
        return StoreClient(cluster, list(dict.fromkeys(addresses)))

    def request(self, work: Callable[[StoreClient], Awaitable[Any]]) -> Any:
        """Runs `work` with a client; if it fails, prints the error and ends the program."""
        import anyio

        from harepick.store.client import StoreError

        async def run() -> Any:
            async with self.client() as client:
                return await work(client)

        try:
            return anyio.run(run)
        except StoreError as error:
            self.fail(str(error), error.code)
        except SettingsError as error:
            fail(str(error), USAGE)
        except KeyboardInterrupt:
            sys.exit(130)

    def fail(self, text: str, code: str) -> NoReturn:
        """Prints an error with a hint, and as JSON if asked for; ends the program.

        `code`: an error code of the store, from which the exit code follows.
        """
        if self.as_json:
            import orjson

            click.echo(orjson.dumps({"error": code, "text": text}).decode())
        fail(
            f"{text}\n  {HINTS[code]}" if code in HINTS else text,
            ERROR_EXIT_CODES.get(code, REFUSED),
        )

    def print_result(self, value: Any, text: str | None = None) -> None:
        """Prints `value` as JSON if asked for or if there is no text, else the text."""
        if self.as_json or text is None:
            import orjson

            click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
        elif text:
            click.echo(text)


def fail(text: str, code: int) -> NoReturn:
    """Prints an error and ends the program with the exit code."""
    click.echo(f"harepick: {text}", err=True)
    sys.exit(code)


def author() -> str:
    """`user@host` of the user who runs the command; empty if unknown."""
    try:
        return f"{getpass.getuser()}@{socket.gethostname()}"
    except (KeyError, OSError):
        return ""


def store_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Decorator: adds the options that select the store, and passes them as the `store` argument."""
    import functools

    @click.option(
        "--operator", envvar="HAREPICK_OPERATOR", metavar="FILE", help="Operator's file with [store]."
    )
    @click.option("--at", multiple=True, metavar="HOST:PORT", help="Replica to connect to; may be repeated.")
    @click.option("--cluster", metavar="NAME", help="Name of the cluster, if not in the operator's file.")
    @click.option("--timeout", default=10.0, show_default=True, help="Seconds until giving up.")
    @click.option("--json", "as_json", is_flag=True, help="Answer as JSON.")
    @functools.wraps(command)
    def with_store(
        *args: Any,
        operator: str | None,
        at: tuple[str, ...],
        cluster: str | None,
        timeout: float,
        as_json: bool,
        **options: Any,
    ) -> Any:
        if not 0.05 <= timeout <= 60:
            fail("--timeout is not between 0.05 and 60 s", USAGE)
        return command(*args, store=StoreAccess(operator, at, cluster, timeout, as_json), **options)

    return with_store
