"""Record files after a crash, a damaged disk or a failed sync, and the identity file."""

from __future__ import annotations

import random
from pathlib import Path

import anyio
import pytest
from control_network import Disk, run

from apricotpoint._control.identity import initialise, record_start
from apricotpoint._control.records import RecordFile
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError


async def write_records(disk: Disk, count: int) -> None:
    file = RecordFile(disk.storage(), "log")
    await file.open()
    for number in range(count):
        file.append(b"payload %d" % number)
        await file.sync()
    file.close()


async def read_records(disk: Disk) -> list[bytes]:
    file = RecordFile(disk.storage(), "log")
    try:
        return await file.open()
    finally:
        file.close()


@pytest.mark.parametrize("name", ["log", "claims"])
@pytest.mark.parametrize("content", [None, b"", b"\0" * 100])
def test_emptied_file_is_not_taken_for_a_new_one(tmp_path: Path, name: str, content: bytes | None):
    """Guards against a second vote or a second claim after a file has lost its content.

    An emptied file looks like a new one, so a process could start without the
    votes and claims that it has acknowledged.
    """

    async def test() -> None:
        storage = Disk(tmp_path).storage()
        generator = random.Random(1)
        await initialise(storage, node_id="a", first=True, initialised_at=0.0, random=generator)
        await record_start(storage, node_id="a", random=generator)
        path = tmp_path / name
        path.unlink()
        if content is not None:
            path.write_bytes(content)
        with pytest.raises(ApricotError, match="lost its content") as caught:
            await record_start(storage, node_id="a", random=generator)
        assert caught.value.code == ResultCode.LOG_TORN

    run(test)


def test_concurrent_writers_share_one_sync(tmp_path: Path):
    """Guards against one sync for each writer, which would limit the rate of claims."""

    async def test() -> None:
        syncs = 0

        async def count(_: int) -> None:
            nonlocal syncs
            syncs += 1
            await anyio.sleep(0.005)

        storage = Disk(tmp_path).storage()
        storage._sync = count
        file = RecordFile(storage, "log")
        await file.open()
        syncs = 0
        async with anyio.create_task_group() as group:
            for _ in range(100):
                group.start_soon(file.sync, file.append(b"x"))
        assert syncs <= 2
        file.close()

    run(test)


def test_torn_last_record_is_truncated_at_every_length(tmp_path: Path):
    """Guards against lost records after a crash in a write.

    A crash may leave any part of the last record; the earlier ones must stay.
    """

    async def test() -> None:
        disk = Disk(tmp_path)
        await write_records(disk, 3)
        whole = (tmp_path / "log").read_bytes()
        record_bytes = len(whole) // 3
        for length in range(2 * record_bytes, len(whole)):
            (tmp_path / "log").write_bytes(whole[:length])
            assert await read_records(disk) == [b"payload 0", b"payload 1"]
            assert (tmp_path / "log").stat().st_size == 2 * record_bytes

    run(test)


def test_every_flipped_bit_before_the_last_record_is_found(tmp_path: Path):
    """Guards against a damaged synced record that is taken for a torn write.

    Truncating the file there would lose the acknowledged records after it.
    """

    async def test() -> None:
        disk = Disk(tmp_path)
        await write_records(disk, 3)
        whole = (tmp_path / "log").read_bytes()
        for position in range(2 * len(whole) // 3):
            damaged = bytearray(whole)
            damaged[position] ^= 1 << (position % 8)
            (tmp_path / "log").write_bytes(damaged)
            with pytest.raises(ApricotError) as caught:
                await read_records(disk)
            assert caught.value.code == ResultCode.LOG_CHECKSUM

    run(test)


def test_missing_record_is_found(tmp_path: Path):
    """Guards against a file that lacks a record between two valid ones."""

    async def test() -> None:
        disk = Disk(tmp_path)
        await write_records(disk, 3)
        whole = (tmp_path / "log").read_bytes()
        record_bytes = len(whole) // 3
        (tmp_path / "log").write_bytes(whole[:record_bytes] + whole[2 * record_bytes :])
        with pytest.raises(ApricotError) as caught:
            await read_records(disk)
        assert caught.value.code == ResultCode.LOG_TORN

    run(test)


def test_no_use_after_a_failed_sync(tmp_path: Path):
    """Guards against data that is acknowledged but lost after a failed sync.

    The next sync may report success for data that the kernel has dropped.
    """

    async def test() -> None:
        disk = Disk(tmp_path)
        storage = disk.storage()
        file = RecordFile(storage, "log")
        await file.open()
        disk.sync_error = OSError(5, "Input/output error")
        for _ in range(2):
            with pytest.raises(ApricotError) as caught:
                await file.sync(file.append(b"x"))
            assert caught.value.code == ResultCode.SYNC_FAILED
            disk.sync_error = None
        with pytest.raises(ApricotError):
            await storage.replace_file("other", b"x")
        assert not (tmp_path / "other").exists()
        file.close()

    run(test)


def test_rewrite_keeps_what_is_appended_meanwhile(tmp_path: Path):
    """Guards against a compaction that loses a payload appended while it runs."""

    async def test() -> None:
        disk = Disk(tmp_path)
        file = RecordFile(disk.storage(), "log")
        await file.open()
        await file.sync(file.append(b"old"))
        async with anyio.create_task_group() as group:
            group.start_soon(file.rewrite, lambda: [b"compacted"])
            await anyio.sleep(0.001)
            group.start_soon(file.sync, file.append(b"new"))
        file.close()
        disk.crash()
        assert await read_records(disk) == [b"compacted", b"new"]

    run(test)


def test_start_counter_grows_and_a_used_folder_is_not_initialised_again(tmp_path: Path):
    """Guards against a used data folder that is initialised again or used by another node.

    It would no longer be known that its state is lost or outdated.
    """

    async def test() -> None:
        disk = Disk(tmp_path / "data")
        seed = random.Random(1)
        with pytest.raises(ApricotError, match="5001"):
            await record_start(disk.storage(), node_id="c1", random=seed)
        created = await initialise(
            disk.storage(), node_id="c1", first=True, initialised_at=1.0, random=seed
        )
        for number in (1, 2):
            started = await record_start(disk.storage(), node_id="c1", random=seed)
            assert (started.disk_id, started.start_counter) == (created.disk_id, number)
        with pytest.raises(ApricotError, match="5001"):
            await initialise(
                disk.storage(), node_id="c1", first=True, initialised_at=1.0, random=seed
            )
        with pytest.raises(ApricotError, match="belongs to 'c1'"):
            await record_start(disk.storage(), node_id="c2", random=seed)

    run(test)
