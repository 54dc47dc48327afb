"""What the sub-commands share: where the store is, how answers and errors are told, exit codes."""

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
Exit codes: 0 done; 1 refused (a faulty configuration, an unknown revision);
2 faulty arguments or operator's file; 3 no answer in time, or no leader;
4 another change came first.
"""
CODES = {
    "conflict": CONFLICT,
    "no_answer": UNAVAILABLE,
    "not_leader": UNAVAILABLE,
    "busy": UNAVAILABLE,
    "lost": UNAVAILABLE,
    "unavailable": UNAVAILABLE,
    "bad_request": USAGE,
    "turned_away": USAGE,
}
NEXT = {
    "conflict": "look at the change with 'harepick config diff', and repeat yours on top of it",
    "no_answer": "see whether a replica runs there, or name others with --at",
    "not_leader": "no leader for now: 'harepick store status' tells who is up; a majority has to be",
    "lost": "look with 'harepick config history' whether it took effect",
    "unavailable": "'harepick store status' tells what is wrong",
    "invalid": "nothing was changed; mend the key and check with 'harepick config check FILE'",
    "no_revision": "'harepick config history' lists those that are kept",
    "no_machine": "'harepick config get' has the servers, 'harepick store members' the controllers",
    "refused": "nothing was changed; 'harepick maint list' or 'harepick config history' tell what stands",
    "turned_away": "is store.cluster the same in your operator's file?",
}


@dataclass
class Store:
    """Where the command's store is, and how long and in what form to answer."""

    operator: str | None
    at: tuple[str, ...]
    cluster: str | None
    within: float
    as_json: bool
    members: dict[str, str] = field(default_factory=dict)

    def client(self) -> StoreClient:
        """Raises `SettingsError`."""
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

    def ask(self, work: Callable[[StoreClient], Awaitable[Any]]) -> Any:
        """Runs that with a client; ends the program with a message and a code if it fails."""
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
        if self.as_json:
            import orjson

            click.echo(orjson.dumps({"error": code, "text": text}).decode())
        fail(f"{text}\n  {NEXT[code]}" if code in NEXT else text, CODES.get(code, REFUSED))

    def tell(self, value: Any, text: str | None = None) -> None:
        """As JSON if asked for, else the text."""
        if self.as_json or text is None:
            import orjson

            click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
        elif text:
            click.echo(text)


def fail(text: str, code: int) -> NoReturn:
    click.echo(f"harepick: {text}", err=True)
    sys.exit(code)


def author() -> str:
    try:
        return f"{getpass.getuser()}@{socket.gethostname()}"
    except (KeyError, OSError):
        return ""


def store_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Gives a command its `store` argument."""
    import functools

    @click.option(
        "--operator", envvar="HAREPICK_OPERATOR", metavar="FILE", help="Operator's file with [store]."
    )
    @click.option("--at", multiple=True, metavar="HOST:PORT", help="Replica to ask; may be given again.")
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
        **words: Any,
    ) -> Any:
        if not 0.05 <= timeout <= 60:
            fail("--timeout is not between 0.05 and 60 s", USAGE)
        return command(*args, store=Store(operator, at, cluster, timeout, as_json), **words)

    return with_store
