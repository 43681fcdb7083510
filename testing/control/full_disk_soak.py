"""Random series of full disks beside crashes, lost disks and partitions, on virtual time.

To play more seeds than the tests do: `python testing/control/full_disk_soak.py FIRST LAST`.
"""

from __future__ import annotations

import errno
import sys
from collections.abc import Awaitable, Callable

import anyio
from control_network import Disk
from membership_soak import Soak, main


def fill(disk: Disk, *, stores_half: bool = False, number: int = errno.ENOSPC) -> None:
    """Let all writes to a disk fail; with `stores_half` they store half of their bytes before."""
    disk.write_error, disk.stores_half = OSError(number, "injected"), stores_half


def free(disk: Disk) -> None:
    """Let writes succeed again."""
    disk.write_error = None


class FullDiskSoak(Soak):
    """A soak in which disks are full for some seconds, one, some or all of them.

    A process with a full disk counts as no loss for the other faults, so that they kill it too.
    """

    def _actions(self) -> list[Callable[[], Awaitable[None]]]:
        return [*super()._actions(), *[self._fill] * 6]

    async def _fill(self) -> None:
        names = sorted(self._counted_ids)
        if self._random.random() < 0.7:
            names = self._random.sample(names, self._random.choice([1, 1, 2]))
        # The disk of a process may be replaced meanwhile, which gives it an empty one.
        disks = [self._cluster.disk_by_id[name] for name in names]
        for disk in disks:
            fill(disk, stores_half=self._random.random() < 0.5)
        self._note(f"disks full: {names}")
        await anyio.sleep(self._random.choice([0.5, 2.0, 5.0]))
        for disk in disks:
            free(disk)
        self._note(f"free space again: {names}")


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:]), kind=FullDiskSoak) > 0)
