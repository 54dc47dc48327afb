"""The log as the core sees it: entries in memory after the last compaction, and how far the disk has them."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from harepick.store.raft.messages import Entry


class Log:
    """Owns the entries from `first` on; `base` is the index and term right before them."""

    def __init__(self, base_index: int = 0, base_term: int = 0, entries: Iterable[Entry] = ()) -> None:
        self.base_index, self.base_term = base_index, base_term
        self._entries: list[Entry] = []
        self._ends: list[int] = []  # bytes of all entries ever held, up to and with each
        self._total = 0
        self.append(list(entries))
        self.stable = self.last_index  # the disk has all up to here
        self.handed = self.last_index  # handed to the disk up to here

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def last_index(self) -> int:
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.base_term

    def term(self, index: int) -> int | None:
        """None: compacted away, or not there yet."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def get(self, index: int) -> Entry:
        return self._entries[index - self.base_index - 1]

    def size(self, low: int, high: int) -> int:
        """Bytes of the entries from `low` to `high`, as far as they are here."""
        low, high = max(low, self.base_index + 1), min(high, self.last_index)
        if low > high:
            return 0
        first, last = low - self.base_index - 1, high - self.base_index - 1
        return self._ends[last] - self._ends[first] + len(self._entries[first].data)

    def slice(self, low: int, high: int, most_bytes: int) -> tuple[Entry, ...]:
        """Entries `low` to `high`, both included: one at least, and no more than the bytes allow."""
        taken: list[Entry] = []
        size = 0
        for n in range(low - self.base_index - 1, high - self.base_index):
            entry = self._entries[n]
            size += len(entry.data) + 32
            if taken and size > most_bytes:
                break
            taken.append(entry)
        return tuple(taken)

    def append(self, entries: Sequence[Entry]) -> None:
        """Entries in order; what they conflict with must have been cut off before."""
        if entries:
            assert entries[0].index == self.last_index + 1, (entries[0].index, self.last_index)
            self._entries.extend(entries)
            for entry in entries:
                self._total += len(entry.data)
                self._ends.append(self._total)

    def cut(self, start: int) -> None:
        """Drops the entries from `start` on."""
        assert start > self.base_index
        del self._entries[start - self.base_index - 1 :]
        del self._ends[start - self.base_index - 1 :]
        self.stable = min(self.stable, start - 1)
        self.handed = min(self.handed, start - 1)

    def compact(self, index: int) -> None:
        """Drops the entries up to `index`, which a snapshot holds."""
        if index <= self.base_index:
            return
        term = self.term(index)
        assert term is not None
        del self._entries[: index - self.base_index]
        del self._ends[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """An installed snapshot takes the place of all."""
        self._entries.clear()
        self._ends.clear()
        self.base_index, self.base_term = index, term
        self.stable = self.handed = index

    def unwritten(self) -> tuple[Entry, ...]:
        """Entries that the disk was not handed yet; from now on it was."""
        taken = tuple(self._entries[max(0, self.handed - self.base_index) :])
        self.handed = self.last_index
        return taken

    def first_of_term(self, index: int) -> int:
        """The first index held with the term of `index`."""
        term = self.term(index)
        while index - 1 > self.base_index and self.term(index - 1) == term:
            index -= 1
        return index

    def last_with_term(self, term: int, below: int) -> int | None:
        """The last index up to `below` with this term, if there is one."""
        index = min(below, self.last_index)
        while index > self.base_index:
            held = self._entries[index - self.base_index - 1].term
            if held == term:
                return index
            if held < term:
                return None
            index -= 1
        return None
