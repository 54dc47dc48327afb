"""The durable state of one replica, in one folder; it survives a crash at any point.

The folder holds log segments (`log-N`), snapshots (`snap-INDEX`), the identity, the pinned folder ids of the
other replicas (`peers`) and a lock. At the start an incomplete write at the end of the log is cut off and
reported; any other damage is an error. After a failed write or fsync nothing more is written, because what
the disk holds is then unknown.
"""

from __future__ import annotations

import itertools
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import zstandard
from msgspec import Struct

from harepick.store.disk import frames
from harepick.store.disk.files import Files, Handle, StorageError
from harepick.store.raft.messages import Entry, HardState, Membership, Snapshot

SEGMENT_BYTES = 16 * 1024 * 1024
FORMAT = 1
SNAPSHOT_MAGIC = b"hpsnap1\n"
# Magic, crc32c of all that follows it, length of the metadata, length of the compressed state.
SNAPSHOT_HEADER = struct.Struct("<8sIIQ")
ZSTD_LEVEL = 3
MAX_STATE_BYTES = 1 << 30  # of a snapshot, uncompressed


class Identity(Struct, frozen=True):
    """The owner of a folder; written once, when the folder is created."""

    cluster: str
    replica: str
    folder: str  # random id of the folder: one that was wiped and created again has another
    format: int = FORMAT


class _Meta(Struct, frozen=True):
    """The metadata in front of a snapshot's state."""

    index: int
    term: int
    membership: Membership


@dataclass
class Recovered:
    """The state read from the folder at the start."""

    identity: Identity
    hard: HardState
    snapshot: Snapshot
    entries: list[Entry]
    notes: list[str] = field(default_factory=list)  # what was cut off or skipped, for the log


def _with_checksum(data: bytes) -> bytes:
    return frames.checksum(data).to_bytes(4, "little") + data


def _verified(name: str, data: bytes) -> bytes:
    if len(data) < 4 or frames.checksum(data[4:]).to_bytes(4, "little") != data[:4]:
        raise StorageError(f"{name}, offset 0: the file is damaged")
    return data[4:]


def write_atomically(files: Files, name: str, data: bytes) -> None:
    """Replaces a file atomically by way of a temporary one; durable on return."""
    temporary = f"{name}.new"
    if temporary in files.names():
        files.remove(temporary)
    handle = files.append(temporary)
    try:
        handle.write(data)
        handle.sync()
    finally:
        handle.close()
    files.rename(temporary, name)
    files.sync_folder()


def pack_snapshot(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot as the contents of its file."""
    meta = msgspec.msgpack.encode(_Meta(snapshot.index, snapshot.term, snapshot.membership))
    packed = zstandard.ZstdCompressor(level=ZSTD_LEVEL).compress(snapshot.data)
    sizes = struct.pack("<IQ", len(meta), len(packed))
    crc = frames.checksum(sizes, meta, packed)
    return SNAPSHOT_HEADER.pack(SNAPSHOT_MAGIC, crc, len(meta), len(packed)) + meta + packed


def unpack_snapshot(name: str, data: bytes) -> Snapshot:
    """Decodes the contents of file `name`; raises `StorageError`."""
    if len(data) < SNAPSHOT_HEADER.size:
        raise StorageError(f"{name}, offset {len(data)}: the snapshot is cut short")
    magic, crc, meta_length, length = SNAPSHOT_HEADER.unpack_from(data)
    if magic != SNAPSHOT_MAGIC:
        raise StorageError(f"{name}, offset 0: no snapshot of this format")
    meta = data[SNAPSHOT_HEADER.size : SNAPSHOT_HEADER.size + meta_length]
    packed = data[SNAPSHOT_HEADER.size + meta_length :]
    sizes = struct.pack("<IQ", meta_length, length)
    if len(packed) != length or frames.checksum(sizes, meta, packed) != crc:
        raise StorageError(f"{name}, offset {SNAPSHOT_HEADER.size}: the snapshot is damaged")
    decoded = msgspec.msgpack.decode(meta, type=_Meta)
    state = zstandard.ZstdDecompressor().decompress(packed, max_output_size=MAX_STATE_BYTES)
    return Snapshot(decoded.index, decoded.term, decoded.membership, state)


def create(files: Files, identity: Identity, membership: Membership) -> None:
    """Initializes a folder; the first members are stored in the snapshot at index 0.

    Raises `StorageError` if the folder is not empty.
    """
    existing = [file for file in files.names() if file not in ("lock",) and not file.endswith(".new")]
    if "identity" in existing:
        raise StorageError(f"folder {files} has a replica already")
    for name in existing:
        if name != "snap-0" and name != "peers":  # an interrupted `create` leaves `snap-0`
            raise StorageError(f"folder {files} is not empty: {name}")
    write_atomically(files, "snap-0", pack_snapshot(Snapshot(0, 0, membership, b"")))
    # Last, because it makes the folder valid.
    write_atomically(files, "identity", _with_checksum(msgspec.json.encode(identity)))


def read_identity(files: Files) -> Identity | None:
    """Returns the identity, or None if the folder has no replica; raises `StorageError`."""
    if "identity" not in files.names():
        return None
    identity = msgspec.json.decode(_verified("identity", files.read("identity")), type=Identity)
    if identity.format != FORMAT:
        raise StorageError(f"folder {files} has format {identity.format}; this version knows {FORMAT}")
    return identity


class Storage:
    """An open folder. The methods block. One thread at a time may call them, and another one `pin`."""

    def __init__(self, files: Files, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._files = files
        self._segment_bytes = segment_bytes
        self._handle: Handle | None = None
        self._segment_name = ""
        self._segment_size = 0
        self._sequence = 0
        self._last_frame = 0  # number of the last frame written
        self._last_index = 0  # index of the last valid entry
        self._seed = 0
        self._read_only = False
        self._hard_state = HardState()
        self._highest_index: dict[str, int] = {}  # segment -> highest index in it
        self.failed = ""  # why nothing is written any more
        self.bytes_written = 0

    # Start

    def open(self, *, write: bool = True) -> Recovered:
        """Locks the folder and reads it; raises `StorageError` with file and offset.

        Without `write` nothing is changed: what would be cut off is only reported.
        """
        self._files.lock()
        self._read_only = not write
        identity = read_identity(self._files)
        if identity is None:
            raise StorageError(f"folder {self._files} has no replica: make one with 'harepick store init'")
        names = self._files.names()
        for name in names:
            if name.endswith(".new") and write:
                self._files.remove(name)  # a crash came before its rename: nothing depends on it
        snapshot = self._read_snapshots(names)
        recovered = Recovered(identity, HardState(), snapshot, [])
        self._seed = frames.checksum(identity.folder.encode())
        reset = self._read_segments(names, recovered)
        self._hard_state = recovered.hard
        if not write:
            return recovered
        self._last_index = max(snapshot.index, recovered.entries[-1].index if recovered.entries else 0)
        try:
            self._sync_recovered()
            self._open_segment(reset)
        except OSError as error:
            raise StorageError(f"{self._segment_name}: {error.strerror or error}") from None
        return recovered

    def _sync_recovered(self) -> None:
        """Syncs what was read and is relied on from now on: a killed process may have left it unsynced."""
        if self._highest_index:
            newest = self._files.append(max(self._highest_index))
            newest.sync()
            newest.close()
        self._files.sync_folder()

    def _read_snapshots(self, names: list[str]) -> Snapshot:
        """Reads the newest snapshot and removes older ones."""
        indices = sorted(int(file[5:]) for file in names if file.startswith("snap-") and file[5:].isdigit())
        if not indices:
            raise StorageError(f"folder {self._files}: there is no snapshot")
        name = f"snap-{indices[-1]}"
        snapshot = unpack_snapshot(name, self._files.read(name))
        if snapshot.index != indices[-1]:
            raise StorageError(f"{name}: the snapshot is of index {snapshot.index}")
        for index in indices[:-1] if not self._read_only else ():
            self._files.remove(f"snap-{index}")
        return snapshot

    def _read_segments(self, names: list[str], recovered: Recovered) -> frames.Reset | None:
        """Reads the log into `recovered`; returns a reset that a crash kept from being logged, if any."""
        numbers = sorted(int(file[4:]) for file in names if file.startswith("log-") and file[4:].isdigit())
        for previous, following in itertools.pairwise(numbers):
            if following != previous + 1:
                raise StorageError(f"log-{previous + 1:020}: the segment is missing")
        entries: list[Entry] = []
        base = recovered.snapshot.index
        for number in numbers:
            name = f"log-{number:020}"
            self._highest_index[name] = self._read_segment(
                name, number, number == numbers[-1], recovered, entries, base
            )
            if self._highest_index[name] >= 0:
                self._sequence = number
        if entries and entries[0].index > base + 1:
            raise StorageError(f"{self._files}: entries {base + 1} to {entries[0].index - 1} are missing")
        if recovered.hard.term < max([entry.term for entry in entries], default=0):
            raise StorageError(f"{self._files}: there are entries of a later term than the recorded term")
        at_base = next((entry for entry in entries if entry.index == base), None)
        if entries and (entries[-1].index < base or (at_base and at_base.term != recovered.snapshot.term)):
            # The crash came after the snapshot was installed and before the reset was logged.
            recovered.notes.append(f"entries from {base + 1} on are void: a snapshot took their place")
            return frames.Reset(base, recovered.snapshot.term)
        recovered.entries = [entry for entry in entries if entry.index > base]
        return None

    def _read_segment(
        self, name: str, number: int, newest: bool, recovered: Recovered, entries: list[Entry], base: int
    ) -> int:
        """Reads a segment into `recovered` and `entries`; returns the highest index in it.

        Returns -1 if the header was never completed; the segment is then begun again.
        """
        data = self._files.read(name)
        seed = self._seed
        try:
            if len(data) < frames.HEADER.size:
                raise StorageError(f"{name}, offset {len(data)}: the segment is cut short")
            last = frames.read_header(seed, name, data, number)
        except StorageError:
            if not newest or frames.next_valid_frame(seed, data, 0):
                raise
            recovered.notes.append(f"{name}: cut at offset 0, a header that was never finished")
            self._truncate(name, 0)
            return -1
        if not entries and last > base and not self._last_frame:
            raise StorageError(f"{name}: entries {base + 1} to {last} are in no segment before it")
        offset, highest = frames.HEADER.size, 0
        while offset < len(data):
            valid = frames.valid_frame_at(seed, data, offset)
            if valid is None:
                valid = self._skip_damage(name, data, offset, newest, recovered)
                if valid is None:
                    break
            offset = valid.offset + frames.FRAME.size + len(valid.payload)
            if valid.kind == frames.MARK:
                if valid.number != self._last_frame:
                    raise StorageError(
                        f"{name}, offset {valid.offset}: frame {valid.number} was written and is not there"
                    )
                continue
            if self._last_frame and valid.number != self._last_frame + 1:
                raise StorageError(
                    f"{name}, offset {valid.offset}: frame {valid.number} follows {self._last_frame}"
                )
            self._last_frame = valid.number
            for record in frames.unpack_records(name, valid):
                if isinstance(record, HardState):
                    recovered.hard = record
                elif isinstance(record, frames.Reset):
                    entries.clear()
                else:
                    self._append_recovered(name, valid.offset, record, entries)
                    highest = max(highest, record.index)
        return highest

    @staticmethod
    def _append_recovered(name: str, offset: int, entry: Entry, entries: list[Entry]) -> None:
        """Appends an entry; it replaces those of the same or a higher index."""
        while entries and entries[-1].index >= entry.index:
            entries.pop()  # overwritten by a later leader
        if entries and entries[-1].index + 1 != entry.index:
            raise StorageError(f"{name}, offset {offset}: entry {entry.index} follows {entries[-1].index}")
        entries.append(entry)

    def _skip_damage(
        self, name: str, data: bytes, offset: int, newest: bool, recovered: Recovered
    ) -> frames.Frame | None:
        """Cuts off an incomplete write at the end and returns None, or skips a damaged mark and returns the
        next frame; raises `StorageError` if a durable frame is damaged.

        A frame is written only after the one before it is durable, so a damaged frame with a later one behind
        it was durable. But if the next data frame has the next number, only a mark is damaged, and a mark
        holds no data.
        """
        later = frames.next_valid_frame(self._seed, data, offset)
        if later and later.kind == frames.DATA and later.number == self._last_frame + 1:
            recovered.notes.append(f"{name}: passed over a damaged mark at offset {offset}")
            return later
        if later or not newest:
            evidence = f"; frame {later.number} after it is sound" if later else ""
            raise StorageError(f"{name}, offset {offset}: a frame is damaged that was durable{evidence}")
        recovered.notes.append(
            f"{name}: cut at offset {offset}, {len(data) - offset} bytes that were never acknowledged"
        )
        self._truncate(name, offset)
        return None

    def _truncate(self, name: str, size: int) -> None:
        if not self._read_only:
            self._files.truncate(name, size)

    # Writing

    def _open_segment(self, reset: frames.Reset | None = None) -> None:
        """Begins a new segment. It repeats term and vote, so that older segments can be removed."""
        if self._handle:
            self._handle.sync()  # its last mark too: only the newest segment may end in an incomplete write
            self._handle.close()
            self._handle = None
        self._sequence += 1
        self._segment_name = f"log-{self._sequence:020}"
        self._handle = self._files.append(self._segment_name)
        self._highest_index[self._segment_name] = 0
        data = frames.pack_header(self._seed, self._sequence, self._last_index) + self._data_frame(
            self._hard_state, (), reset
        )
        self._handle.write(data)
        self._handle.sync()
        self._files.sync_folder()
        self._segment_size = len(data)

    def _data_frame(
        self, hard: HardState | None, entries: tuple[Entry, ...], reset: frames.Reset | None
    ) -> bytes:
        self._last_frame += 1
        return frames.pack_frame(
            self._seed, frames.DATA, self._last_frame, frames.pack_records(hard, entries, reset)
        )

    def write(self, hard: HardState | None, entries: tuple[Entry, ...], installed: Snapshot | None) -> None:
        """Writes to the log, durably on return; `installed` is a snapshot that replaces the whole log.

        Raises `StorageError`. After a failed write or fsync every later call fails too, because what is on
        the disk is unknown.
        """
        self._run_unless_failed(lambda: self._write(hard, entries, installed))

    def save(self, snapshot: Snapshot) -> None:
        """Writes a snapshot of this replica's own state and removes what it covers; raises `StorageError`."""
        self._run_unless_failed(lambda: self._write_snapshot(snapshot))

    def _run_unless_failed(self, work: Callable[[], None]) -> None:
        if self.failed:
            raise StorageError(self.failed)
        try:
            work()
        except OSError as error:
            self.failed = f"{self._files}: {error.strerror or error}"
            raise StorageError(self.failed) from error

    def _write(self, hard: HardState | None, entries: tuple[Entry, ...], installed: Snapshot | None) -> None:
        reset = None
        if installed:
            self._write_snapshot(installed)
            reset = frames.Reset(installed.index, installed.term)
            self._last_index = installed.index
        if not (hard or entries or reset):
            return
        if self._segment_size >= self._segment_bytes:
            self._open_segment()
        assert self._handle
        if hard:
            self._hard_state = hard
        data = self._data_frame(hard, entries, reset)
        self._handle.write(data)
        self._handle.sync()
        mark = frames.pack_frame(self._seed, frames.MARK, self._last_frame)
        self._handle.write(mark)  # not synced
        self._segment_size += len(data) + len(mark)
        self.bytes_written += len(data) + len(mark)
        if entries:
            self._last_index = entries[-1].index
            self._highest_index[self._segment_name] = max(
                self._highest_index[self._segment_name], self._last_index
            )

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        """Writes a snapshot; older snapshots and segments are removed only once it is durable."""
        data = pack_snapshot(snapshot)
        write_atomically(self._files, f"snap-{snapshot.index}", data)
        self.bytes_written += len(data)
        for name in self._files.names():
            if name.startswith("snap-") and name[5:].isdigit() and int(name[5:]) < snapshot.index:
                self._files.remove(name)
        for name in sorted(self._highest_index):
            if name == self._segment_name or self._highest_index[name] > snapshot.index:
                break  # removed in order, so that the log never has a gap
            self._files.remove(name)
            del self._highest_index[name]

    def pins(self) -> dict[str, str]:
        """Returns replica -> id of its folder at first contact."""
        if "peers" not in self._files.names():
            return {}
        return msgspec.json.decode(_verified("peers", self._files.read("peers")), type=dict[str, str])

    def pin(self, pins: dict[str, str]) -> None:
        """Replaces all pins, durably."""
        write_atomically(self._files, "peers", _with_checksum(msgspec.json.encode(pins)))

    def close(self) -> None:
        """Closes the newest segment and releases the lock."""
        if self._handle:
            self._handle.close()
            self._handle = None
        self._files.close()
