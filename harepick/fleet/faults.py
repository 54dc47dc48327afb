"""Link faults: faults by direction, partitions, and the delivery schedule of one connection. No I/O.

Time is an argument, and randomness comes from a seeded source that is passed in. `relay.py` delivers.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, fields, replace
from random import Random

REORDER_DELAY_S = 0.03  # by which a reordered message is held back, so that later ones overtake it
TOOL = "tool"  # an operator's tool, such as the rig's own client
ANY = "*"  # any end except `TOOL`, so that the rig's own client reaches instances that are cut off

Link = tuple[str, str]  # sender, receiver


@dataclass(frozen=True, slots=True)
class Fault:
    """The faults of one direction of a link; none by default. Times in seconds, probabilities in [0, 1]."""

    drop: bool = False  # drops every message, and holds back the closes of connections
    loss: float = 0.0  # share of messages that are lost
    delay: float = 0.0
    jitter: float = 0.0  # upper bound of an additional delay, drawn for each message
    reorder: float = 0.0  # share of messages that later ones overtake
    duplicate: float = 0.0  # share of messages that are delivered twice
    cut_at: int | None = None  # bytes of each connection after which it breaks
    rate: float = 0.0  # bytes a second; 0: unlimited

    def overlaid_on(self, other: Fault) -> Fault:
        """Combines two faults; where both set a value, this one's is used."""
        named = {f.name: v for f in fields(self) if (v := getattr(self, f.name)) != f.default}
        return replace(other, **named)


CLEAR = Fault()


class Network:
    """The current state of all links: faults by direction, and a partition on top of them."""

    def __init__(self) -> None:
        self._faults: dict[Link, Fault] = {}
        self._groups: list[frozenset[str]] = []
        self.version = 0  # incremented by each change

    def set(self, sender: str, receiver: str, fault: Fault) -> None:
        """Sets the fault of a link. `ANY` on a side means every end; a specific link has precedence."""
        self.version += 1
        if fault == CLEAR:
            self._faults.pop((sender, receiver), None)
        else:
            self._faults[sender, receiver] = fault

    def partition(self, groups: Iterable[Iterable[str]]) -> None:
        """Drops all messages between ends of different groups; an end in no group is not affected."""
        self.version += 1
        self._groups = [frozenset(group) for group in groups]

    def heal(self) -> None:
        """Removes the partition; the faults of single links stay."""
        self.partition(())

    def clear(self) -> None:
        """Removes the partition and all faults."""
        self._faults.clear()
        self.heal()

    def fault(self, sender: str, receiver: str) -> Fault:
        """The fault in force for messages from `sender` to `receiver`."""
        if not self._faults and not self._groups:
            return CLEAR
        combined = CLEAR
        exact = (sender, receiver)
        # From the least to the most specific link: where two faults set a value, the later one is used.
        for link in (exact,) if TOOL in exact else ((ANY, ANY), (ANY, receiver), (sender, ANY), exact):
            if fault := self._faults.get(link):
                combined = fault.overlaid_on(combined)
        return replace(combined, drop=True) if self._partitioned(sender, receiver) else combined

    def _partitioned(self, sender: str, receiver: str) -> bool:
        sender_groups = [n for n, group in enumerate(self._groups) if sender in group]
        receiver_groups = [n for n, group in enumerate(self._groups) if receiver in group]
        return bool(sender_groups and receiver_groups) and not set(sender_groups) & set(receiver_groups)


@dataclass(frozen=True, slots=True)
class Delivery:
    """Bytes to be sent on at time `due`; `cut`: the connection is reset after them."""

    due: float
    data: bytes
    cut: bool = False


@dataclass(slots=True)
class LinkSchedule:
    """Decides for one direction of one connection when each message is delivered, if at all.

    Without reordering, messages stay in order whatever their delays, as in a stream."""

    rng: Random
    exempt_messages: int = 0  # first messages exempt from loss, duplication and reordering (a handshake)
    _last_due: float = field(default=float("-inf"))  # due time of the previous message
    # With a limited rate, when everything accepted so far will have been sent.
    _idle_at: float = field(default=float("-inf"))
    _bytes: int = 0
    _fault: Fault = CLEAR

    def deliveries(self, data: bytes, now: float, fault: Fault) -> Sequence[Delivery]:
        """The deliveries of a message received at `now`: none if it is lost, two if it is duplicated."""
        if fault.cut_at != self._fault.cut_at:
            self._bytes = 0  # bytes are counted from when the fault was set
        self._fault = fault
        if fault is CLEAR:
            self.exempt_messages = max(0, self.exempt_messages - 1)
            self._last_due = max(self._last_due, now)
            return (Delivery(self._last_due, data),)
        if fault.drop:
            return ()
        exempt = self.exempt_messages > 0
        self.exempt_messages = max(0, self.exempt_messages - 1)
        if not exempt and self.rng.random() < fault.loss:
            return ()
        cut = False
        if fault.cut_at is not None:
            cut = self._bytes + len(data) >= fault.cut_at
            data = data[: max(0, fault.cut_at - self._bytes)]
            self._bytes += len(data)
        if fault.rate > 0:
            self._idle_at = max(self._idle_at, now) + len(data) / fault.rate
        due = now + fault.delay + (self.rng.uniform(0.0, fault.jitter) if fault.jitter else 0.0)
        due = max(due, self._idle_at, self._last_due)
        if not exempt and not cut and self.rng.random() < fault.reorder:
            # `_last_due` is unchanged, so that later messages overtake this one.
            return (Delivery(due + REORDER_DELAY_S, data),)
        self._last_due = due
        delivery = Delivery(due, data, cut)
        if not exempt and not cut and self.rng.random() < fault.duplicate:
            return (delivery, delivery)
        return (delivery,)
