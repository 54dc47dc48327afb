"""The durable log and its snapshots under crashes at every operation, torn writes, flipped bits and full
disks."""

from __future__ import annotations

import contextlib
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest

from benchmarks.faultyfiles import Crash, FaultyFiles
from harepick.store.disk import frames
from harepick.store.disk.files import LockedError, OsFiles, StorageError
from harepick.store.disk.storage import Identity, Storage, create
from harepick.store.raft.messages import Entry, HardState, Kind, Member, Membership, Snapshot

MEMBERS = Membership((Member("a", "127.0.0.1:1"),))
IDENTITY = Identity("lpo", "a", "f0")


def folder(seed: int = 0) -> FaultyFiles:
    files = FaultyFiles(Random(seed))
    create(files, IDENTITY, MEMBERS)
    return files


def entries(first: int, last: int, term: int) -> tuple[Entry, ...]:
    return tuple(Entry(n, term, Kind.COMMAND, b"%d of %d" % (n, term)) for n in range(first, last + 1))


class Promised:
    """What a run of writes was told is durable, and what was under way."""

    def __init__(self) -> None:
        self.hard, self.log, self.base = HardState(), [], 0  # type: ignore[var-annotated]
        self.base_term = 0

    def take(self, hard: HardState | None, new: tuple[Entry, ...]) -> None:
        self.hard = hard or self.hard
        if new:
            self.log = [e for e in self.log if e.index < new[0].index] + list(new)

    def copy(self) -> Promised:
        other = Promised()
        other.hard, other.log, other.base, other.base_term = (
            self.hard,
            list(self.log),
            self.base,
            self.base_term,
        )
        return other


def script(storage: Storage, promised: Promised, under_way: list[Promised]) -> None:
    """Appends, a conflict, own snapshots, new segments, and a snapshot of a leader's in place of the log."""

    def write(hard: HardState | None, new: tuple[Entry, ...]) -> None:
        after = promised.copy()
        after.take(hard, new)
        under_way[:] = [after]
        storage.write(hard, new, None)
        promised.take(hard, new)
        under_way.clear()

    write(HardState(1, "a"), entries(1, 3, 1))
    write(None, entries(4, 9, 1))
    write(HardState(2, ""), ())
    write(None, entries(6, 12, 2))  # a later leader's, in place of 6 to 9
    under_way[:] = [promised.copy()]
    under_way[0].base, under_way[0].base_term = 8, 2
    storage.save(Snapshot(8, 2, MEMBERS, b"state" * 50))
    promised.base, promised.base_term = 8, 2
    under_way.clear()
    for n in range(13, 30, 3):
        write(None, entries(n, n + 2, 2))
    after = promised.copy()
    after.base, after.base_term, after.log, after.hard = 40, 3, [], HardState(3, "")
    half = after.copy()
    half.hard = promised.hard
    under_way[:] = [after, half]
    storage.write(HardState(3, ""), (), Snapshot(40, 3, MEMBERS, b"theirs" * 50))
    promised.base, promised.base_term, promised.log, promised.hard = 40, 3, [], HardState(3, "")
    under_way.clear()
    write(None, entries(41, 44, 3))
    write(HardState(4, "b"), entries(45, 46, 3))


def check(files: FaultyFiles, candidates: list[Promised]) -> None:
    storage = Storage(files, segment_bytes=300)
    found = storage.open()
    for promised in candidates:
        want = [e for e in promised.log if e.index > promised.base]
        if (
            found.hard == promised.hard
            and (found.snapshot.index, found.snapshot.term) == (promised.base, promised.base_term)
            and found.entries == want
        ):
            break
    else:
        raise AssertionError(f"{found} is none of what was promised")
    # And it goes on from there.
    last = found.entries[-1].index if found.entries else found.snapshot.index
    storage.write(HardState(9, "z"), entries(last + 1, last + 2, 9), None)
    storage.close()
    again = Storage(files, segment_bytes=300)
    assert again.open().entries[-1].index == last + 2
    again.close()


def operations() -> int:
    files = folder()
    storage = Storage(files, segment_bytes=300)
    storage.open()
    before = files.operations
    script(storage, Promised(), [])
    return files.operations - before


@pytest.mark.parametrize("power", [True, False])
def test_a_crash_at_every_operation_keeps_what_was_promised(power: bool) -> None:
    for at in range(1, operations() + 1):
        for seed in range(12 if power else 1):
            files = folder(seed)
            storage = Storage(files, segment_bytes=300)
            storage.open()
            files.crash_at = files.operations + at
            promised, under_way = Promised(), []  # type: ignore[var-annotated]
            with pytest.raises(Crash):
                script(storage, promised, under_way)
            if power:
                files.power_fails()
            else:
                files.process_dies()
            # A crash in the start itself, and then a whole one.
            if seed % 3 == 0:
                files.crash_at = files.operations + Random(at).randint(1, 8)
                with contextlib.suppress(Crash):
                    Storage(files, segment_bytes=300).open()
                files.crash_at = None
                files.power_fails()
            check(files, [promised, *under_way])


def test_a_disk_that_lies_about_syncing_is_found_by_these_checks() -> None:
    found = 0
    for seed in range(40):
        files = folder(seed)
        storage = Storage(files, segment_bytes=300)
        storage.open()
        files.lying_sync = True
        promised: Promised = Promised()
        script(storage, promised, [])
        files.power_fails()
        try:
            check(files, [promised])
        except (AssertionError, StorageError):
            found += 1
    assert found > 20


def test_every_flipped_bit_is_noticed() -> None:
    """In what was acknowledged, and with the mark behind it there: the start is refused, naming the file."""
    files = folder()
    storage = Storage(files, segment_bytes=10_000)
    storage.open()
    script(storage, Promised(), [])
    storage.close()
    clean = {name: file.copy() for name, file in files.present.items()}
    want = Storage(files).open()
    rng = Random(4)
    for name in ("identity", "snap-40", "log-00000000000000000001"):
        size = len(clean[name].data)
        for bit in rng.sample(range(size * 8), min(300, size * 8)):
            files = folder()
            files.present = {n: f.copy() for n, f in clean.items()}
            files.durable = dict(files.present)
            files.locked = False
            files.flip(name, bit)
            try:
                found = Storage(files).open()
            except StorageError as error:
                assert name in str(error)
            else:  # a mark alone may be damaged: it holds nothing
                assert (found.hard, found.snapshot, found.entries) == (want.hard, want.snapshot, want.entries)
                assert found.notes


def test_a_torn_tail_is_cut_and_told_and_damage_before_it_names_its_offset() -> None:
    files = folder()
    storage = Storage(files)
    storage.open()
    storage.write(HardState(1, ""), entries(1, 3, 1), None)
    first = len(files.read("log-00000000000000000001"))
    storage.write(None, entries(4, 6, 1), None)
    storage.close()
    name = "log-00000000000000000001"
    whole = files.present[name].data
    files.present[name].durable, files.present[name].pending = whole[: first + 30], []
    found = Storage(files).open()
    assert [e.index for e in found.entries] == [1, 2, 3]
    assert f"{name}: cut at offset {first}" in found.notes[0]
    files = folder()
    files.append(name)
    files.sync_folder()
    files.present[name].durable = whole
    files.flip(name, (first - frames.FRAME.size - 10) * 8)
    with pytest.raises(StorageError, match=rf"{name}, offset \d+: .*durable; frame \d+ after it is sound"):
        Storage(files).open()


def test_a_missing_segment_refuses_the_start() -> None:
    files = folder()
    storage = Storage(files, segment_bytes=200)
    storage.open()
    for n in range(1, 40, 2):
        storage.write(HardState(1, ""), entries(n, n + 1, 1), None)
    storage.close()
    names = [n for n in files.names() if n.startswith("log-")]
    assert len(names) > 4
    for gone in names[:-1]:
        broken = folder()
        broken.present = {n: f.copy() for n, f in files.present.items() if n != gone}
        broken.durable = dict(broken.present)
        with pytest.raises(StorageError, match=r"missing|no segment"):
            Storage(broken).open()


@pytest.mark.parametrize("fault", ["full", "sync"])
def test_after_a_failed_write_nothing_more_is_written(fault: str) -> None:
    files = folder()
    storage = Storage(files)
    storage.open()
    storage.write(HardState(1, ""), entries(1, 3, 1), None)
    if fault == "full":
        files.room = files.size() + 10
    else:
        files.fail_syncs = True
    with pytest.raises(StorageError):
        storage.write(None, entries(4, 6, 1), None)
    files.room, files.fail_syncs = None, False  # the disk is well again: what it kept is still unknown
    before = files.operations
    with pytest.raises(StorageError):
        storage.write(None, entries(4, 6, 1), None)
    assert files.operations == before
    storage.close()
    files.power_fails()
    assert [e.index for e in Storage(files).open().entries][:3] == [1, 2, 3]


def test_text_that_looks_like_a_frame_is_none() -> None:
    """Whoever has a configuration stored does not know the folder's seed."""
    fake = frames.frame(0, frames.DATA, 99, b"")
    files = folder()
    storage = Storage(files)
    storage.open()
    storage.write(None, (Entry(1, 1, Kind.COMMAND, fake * 3),), None)
    assert not frames.sound_after(frames.checksum(b"f0"), fake, -1)
    storage.close()


def test_a_folder_is_for_one_process_and_one_replica(tmp_path: Path) -> None:
    files = OsFiles(str(tmp_path / "a"))
    files.folder.mkdir()
    create(files, IDENTITY, MEMBERS)
    storage = Storage(files)
    storage.open()
    storage.write(HardState(1, "a"), entries(1, 3, 1), None)
    with pytest.raises(LockedError):
        Storage(OsFiles(str(tmp_path / "a"))).open()
    code = "import sys; from harepick.store.disk.files import *; OsFiles(sys.argv[1]).lock()"
    other = subprocess.run([sys.executable, "-c", code, str(tmp_path / "a")], capture_output=True, text=True)
    assert other.returncode and "in use by another process" in other.stderr
    with pytest.raises(StorageError, match="already"):
        create(files, IDENTITY, MEMBERS)
    storage.close()
    with pytest.raises(StorageError, match="store init"):
        Storage(OsFiles(str(tmp_path / "b"))).open()
    again = Storage(OsFiles(str(tmp_path / "a")))
    assert len(again.open().entries) == 3
    again.pin({"b": "f1"})
    assert again.pins() == {"b": "f1"}
    again.close()
