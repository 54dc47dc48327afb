"""The durable log and its snapshots under crashes, torn writes, flipped bits and full disks."""

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
from harepick.store.raft.messages import Entry, EntryKind, HardState, Member, Membership, Snapshot

MEMBERS = Membership((Member("a", "127.0.0.1:1"),))
IDENTITY = Identity("lpo", "a", "f0")


def new_folder(seed: int = 0) -> FaultyFiles:
    files = FaultyFiles(Random(seed))
    create(files, IDENTITY, MEMBERS)
    return files


def make_entries(first: int, last: int, term: int) -> tuple[Entry, ...]:
    return tuple(
        Entry(index, term, EntryKind.COMMAND, b"%d of %d" % (index, term)) for index in range(first, last + 1)
    )


class ExpectedState:
    """What has to be on the disk: the acknowledged writes, or those and the write in progress."""

    def __init__(self) -> None:
        self.hard, self.log, self.snapshot_index = HardState(), [], 0  # type: ignore[var-annotated]
        self.snapshot_term = 0

    def append(self, hard: HardState | None, new: tuple[Entry, ...]) -> None:
        self.hard = hard or self.hard
        if new:
            self.log = [e for e in self.log if e.index < new[0].index] + list(new)

    def copy(self) -> ExpectedState:
        duplicate = ExpectedState()
        duplicate.hard, duplicate.log, duplicate.snapshot_index, duplicate.snapshot_term = (
            self.hard,
            list(self.log),
            self.snapshot_index,
            self.snapshot_term,
        )
        return duplicate


def write_script(storage: Storage, expected: ExpectedState, in_progress: list[ExpectedState]) -> None:
    """Writes entries, a conflict, an own snapshot, new segments, and a leader's snapshot in place of the log.

    `in_progress` holds the states that a crash at this moment may leave besides `expected`.
    """

    def write(hard: HardState | None, new: tuple[Entry, ...]) -> None:
        after = expected.copy()
        after.append(hard, new)
        in_progress[:] = [after]
        storage.write(hard, new, None)
        expected.append(hard, new)
        in_progress.clear()

    write(HardState(1, "a"), make_entries(1, 3, 1))
    write(None, make_entries(4, 9, 1))
    write(HardState(2, ""), ())
    write(None, make_entries(6, 12, 2))  # from a later leader; replaces 6 to 9
    in_progress[:] = [expected.copy()]
    in_progress[0].snapshot_index, in_progress[0].snapshot_term = 8, 2
    storage.save(Snapshot(8, 2, MEMBERS, b"state" * 50))
    expected.snapshot_index, expected.snapshot_term = 8, 2
    in_progress.clear()
    for first in range(13, 30, 3):
        write(None, make_entries(first, first + 2, 2))
    after = expected.copy()
    after.snapshot_index, after.snapshot_term, after.log, after.hard = 40, 3, [], HardState(3, "")
    without_hard_state = after.copy()
    without_hard_state.hard = expected.hard
    in_progress[:] = [after, without_hard_state]
    storage.write(HardState(3, ""), (), Snapshot(40, 3, MEMBERS, b"theirs" * 50))
    expected.snapshot_index, expected.snapshot_term, expected.log, expected.hard = 40, 3, [], HardState(3, "")
    in_progress.clear()
    write(None, make_entries(41, 44, 3))
    write(HardState(4, "b"), make_entries(45, 46, 3))


def check_recovery(files: FaultyFiles, allowed_states: list[ExpectedState]) -> None:
    """Checks that the storage reads one of the allowed states, and that it can go on writing."""
    storage = Storage(files, segment_bytes=300)
    found = storage.open()
    for expected in allowed_states:
        expected_entries = [e for e in expected.log if e.index > expected.snapshot_index]
        if (
            found.hard == expected.hard
            and (found.snapshot.index, found.snapshot.term)
            == (expected.snapshot_index, expected.snapshot_term)
            and found.entries == expected_entries
        ):
            break
    else:
        raise AssertionError(f"{found} is none of the allowed states")
    # Writing continues from that state.
    last = found.entries[-1].index if found.entries else found.snapshot.index
    storage.write(HardState(9, "z"), make_entries(last + 1, last + 2, 9), None)
    storage.close()
    again = Storage(files, segment_bytes=300)
    assert again.open().entries[-1].index == last + 2
    again.close()


def count_operations() -> int:
    """Returns the number of file operations of `write_script`."""
    files = new_folder()
    storage = Storage(files, segment_bytes=300)
    storage.open()
    before = files.operations
    write_script(storage, ExpectedState(), [])
    return files.operations - before


@pytest.mark.parametrize("power_failure", [True, False])
def test_a_crash_at_any_operation_keeps_acknowledged_writes(power_failure: bool) -> None:
    """Guards against losing an acknowledged vote or entry; a power failure also drops unsynced data."""
    for crash_offset in range(1, count_operations() + 1):
        for seed in range(12 if power_failure else 1):
            files = new_folder(seed)
            storage = Storage(files, segment_bytes=300)
            storage.open()
            files.crash_at = files.operations + crash_offset
            expected, in_progress = ExpectedState(), []  # type: ignore[var-annotated]
            with pytest.raises(Crash):
                write_script(storage, expected, in_progress)
            if power_failure:
                files.power_fails()
            else:
                files.process_dies()
            # A crash during the start, followed by a complete start.
            if seed % 3 == 0:
                files.crash_at = files.operations + Random(crash_offset).randint(1, 8)
                with contextlib.suppress(Crash):
                    Storage(files, segment_bytes=300).open()
                files.crash_at = None
                files.power_fails()
            check_recovery(files, [expected, *in_progress])


def test_a_disk_that_ignores_syncs_is_detected() -> None:
    """Shows that `check_recovery` can fail: a sync that does nothing is noticed after a power failure."""
    detected = 0
    for seed in range(40):
        files = new_folder(seed)
        storage = Storage(files, segment_bytes=300)
        storage.open()
        files.ignore_syncs = True
        expected: ExpectedState = ExpectedState()
        write_script(storage, expected, [])
        files.power_fails()
        try:
            check_recovery(files, [expected])
        except (AssertionError, StorageError):
            detected += 1
    assert detected > 20


def test_every_flipped_bit_is_detected() -> None:
    """A flipped bit in acknowledged data followed by its mark must prevent the start and name the file."""
    files = new_folder()
    storage = Storage(files, segment_bytes=10_000)
    storage.open()
    write_script(storage, ExpectedState(), [])
    storage.close()
    clean = {name: file.copy() for name, file in files.present.items()}
    expected = Storage(files).open()
    rng = Random(4)
    for name in ("identity", "snap-40", "log-00000000000000000001"):
        size = len(clean[name].data)
        for bit in rng.sample(range(size * 8), min(300, size * 8)):
            files = new_folder()
            files.present = {file_name: copied.copy() for file_name, copied in clean.items()}
            files.durable = dict(files.present)
            files.locked = False
            files.flip(name, bit)
            try:
                found = Storage(files).open()
            except StorageError as error:
                assert name in str(error)
            else:  # only a mark is damaged, which holds no data
                assert (found.hard, found.snapshot, found.entries) == (
                    expected.hard,
                    expected.snapshot,
                    expected.entries,
                )
                assert found.notes


def test_a_torn_tail_is_cut_off_and_earlier_damage_is_reported_with_its_offset() -> None:
    files = new_folder()
    storage = Storage(files)
    storage.open()
    storage.write(HardState(1, ""), make_entries(1, 3, 1), None)
    first_size = len(files.read("log-00000000000000000001"))
    storage.write(None, make_entries(4, 6, 1), None)
    storage.close()
    name = "log-00000000000000000001"
    complete = files.present[name].data
    files.present[name].durable, files.present[name].pending = complete[: first_size + 30], []
    found = Storage(files).open()
    assert [entry.index for entry in found.entries] == [1, 2, 3]
    assert f"{name}: cut at offset {first_size}" in found.notes[0]
    files = new_folder()
    files.append(name)
    files.sync_folder()
    files.present[name].durable = complete
    files.flip(name, (first_size - frames.FRAME.size - 10) * 8)
    with pytest.raises(StorageError, match=rf"{name}, offset \d+: .*durable; frame \d+ after it is sound"):
        Storage(files).open()


def test_a_missing_segment_prevents_the_start() -> None:
    files = new_folder()
    storage = Storage(files, segment_bytes=200)
    storage.open()
    for n in range(1, 40, 2):
        storage.write(HardState(1, ""), make_entries(n, n + 1, 1), None)
    storage.close()
    segments = [n for n in files.names() if n.startswith("log-")]
    assert len(segments) > 4
    for missing in segments[:-1]:
        broken = new_folder()
        broken.present = {n: file.copy() for n, file in files.present.items() if n != missing}
        broken.durable = dict(broken.present)
        with pytest.raises(StorageError, match=r"missing|no segment"):
            Storage(broken).open()


@pytest.mark.parametrize("fault", ["full", "sync"])
def test_nothing_is_written_after_a_failed_write(fault: str) -> None:
    files = new_folder()
    storage = Storage(files)
    storage.open()
    storage.write(HardState(1, ""), make_entries(1, 3, 1), None)
    if fault == "full":
        files.capacity = files.size() + 10
    else:
        files.fail_syncs = True
    with pytest.raises(StorageError):
        storage.write(None, make_entries(4, 6, 1), None)
    files.capacity, files.fail_syncs = None, False  # the disk works again, but its contents are unknown
    before = files.operations
    with pytest.raises(StorageError):
        storage.write(None, make_entries(4, 6, 1), None)
    assert files.operations == before
    storage.close()
    files.power_fails()
    assert [entry.index for entry in Storage(files).open().entries][:3] == [1, 2, 3]


def test_stored_text_cannot_forge_a_frame() -> None:
    """The author of a stored configuration does not know the seed of the folder's checksums."""
    forged = frames.pack_frame(0, frames.DATA, 99, b"")
    files = new_folder()
    storage = Storage(files)
    storage.open()
    storage.write(None, (Entry(1, 1, EntryKind.COMMAND, forged * 3),), None)
    assert not frames.next_valid_frame(frames.checksum(b"f0"), forged, -1)
    storage.close()


def test_a_folder_belongs_to_one_process_and_one_replica(tmp_path: Path) -> None:
    files = OsFiles(str(tmp_path / "a"))
    files.folder.mkdir()
    create(files, IDENTITY, MEMBERS)
    storage = Storage(files)
    storage.open()
    storage.write(HardState(1, "a"), make_entries(1, 3, 1), None)
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
