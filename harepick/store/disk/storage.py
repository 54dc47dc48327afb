"""One replica's folder: what it has promised, and survives a crash at any point.

Owns segments (`log-N`), snapshots (`snap-INDEX`), the identity, the pins of other replicas, and the lock.
What is read back at the start was durable; a torn tail is cut and told; anything else that is damaged
refuses the start. After one failed write or fsync nothing more is written: what the disk holds is then
unknown.
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
SNAP_MAGIC = b"hpsnap1\n"
SNAP_HEAD = struct.Struct(
    "<8sIIQ"
)  # magic, crc32c of the rest, length of the meta, length of the packed data
LEVEL = 3  # of zstd
MAX_STATE = 1 << 30


class Identity(Struct, frozen=True):
    """Whose folder this is; written once."""

    cluster: str
    replica: str
    folder: str  # drawn when the folder was made: a wiped one has another
    format: int = FORMAT


class _Meta(Struct, frozen=True):
    index: int
    term: int
    membership: Membership


@dataclass
class Recovered:
    """What a start finds."""

    identity: Identity
    hard: HardState
    snapshot: Snapshot
    entries: list[Entry]
    notes: list[str] = field(default_factory=list)  # what was cut off, for the log


def _sealed(data: bytes) -> bytes:
    return frames.checksum(data).to_bytes(4, "little") + data


def _unsealed(name: str, data: bytes) -> bytes:
    if len(data) < 4 or frames.checksum(data[4:]).to_bytes(4, "little") != data[:4]:
        raise StorageError(f"{name}, offset 0: the file is damaged")
    return data[4:]


def write_aside(files: Files, name: str, data: bytes) -> None:
    """The whole file or none of it, durable on return."""
    aside = f"{name}.new"
    if aside in files.names():
        files.remove(aside)
    handle = files.append(aside)
    try:
        handle.write(data)
        handle.sync()
    finally:
        handle.close()
    files.rename(aside, name)
    files.sync_folder()


def snapshot_bytes(snapshot: Snapshot) -> bytes:
    meta = msgspec.msgpack.encode(_Meta(snapshot.index, snapshot.term, snapshot.membership))
    packed = zstandard.ZstdCompressor(level=LEVEL).compress(snapshot.data)
    sizes = struct.pack("<IQ", len(meta), len(packed))
    crc = frames.checksum(sizes, meta, packed)
    return SNAP_HEAD.pack(SNAP_MAGIC, crc, len(meta), len(packed)) + meta + packed


def read_snapshot(name: str, data: bytes) -> Snapshot:
    if len(data) < SNAP_HEAD.size:
        raise StorageError(f"{name}, offset {len(data)}: the snapshot is cut short")
    magic, crc, meta_length, length = SNAP_HEAD.unpack_from(data)
    if magic != SNAP_MAGIC:
        raise StorageError(f"{name}, offset 0: no snapshot of this format")
    meta = data[SNAP_HEAD.size : SNAP_HEAD.size + meta_length]
    packed = data[SNAP_HEAD.size + meta_length :]
    sizes = struct.pack("<IQ", meta_length, length)
    if len(packed) != length or frames.checksum(sizes, meta, packed) != crc:
        raise StorageError(f"{name}, offset {SNAP_HEAD.size}: the snapshot is damaged")
    told = msgspec.msgpack.decode(meta, type=_Meta)
    state = zstandard.ZstdDecompressor().decompress(packed, max_output_size=MAX_STATE)
    return Snapshot(told.index, told.term, told.membership, state)


def create(files: Files, identity: Identity, membership: Membership) -> None:
    """A new folder; the first members are the snapshot at index 0. Refuses one that is in use."""
    used = [n for n in files.names() if n not in ("lock",) and not n.endswith(".new")]
    if "identity" in used:
        raise StorageError(f"folder {files} has a replica already")
    for name in used:
        if name != "snap-0" and name != "peers":  # left by a create that was cut off
            raise StorageError(f"folder {files} is not empty: {name}")
    write_aside(files, "snap-0", snapshot_bytes(Snapshot(0, 0, membership, b"")))
    write_aside(files, "identity", _sealed(msgspec.json.encode(identity)))  # last: with it the folder counts


def read_identity(files: Files) -> Identity | None:
    if "identity" not in files.names():
        return None
    identity = msgspec.json.decode(_unsealed("identity", files.read("identity")), type=Identity)
    if identity.format != FORMAT:
        raise StorageError(f"folder {files} has format {identity.format}; this version knows {FORMAT}")
    return identity


class Storage:
    """The open folder. Methods block, and are called by one thread at a time."""

    def __init__(self, files: Files, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._files = files
        self._segment_bytes = segment_bytes
        self._handle: Handle | None = None
        self._name = ""
        self._size = 0
        self._sequence = 0
        self._frame = 0  # number of the last frame written
        self._last = 0  # index of the last entry that stands
        self._seed = 0
        self._looks = False
        self._hard = HardState()
        self._lasts: dict[str, int] = {}  # segment -> highest index in it
        self.failed = ""  # why nothing is written any more
        self.bytes_written = 0

    # The start

    def open(self, *, write: bool = True) -> Recovered:
        """Locks the folder and reads it; raises `StorageError` naming file and offset.

        Without `write`, only looks: what would be cut off is told, and stays."""
        self._files.lock()
        self._looks = not write
        identity = read_identity(self._files)
        if identity is None:
            raise StorageError(f"folder {self._files} has no replica: make one with 'harepick store init'")
        names = self._files.names()
        for name in names:
            if name.endswith(".new") and write:
                self._files.remove(name)  # cut off before its rename: nothing counted on it
        snapshot = self._read_snapshots(names)
        found = Recovered(identity, HardState(), snapshot, [])
        self._seed = frames.checksum(identity.folder.encode())
        reset = self._read_segments(names, found)
        self._hard = found.hard
        if not write:
            return found
        self._last = max(snapshot.index, found.entries[-1].index if found.entries else 0)
        try:
            self._settle()
            self._open_segment(reset)
        except OSError as error:
            raise StorageError(f"{self._name}: {error.strerror or error}") from None
        return found

    def _settle(self) -> None:
        """What was read counts from now on, but a killed process may have left it unsynced."""
        if self._lasts:
            newest = self._files.append(max(self._lasts))
            newest.sync()
            newest.close()
        self._files.sync_folder()

    def _read_snapshots(self, names: list[str]) -> Snapshot:
        indices = sorted(int(n[5:]) for n in names if n.startswith("snap-") and n[5:].isdigit())
        if not indices:
            raise StorageError(f"folder {self._files}: there is no snapshot")
        name = f"snap-{indices[-1]}"
        snapshot = read_snapshot(name, self._files.read(name))
        if snapshot.index != indices[-1]:
            raise StorageError(f"{name}: the snapshot is of index {snapshot.index}")
        for index in indices[:-1] if not self._looks else ():
            self._files.remove(f"snap-{index}")
        return snapshot

    def _read_segments(self, names: list[str], found: Recovered) -> frames.Reset | None:
        """Fills `found`; a reset that a crash kept from the log, and is to be written now."""
        numbers = sorted(int(n[4:]) for n in names if n.startswith("log-") and n[4:].isdigit())
        for before, after in itertools.pairwise(numbers):
            if after != before + 1:
                raise StorageError(f"log-{before + 1:020}: the segment is missing")
        entries: list[Entry] = []
        base = found.snapshot.index
        for number in numbers:
            name = f"log-{number:020}"
            self._lasts[name] = self._read_segment(name, number, number == numbers[-1], found, entries, base)
            if self._lasts[name] >= 0:
                self._sequence = number
        if entries and entries[0].index > base + 1:
            raise StorageError(f"{self._files}: entries {base + 1} to {entries[0].index - 1} are missing")
        if found.hard.term < max([e.term for e in entries], default=0):
            raise StorageError(f"{self._files}: there are entries of a later term than the log tells")
        at_base = next((e for e in entries if e.index == base), None)
        if entries and (entries[-1].index < base or (at_base and at_base.term != found.snapshot.term)):
            # The snapshot was installed, and the crash came before the log was told.
            found.notes.append(f"entries from {base + 1} on are void: a snapshot took their place")
            return frames.Reset(base, found.snapshot.term)
        found.entries = [e for e in entries if e.index > base]
        return None

    def _read_segment(
        self, name: str, number: int, newest: bool, found: Recovered, entries: list[Entry], base: int
    ) -> int:
        """The highest index in it; -1 for one that was never finished, and is begun again."""
        data = self._files.read(name)
        seed = self._seed
        try:
            if len(data) < frames.HEADER.size:
                raise StorageError(f"{name}, offset {len(data)}: the segment is cut short")
            last = frames.read_header(seed, name, data, number)
        except StorageError:
            if not newest or frames.sound_after(seed, data, 0):
                raise
            found.notes.append(f"{name}: cut at offset 0, a header that was never finished")
            self._truncate(name, 0)
            return -1
        if not entries and last > base and not self._frame:
            raise StorageError(f"{name}: entries {base + 1} to {last} are in no segment before it")
        offset, highest = frames.HEADER.size, 0
        while offset < len(data):
            sound = frames.frame_at(seed, data, offset)
            if sound is None:
                sound = self._past_damage(name, data, offset, newest, found)
                if sound is None:
                    break
            offset = sound.offset + frames.FRAME.size + len(sound.payload)
            if sound.kind == frames.MARK:
                if sound.number != self._frame:
                    raise StorageError(
                        f"{name}, offset {sound.offset}: frame {sound.number} was written and is not there"
                    )
                continue
            if self._frame and sound.number != self._frame + 1:
                raise StorageError(
                    f"{name}, offset {sound.offset}: frame {sound.number} follows {self._frame}"
                )
            self._frame = sound.number
            for record in frames.unpack(name, sound):
                if isinstance(record, HardState):
                    found.hard = record
                elif isinstance(record, frames.Reset):
                    entries.clear()
                else:
                    self._take(name, sound.offset, record, entries)
                    highest = max(highest, record.index)
        return highest

    @staticmethod
    def _take(name: str, offset: int, entry: Entry, entries: list[Entry]) -> None:
        while entries and entries[-1].index >= entry.index:
            entries.pop()  # a later leader's entry in its place
        if entries and entries[-1].index + 1 != entry.index:
            raise StorageError(f"{name}, offset {offset}: entry {entry.index} follows {entries[-1].index}")
        entries.append(entry)

    def _past_damage(
        self, name: str, data: bytes, offset: int, newest: bool, found: Recovered
    ) -> frames.Frame | None:
        """Cuts a torn tail, and gives None; raises if what is bad was durable once.

        A frame is written only once the one before is durable. So a bad one with a later one behind it was
        durable; but if the very next number follows, then all that is bad is a mark, which holds nothing."""
        later = frames.sound_after(self._seed, data, offset)
        if later and later.kind == frames.DATA and later.number == self._frame + 1:
            found.notes.append(f"{name}: passed over a damaged mark at offset {offset}")
            return later
        if later or not newest:
            shown = f"; frame {later.number} after it is sound" if later else ""
            raise StorageError(f"{name}, offset {offset}: a frame is damaged that was durable{shown}")
        found.notes.append(
            f"{name}: cut at offset {offset}, {len(data) - offset} bytes that were never acknowledged"
        )
        self._truncate(name, offset)
        return None

    def _truncate(self, name: str, size: int) -> None:
        if not self._looks:
            self._files.truncate(name, size)

    # Writing

    def _open_segment(self, reset: frames.Reset | None = None) -> None:
        """A new segment: it repeats term and vote, so that older ones can go."""
        if self._handle:
            self._handle.sync()  # its last mark: a segment that is not the newest has no torn tail
            self._handle.close()
            self._handle = None
        self._sequence += 1
        self._name = f"log-{self._sequence:020}"
        self._handle = self._files.append(self._name)
        self._lasts[self._name] = 0
        data = frames.header(self._seed, self._sequence, self._last) + self._framed(self._hard, (), reset)
        self._handle.write(data)
        self._handle.sync()
        self._files.sync_folder()
        self._size = len(data)

    def _framed(
        self, hard: HardState | None, entries: tuple[Entry, ...], reset: frames.Reset | None
    ) -> bytes:
        self._frame += 1
        return frames.frame(self._seed, frames.DATA, self._frame, frames.pack(hard, entries, reset))

    def write(self, hard: HardState | None, entries: tuple[Entry, ...], installed: Snapshot | None) -> None:
        """All of it is durable on return; `installed` is a snapshot that takes the place of the whole log.

        After an `OSError` the storage takes nothing any more: what a failed fsync left on the disk is
        unknown."""
        self._guarded(lambda: self._write(hard, entries, installed))

    def save(self, snapshot: Snapshot) -> None:
        """A snapshot of the own state; what it covers may go from the log."""
        self._guarded(lambda: self._write_snapshot(snapshot))

    def _guarded(self, work: Callable[[], None]) -> None:
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
            self._last = installed.index
        if not (hard or entries or reset):
            return
        if self._size >= self._segment_bytes:
            self._open_segment()
        assert self._handle
        if hard:
            self._hard = hard
        data = self._framed(hard, entries, reset)
        self._handle.write(data)
        self._handle.sync()
        mark = frames.frame(self._seed, frames.MARK, self._frame)
        self._handle.write(mark)  # not waited for
        self._size += len(data) + len(mark)
        self.bytes_written += len(data) + len(mark)
        if entries:
            self._last = entries[-1].index
            self._lasts[self._name] = max(self._lasts[self._name], self._last)

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        """Older snapshots and segments go only once the new one is durable."""
        data = snapshot_bytes(snapshot)
        write_aside(self._files, f"snap-{snapshot.index}", data)
        self.bytes_written += len(data)
        for name in self._files.names():
            if name.startswith("snap-") and name[5:].isdigit() and int(name[5:]) < snapshot.index:
                self._files.remove(name)
        for name in sorted(self._lasts):
            if name == self._name or self._lasts[name] > snapshot.index:
                break  # in order: the log must not get a hole
            self._files.remove(name)
            del self._lasts[name]

    def pins(self) -> dict[str, str]:
        """Replica -> id of its folder, as first met."""
        if "peers" not in self._files.names():
            return {}
        return msgspec.json.decode(_unsealed("peers", self._files.read("peers")), type=dict[str, str])

    def pin(self, pins: dict[str, str]) -> None:
        write_aside(self._files, "peers", _sealed(msgspec.json.encode(pins)))

    def close(self) -> None:
        if self._handle:
            self._handle.close()
            self._handle = None
        self._files.close()
