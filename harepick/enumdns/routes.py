"""Which upstream a number prefers: the routes of a configuration. Pure; the module still decides who gets it.

A number goes to the upstreams of the longest prefix that fits it, spread by its last digit; without a route,
or when all of that route's upstreams drain, to any that takes look-ups, spread in the same way.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from harepick.settings import Route


class Routes:
    def __init__(self, routes: Iterable[Route], numbers: Mapping[str, int], ready: Iterable[str]) -> None:
        """`numbers`: upstream -> its number to the module; `ready`: those that take look-ups."""
        open_ = set(ready)
        self._any: Sequence[int] = [n for name, n in numbers.items() if name in open_] or list(
            numbers.values()
        )
        self._by_prefix: dict[str, Sequence[int]] = {}
        for route in routes:
            choices = [numbers[name] for name in route.upstreams if name in open_ and name in numbers]
            if choices:
                self._by_prefix[route.prefix] = choices
        self._longest = max(map(len, self._by_prefix), default=0)

    def first_choice(self, number: str) -> int:
        """Of a number in the form `+` and digits; 0 where there is no upstream."""
        choices = self._any
        for end in range(min(self._longest, len(number)), 1, -1):
            if found := self._by_prefix.get(number[:end]):
                choices = found
                break
        return choices[int(number[-1]) % len(choices)] if choices else 0
