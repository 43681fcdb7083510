"""Waiting for free space on a full disk, and detection of a disk that stalls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import logbook

from apricotpoint._control.storage import DiskFullError, Storage
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService

# A quota that is raised or a file that is deleted is noticed within the longest delay.
FIRST_RETRY_S, MAX_RETRY_S = 0.05, 0.5
# A sync that takes longer counts as a stall. An election takes 1 to 2 s, so that together with
# it an order is still acknowledged within the 5 s for which operators wait. The same bound
# keeps short write-back delays from deposing a leader whose entries the others store.
STALL_TIMEOUT_S = 2.0

_log = logbook.Logger("control")

_T = TypeVar("_T")


async def wait_for_space(storage: Storage, timers: TimerService) -> None:
    """Return when a write has found free space; retries with growing delays of at most 0.5 s."""
    delay_s = FIRST_RETRY_S
    while storage.full is not None:
        await timers.sleep(delay_s)
        delay_s = min(2 * delay_s, MAX_RETRY_S)
        await storage.retry()


async def retry_while_full(
    storage: Storage, timers: TimerService, store: Callable[[], Awaitable[_T]], purpose: str
) -> _T:
    """Call `store` until it does not raise `DiskFullError`, and return its result.

    The cause and `purpose` are logged once, and so is the end of the wait. Other errors are
    raised at once.
    """
    began_at = timers.now()
    waited = False
    while True:
        try:
            result = await store()
        except DiskFullError as error:
            if not waited:
                _log.error("{} waits until there is free space: {}", purpose, error)
            waited = True
            storage.mark_full(error)
            await wait_for_space(storage, timers)
            continue
        if waited:
            _log.notice("{}: free space after {:.1f} s", purpose, timers.now() - began_at)
        return result


async def watch_space(
    storage: Storage, timers: TimerService, counters: Counters, on_change: Callable[[], None]
) -> None:
    """Log and count each time the disk is full, and find out when there is free space again.

    Calls `on_change` at both. Runs until cancelled; raises `ApricotError` 5103 or 5104 if a
    retry ends in a final failure.
    """
    counters.set_gauge("control.disk_full", 0)
    while True:
        await storage.became_full.wait()
        began_at = timers.now()
        _log.error("disk full, nothing is stored until there is free space: {}", storage.full)
        counters.add("control.disk_full_periods")
        counters.set_gauge("control.disk_full", 1)
        on_change()
        await wait_for_space(storage, timers)
        counters.set_gauge("control.disk_full", 0)
        _log.notice("free space on the disk again after {:.1f} s", timers.now() - began_at)
        on_change()


@attrs.define
class StallDetector:
    """Decides whether the disk stalls, from samples of what is synced.

    The disk stalls if a write or sync is in progress and nothing was synced for
    `STALL_TIMEOUT_S`.
    """

    _synced_count: int = 0
    _progressed_at: float | None = None
    is_stalled: bool = False

    def update(self, now: float, synced_count: int, is_waiting: bool) -> None:
        """Take a sample; `is_waiting` says that a write or sync is in progress."""
        if not is_waiting or synced_count != self._synced_count or self._progressed_at is None:
            self._progressed_at = now
        self._synced_count = synced_count
        self.is_stalled = now - self._progressed_at > STALL_TIMEOUT_S
