"""A simulated backend server: HTTP interface, runs and announcements."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from apricotpoint._backend.announcer import Announcer
from apricotpoint._backend.app import make_app
from apricotpoint._backend.ledger import Ledger
from apricotpoint._backend.runner import Runner
from apricotpoint._backend.settings import BackendSettings
from apricotpoint._core.counters import Counters
from apricotpoint._http.serve import serve

# Lease holders stop sending starts when they receive an announcement with `leaving`.
# Announcements are sent every 0.5 s; three periods allow for a lost one.
LEAVING_NOTICE_S = 1.5


async def run_backend(
    settings: BackendSettings,
    *,
    key: str,
    shutdown: Callable[[], Awaitable[None]],
    incarnation: int | None = None,
    counters: Counters | None = None,
    leaving_notice_s: float = LEAVING_NOTICE_S,
    ledger: Ledger | None = None,
    task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> Ledger:
    """Run a backend server until `shutdown` returns and its runs have ended.

    After `shutdown` it announces `leaving` for `leaving_notice_s` seconds and then
    refuses new starts. Reports the bound port as task status. Returns the ledger, which
    is `ledger` if one is given.
    """
    incarnation = time.time_ns() // 1000 if incarnation is None else incarnation
    stop = anyio.Event()
    host = settings.bind.rpartition(":")[0]
    async with (
        Runner(settings, ledger=ledger or Ledger()) as runner,
        anyio.create_task_group() as group,
    ):
        app = make_app(runner, incarnation=incarnation)

        async def run_server(*, task_status: anyio.abc.TaskStatus[int]) -> None:
            await serve(app, settings.bind, None, stop.wait, task_status=task_status)

        port = await group.start(run_server)
        announcer = Announcer(
            settings,
            incarnation=incarnation,
            address=f"{host}:{port}",
            key=key,
            running=runner.running,
            counters=counters or Counters(),
        )
        async with anyio.create_task_group() as announcement_group:
            announcement_group.start_soon(announcer.run)
            task_status.started(port)
            await shutdown()
            announcer.leaving = True
            await anyio.sleep(leaving_notice_s)
            runner.stopping = True
            await runner.idle()
            announcement_group.cancel_scope.cancel()
        stop.set()
    return runner.ledger
