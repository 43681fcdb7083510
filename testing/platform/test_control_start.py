"""The start of the control program on a disk without free space."""

from __future__ import annotations

import errno
import functools
import os
from pathlib import Path
from types import SimpleNamespace

import anyio
import pytest
from test_shutdown import free_ports, write_settings

from apricotpoint._control import node
from apricotpoint._control.identity import _read_identity
from apricotpoint._control.storage import PROBE_FILE_NAME, Storage
from apricotpoint.platform import controller


def test_start_without_space_waits_until_it_is_told_to_stop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    """Guards against a process that SIGTERM does not end while it waits to record its start."""
    is_full = True

    def write(descriptor: int, data: bytes) -> int:
        is_probe = os.readlink(f"/proc/self/fd/{descriptor}").endswith(PROBE_FILE_NAME)
        if is_full and not is_probe:
            raise OSError(errno.ENOSPC, "injected")
        return os.write(descriptor, data)

    async def start_and_stop() -> None:
        signals = SimpleNamespace(stop_requested=anyio.Event())

        async def stop() -> None:
            await anyio.sleep(0.5)
            signals.stop_requested.set()

        async with anyio.create_task_group() as group:
            group.start_soon(stop)
            with anyio.fail_after(5.0):
                await controller._run(settings, signals, 1)  # type: ignore[arg-type]

    (control_port,) = free_ports(1)
    folder = tmp_path / "data"
    settings = write_settings(
        tmp_path / "settings.yaml",
        grace_period_s=2.0,
        data_directory=str(folder),
        listen_addresses={"control_plane": f"127.0.0.1:{control_port}"},
    )
    for module in (controller, node):
        monkeypatch.setattr(module, "Storage", functools.partial(Storage, write=write))
    anyio.run(start_and_stop)
    is_full = False
    anyio.run(start_and_stop)
    assert _read_identity(folder / "identity").start_counter == 1
    is_full = True
    anyio.run(start_and_stop)
    assert _read_identity(folder / "identity").start_counter == 1
