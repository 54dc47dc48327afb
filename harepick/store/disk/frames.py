"""The bytes of a segment: frames, each what one fsync covers, of records with a checksum of their own.

    segment = header, then frames
    frame   = magic(2) kind(1) 0(1) length(4) number(8) crc32c(4) payload     crc over all but itself
    record  = kind(1) 0(3) length(4) index(8) term(8) crc32c(4) data          crc over all but itself

The checksums of headers and frames start from the folder's own seed, so that nobody who has text stored can
make it look like a frame. Frames are numbered without a gap over all segments. A mark is a frame without
payload, written after the fsync of the frame whose number it bears, and never waited for. Little-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import google_crc32c

from harepick.store.disk.files import StorageError
from harepick.store.raft.messages import Entry, HardState, Kind

MAGIC = b"\xa5H"
FRAME = struct.Struct("<2sBxIQI")
RECORD = struct.Struct("<BxxxIQQI")
HEADER = struct.Struct("<8sIQQI")  # magic, version, sequence number, last index before it, crc32c of these
SEGMENT = b"harepick"
VERSION = 1
DATA, MARK = 1, 2
KINDS = {int(kind): kind for kind in Kind}
HARD = 255  # a record of term and vote; entries' records bear their kind
RESET = 254  # all entries before it are void: a snapshot of this index and term took their place
MOST = 256 * 1024 * 1024  # bytes of one frame


@dataclass(slots=True)
class Frame:
    kind: int
    number: int
    offset: int
    payload: bytes


@dataclass(slots=True)
class Reset:
    index: int
    term: int


def checksum(*parts: bytes, seed: int = 0) -> int:
    for part in parts:
        seed = google_crc32c.extend(seed, part)
    return int(seed)


def header(seed: int, sequence: int, last: int) -> bytes:
    head = HEADER.pack(SEGMENT, VERSION, sequence, last, 0)[:-4]
    return head + checksum(head, seed=seed).to_bytes(4, "little")


def read_header(seed: int, name: str, data: bytes, sequence: int) -> int:
    """The last index of the log when the segment was begun."""
    magic, version, number, last, crc = HEADER.unpack_from(data)
    if magic != SEGMENT or crc != checksum(data[: HEADER.size - 4], seed=seed):
        raise StorageError(f"{name}, offset 0: the header is damaged")
    if version != VERSION:
        raise StorageError(f"{name}: format {version}; this version knows {VERSION}")
    if number != sequence:
        raise StorageError(f"{name}: the header says it is segment {number}")
    return int(last)


def frame(seed: int, kind: int, number: int, payload: bytes = b"") -> bytes:
    head = FRAME.pack(MAGIC, kind, len(payload), number, 0)[:-4]
    return head + checksum(head, payload, seed=seed).to_bytes(4, "little") + payload


def frame_at(seed: int, data: bytes, offset: int) -> Frame | None:
    """The sound frame that starts there, if one does."""
    if offset + FRAME.size > len(data):
        return None
    magic, kind, length, number, crc = FRAME.unpack_from(data, offset)
    if magic != MAGIC or kind not in (DATA, MARK) or length > MOST:
        return None
    start = offset + FRAME.size
    payload = data[start : start + length]
    if len(payload) != length or checksum(data[offset : start - 4], payload, seed=seed) != crc:
        return None
    return Frame(kind, number, offset, payload)


def sound_after(seed: int, data: bytes, offset: int) -> Frame | None:
    """The first sound frame that starts anywhere behind `offset`."""
    while (offset := data.find(MAGIC, offset + 1)) >= 0:
        if found := frame_at(seed, data, offset):
            return found
    return None


def _record(kind: int, index: int, term: int, data: bytes) -> bytes:
    head = RECORD.pack(kind, len(data), index, term, 0)[:-4]
    return head + checksum(head, data).to_bytes(4, "little") + data


def pack(hard: HardState | None, entries: tuple[Entry, ...], reset: Reset | None = None) -> bytes:
    parts = [] if reset is None else [_record(RESET, reset.index, reset.term, b"")]
    parts += [] if hard is None else [_record(HARD, 0, hard.term, hard.vote.encode())]
    parts += [_record(int(e.kind), e.index, e.term, e.data) for e in entries]
    return b"".join(parts)


def unpack(name: str, found: Frame) -> Iterator[HardState | Entry | Reset]:
    """The records of a frame. A start reads a hundred thousand of them: little is done for each."""
    data, offset, extend, size = found.payload, 0, google_crc32c.extend, RECORD.size
    end = len(data)
    while offset < end:
        at = offset
        if at + size > end:
            raise StorageError(f"{name}, offset {found.offset + FRAME.size + at}: a record is cut short")
        kind, length, index, term, crc = RECORD.unpack_from(data, at)
        offset = at + size + length
        body = data[at + size : offset]
        if len(body) != length or extend(extend(0, data[at : at + size - 4]), body) != crc:
            raise StorageError(f"{name}, offset {found.offset + FRAME.size + at}: a record is damaged")
        if (known := KINDS.get(kind)) is not None:
            yield Entry(index, term, known, body)
        elif kind == HARD:
            yield HardState(term, body.decode())
        elif kind == RESET:
            yield Reset(index, term)
        else:
            where = found.offset + FRAME.size + at
            raise StorageError(f"{name}, offset {where}: a record of unknown kind {kind}")
