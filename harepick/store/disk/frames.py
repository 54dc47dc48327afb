"""The binary format of a log segment: frames of records. One fsync makes one frame durable.

    segment = header, then frames
    frame   = magic(2) kind(1) 0(1) length(4) number(8) crc32c(4) payload     crc over all but itself
    record  = kind(1) 0(3) length(4) index(8) term(8) crc32c(4) data          crc over all but itself

Integers are little-endian. Each record has a checksum of its own. The checksums of headers and frames start
from a seed that is particular to the folder, so that stored text can't be made to look like a frame. Frames
are numbered without gaps across all segments. A mark is a frame without payload that is written after the
fsync of a data frame and bears its number: it shows at the start that this frame was durable. The mark itself
is not synced.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import google_crc32c

from harepick.store.disk.files import StorageError
from harepick.store.raft.messages import Entry, EntryKind, HardState

FRAME_MAGIC = b"\xa5H"
FRAME = struct.Struct("<2sBxIQI")
RECORD = struct.Struct("<BxxxIQQI")
HEADER = struct.Struct("<8sIQQI")  # magic, version, sequence number, last index before it, crc32c of these
SEGMENT_MAGIC = b"harepick"
VERSION = 1
DATA, MARK = 1, 2
KINDS = {int(kind): kind for kind in EntryKind}
HARD_STATE = 255  # kind of a record of term and vote; a record of an entry has the entry's kind
RESET = 254  # kind of a record that voids all entries before it: a snapshot replaced them
MAX_PAYLOAD_BYTES = 256 * 1024 * 1024


@dataclass(slots=True)
class Frame:
    """A frame read from a segment; `offset` is its place in the file, in bytes."""

    kind: int
    number: int
    offset: int
    payload: bytes


@dataclass(slots=True)
class Reset:
    """Voids the whole log: a snapshot of this index and term replaced it."""

    index: int
    term: int


def checksum(*parts: bytes, seed: int = 0) -> int:
    """Returns the CRC-32C of the parts, continued from `seed`."""
    for part in parts:
        seed = google_crc32c.extend(seed, part)
    return int(seed)


def pack_header(seed: int, sequence: int, last: int) -> bytes:
    """Encodes the header of segment `sequence`; `last` is the last index of the log before it."""
    header_start = HEADER.pack(SEGMENT_MAGIC, VERSION, sequence, last, 0)[:-4]
    return header_start + checksum(header_start, seed=seed).to_bytes(4, "little")


def read_header(seed: int, name: str, data: bytes, sequence: int) -> int:
    """Checks a segment's header and returns the last index of the log before the segment.

    Raises `StorageError`.
    """
    magic, version, number, last, crc = HEADER.unpack_from(data)
    if magic != SEGMENT_MAGIC or crc != checksum(data[: HEADER.size - 4], seed=seed):
        raise StorageError(f"{name}, offset 0: the header is damaged")
    if version != VERSION:
        raise StorageError(f"{name}: format {version}; this version knows {VERSION}")
    if number != sequence:
        raise StorageError(f"{name}: the header says it is segment {number}")
    return int(last)


def pack_frame(seed: int, kind: int, number: int, payload: bytes = b"") -> bytes:
    """Encodes a frame."""
    header_start = FRAME.pack(FRAME_MAGIC, kind, len(payload), number, 0)[:-4]
    return header_start + checksum(header_start, payload, seed=seed).to_bytes(4, "little") + payload


def valid_frame_at(seed: int, data: bytes, offset: int) -> Frame | None:
    """Returns the frame that starts at `offset`, or None if there is none or it is damaged."""
    if offset + FRAME.size > len(data):
        return None
    magic, kind, length, number, crc = FRAME.unpack_from(data, offset)
    if magic != FRAME_MAGIC or kind not in (DATA, MARK) or length > MAX_PAYLOAD_BYTES:
        return None
    start = offset + FRAME.size
    payload = data[start : start + length]
    if len(payload) != length or checksum(data[offset : start - 4], payload, seed=seed) != crc:
        return None
    return Frame(kind, number, offset, payload)


def next_valid_frame(seed: int, data: bytes, offset: int) -> Frame | None:
    """Returns the first valid frame that starts anywhere after `offset`."""
    while (offset := data.find(FRAME_MAGIC, offset + 1)) >= 0:
        if frame := valid_frame_at(seed, data, offset):
            return frame
    return None


def _pack_record(kind: int, index: int, term: int, data: bytes) -> bytes:
    header_start = RECORD.pack(kind, len(data), index, term, 0)[:-4]
    return header_start + checksum(header_start, data).to_bytes(4, "little") + data


def pack_records(hard: HardState | None, entries: tuple[Entry, ...], reset: Reset | None = None) -> bytes:
    """Encodes the payload of a data frame."""
    records = [] if reset is None else [_pack_record(RESET, reset.index, reset.term, b"")]
    records += [] if hard is None else [_pack_record(HARD_STATE, 0, hard.term, hard.vote.encode())]
    records += [_pack_record(int(entry.kind), entry.index, entry.term, entry.data) for entry in entries]
    return b"".join(records)


def unpack_records(name: str, frame: Frame) -> Iterator[HardState | Entry | Reset]:
    """Yields the records of a frame; raises `StorageError` for a damaged one.

    A start may read 100,000 records, so the loop does as little as possible for each.
    """
    data, offset, extend, size = frame.payload, 0, google_crc32c.extend, RECORD.size
    end = len(data)
    while offset < end:
        start = offset
        if start + size > end:
            raise StorageError(f"{name}, offset {frame.offset + FRAME.size + start}: a record is cut short")
        kind, length, index, term, crc = RECORD.unpack_from(data, start)
        offset = start + size + length
        body = data[start + size : offset]
        if len(body) != length or extend(extend(0, data[start : start + size - 4]), body) != crc:
            raise StorageError(f"{name}, offset {frame.offset + FRAME.size + start}: a record is damaged")
        if (known := KINDS.get(kind)) is not None:
            yield Entry(index, term, known, body)
        elif kind == HARD_STATE:
            yield HardState(term, body.decode())
        elif kind == RESET:
            yield Reset(index, term)
        else:
            position = frame.offset + FRAME.size + start
            raise StorageError(f"{name}, offset {position}: a record of unknown kind {kind}")
