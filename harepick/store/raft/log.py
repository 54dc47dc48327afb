"""The in-memory Raft log: the entries since the last compaction, and how many of them are durable."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from harepick.store.raft.messages import Entry


class Log:
    """Entries by index; `base_index` and `base_term` are those of the last entry that was compacted away."""

    def __init__(self, base_index: int = 0, base_term: int = 0, entries: Iterable[Entry] = ()) -> None:
        self.base_index, self.base_term = base_index, base_term
        self._entries: list[Entry] = []
        self._end_offsets: list[int] = []  # running total of data bytes, up to and including each entry
        self._total_bytes = 0
        self.append(list(entries))
        self.stable = self.last_index  # last index that is durable
        self.submitted = self.last_index  # last index that was handed to the disk

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def last_index(self) -> int:
        """The index of the last entry, or the base index if the log holds none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or the base term if the log holds none."""
        return self._entries[-1].term if self._entries else self.base_term

    def term(self, index: int) -> int | None:
        """The term of the entry at `index`; None if it was compacted away or is not in the log yet."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def get(self, index: int) -> Entry:
        """The entry at `index`, which must be in the log."""
        return self._entries[index - self.base_index - 1]

    def size(self, low: int, high: int) -> int:
        """Data bytes of the entries from `low` to `high` (inclusive) that are in the log."""
        low, high = max(low, self.base_index + 1), min(high, self.last_index)
        if low > high:
            return 0
        first, last = low - self.base_index - 1, high - self.base_index - 1
        return self._end_offsets[last] - self._end_offsets[first] + len(self._entries[first].data)

    def slice(self, low: int, high: int, max_bytes: int) -> tuple[Entry, ...]:
        """Entries from `low` to `high` (inclusive), cut off at `max_bytes`, but at least one.

        An entry counts its data and 32 bytes for the other fields.
        """
        entries: list[Entry] = []
        size = 0
        for position in range(low - self.base_index - 1, high - self.base_index):
            entry = self._entries[position]
            size += len(entry.data) + 32
            if entries and size > max_bytes:
                break
            entries.append(entry)
        return tuple(entries)

    def append(self, entries: Sequence[Entry]) -> None:
        """Appends consecutive entries; conflicting ones must have been truncated before."""
        if entries:
            assert entries[0].index == self.last_index + 1, (entries[0].index, self.last_index)
            self._entries.extend(entries)
            for entry in entries:
                self._total_bytes += len(entry.data)
                self._end_offsets.append(self._total_bytes)

    def truncate_from(self, start: int) -> None:
        """Drops the entries from `start` on."""
        assert start > self.base_index
        del self._entries[start - self.base_index - 1 :]
        del self._end_offsets[start - self.base_index - 1 :]
        self.stable = min(self.stable, start - 1)
        self.submitted = min(self.submitted, start - 1)

    def compact(self, index: int) -> None:
        """Drops the entries up to and including `index`, which a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term(index)
        assert term is not None
        del self._entries[: index - self.base_index]
        del self._end_offsets[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Drops all entries: an installed snapshot that ends at `index` replaces them."""
        self._entries.clear()
        self._end_offsets.clear()
        self.base_index, self.base_term = index, term
        self.stable = self.submitted = index

    def take_unwritten(self) -> tuple[Entry, ...]:
        """The entries that were not handed to the disk yet; marks them as handed over."""
        entries = tuple(self._entries[max(0, self.submitted - self.base_index) :])
        self.submitted = self.last_index
        return entries

    def first_index_of_term(self, index: int) -> int:
        """The first index in the log with the same term as the entry at `index`."""
        term = self.term(index)
        while index - 1 > self.base_index and self.term(index - 1) == term:
            index -= 1
        return index

    def last_index_of_term(self, term: int, upper: int) -> int | None:
        """The last index with this term, no higher than `upper`; None if there is none."""
        index = min(upper, self.last_index)
        while index > self.base_index:
            entry_term = self._entries[index - self.base_index - 1].term
            if entry_term == term:
                return index
            if entry_term < term:
                return None
            index -= 1
        return None
