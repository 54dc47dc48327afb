"""What links do to messages: faults by direction, partitions, and the schedule of one connection. Pure.

Time is an argument, chance a seeded source handed in. `relay.py` carries out what is decided here.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, fields, replace
from random import Random

HOLD = 0.03  # seconds that a reordered message is held back, for those behind it to overtake
TOOL = "tool"  # an operator's tool, the rig's own among them
ANY = "*"  # every end but tools: the rig must hear of what it cuts

Link = tuple[str, str]  # who speaks, to whom


@dataclass(frozen=True, slots=True)
class Fault:
    """What one direction of a link does; as it stands, nothing. Times in seconds, shares in [0, 1]."""

    drop: bool = False  # all of it, ends of connections too
    loss: float = 0.0  # share of messages that never come
    delay: float = 0.0
    jitter: float = 0.0  # up to so much more, drawn for each message
    reorder: float = 0.0  # share of messages that those behind them overtake
    duplicate: float = 0.0  # share of messages that come twice
    cut_at: int | None = None  # bytes of each connection after which it breaks
    rate: float = 0.0  # bytes a second; 0: no bound

    def over(self, other: Fault) -> Fault:
        """Both at once; where both name a value, this one's counts."""
        named = {f.name: v for f in fields(self) if (v := getattr(self, f.name)) != f.default}
        return replace(other, **named)


CLEAR = Fault()


class Network:
    """The links as they are now: faults by direction, and the partition on top of them."""

    def __init__(self) -> None:
        self._faults: dict[Link, Fault] = {}
        self._groups: list[frozenset[str]] = []
        self.version = 0  # rises with each change

    def set(self, speaker: str, hearer: str, fault: Fault) -> None:
        """`ANY` on either side stands for every end; the more exact link goes before it."""
        self.version += 1
        if fault == CLEAR:
            self._faults.pop((speaker, hearer), None)
        else:
            self._faults[speaker, hearer] = fault

    def partition(self, groups: Iterable[Iterable[str]]) -> None:
        """Ends of different groups hear nothing of each other; an end in no group hears all."""
        self.version += 1
        self._groups = [frozenset(group) for group in groups]

    def heal(self) -> None:
        """No partition any more; faults of single links stay."""
        self.partition(())

    def clear(self) -> None:
        self._faults.clear()
        self.heal()

    def fault(self, speaker: str, hearer: str) -> Fault:
        """What holds now for what `speaker` says to `hearer`."""
        if not self._faults and not self._groups:
            return CLEAR
        found = CLEAR
        exact = (speaker, hearer)
        for link in (exact,) if TOOL in exact else ((ANY, ANY), (ANY, hearer), (speaker, ANY), exact):
            if one := self._faults.get(link):
                found = one.over(found)
        return replace(found, drop=True) if self._apart(speaker, hearer) else found

    def _apart(self, speaker: str, hearer: str) -> bool:
        mine = [n for n, group in enumerate(self._groups) if speaker in group]
        others = [n for n, group in enumerate(self._groups) if hearer in group]
        return bool(mine and others) and not set(mine) & set(others)


@dataclass(frozen=True, slots=True)
class Passage:
    """Bytes to be sent on at `due`; `cut`: the connection breaks after them."""

    due: float
    data: bytes
    cut: bool = False


@dataclass(slots=True)
class Lane:
    """One direction of one connection: when each message is due on the other side, if at all.

    Without reordering, messages stay in order whatever their delays: those of a stream can't overtake."""

    rng: Random
    spared: int = 0  # first messages that loss, repeats and reordering leave alone (a handshake)
    _last: float = field(default=float("-inf"))  # when the one before is due
    _free: float = field(default=float("-inf"))  # when a rate-bound link has sent all so far
    _bytes: int = 0
    _version: Fault = CLEAR

    def passages(self, data: bytes, now: float, fault: Fault) -> Sequence[Passage]:
        """What becomes of a message that came at `now`."""
        if fault.cut_at != self._version.cut_at:
            self._bytes = 0  # counted from when the fault was set
        self._version = fault
        if fault is CLEAR:
            self.spared = max(0, self.spared - 1)
            self._last = max(self._last, now)
            return (Passage(self._last, data),)
        if fault.drop:
            return ()
        exempt = self.spared > 0
        self.spared = max(0, self.spared - 1)
        if not exempt and self.rng.random() < fault.loss:
            return ()
        cut = False
        if fault.cut_at is not None:
            cut = self._bytes + len(data) >= fault.cut_at
            data = data[: max(0, fault.cut_at - self._bytes)]
            self._bytes += len(data)
        if fault.rate > 0:
            self._free = max(self._free, now) + len(data) / fault.rate
        due = now + fault.delay + (self.rng.uniform(0.0, fault.jitter) if fault.jitter else 0.0)
        due = max(due, self._free, self._last)
        if not exempt and not cut and self.rng.random() < fault.reorder:
            return (Passage(due + HOLD, data),)  # `_last` stays: those behind overtake
        self._last = due
        passage = Passage(due, data, cut)
        if not exempt and not cut and self.rng.random() < fault.duplicate:
            return (passage, passage)
        return (passage,)
