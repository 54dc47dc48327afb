"""The upstreams preferred for a number, from the routes of a configuration.

A number goes to the upstreams of the longest matching prefix, spread by its last digit. Without a route, or
if all upstreams of the route are draining, it goes to any upstream that is ready, spread in the same way.
This is only a preference: the controller decides which upstream gets the look-up.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from harepick.settings import Route


class Routes:
    """Looks up the preferred upstream of a number."""

    def __init__(self, routes: Iterable[Route], numbers: Mapping[str, int], ready: Iterable[str]) -> None:
        """`numbers`: the controller's number of each upstream; `ready`: the upstreams that take look-ups."""
        ready_names = set(ready)
        self._all: Sequence[int] = [n for name, n in numbers.items() if name in ready_names] or list(
            numbers.values()
        )
        self._by_prefix: dict[str, Sequence[int]] = {}
        for route in routes:
            choices = [numbers[name] for name in route.upstreams if name in ready_names and name in numbers]
            if choices:
                self._by_prefix[route.prefix] = choices
        self._longest_prefix = max(map(len, self._by_prefix), default=0)

    def first_choice(self, number: str) -> int:
        """The controller's number of the upstream preferred for a number (`+` and digits); 0 without any."""
        choices = self._all
        for end in range(min(self._longest_prefix, len(number)), 1, -1):
            if found := self._by_prefix.get(number[:end]):
                choices = found
                break
        return choices[int(number[-1]) % len(choices)] if choices else 0
