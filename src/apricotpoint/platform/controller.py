"""The control program for the platform: creates and connects its components."""

from __future__ import annotations

import random
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import anyio.abc
import logbook

from apricotpoint._control.diskspace import retry_while_full
from apricotpoint._control.identity import (
    Identity,
    discard_incomplete_initialisation,
    initialise,
    is_initialised,
    record_start,
)
from apricotpoint._control.membership import FaultTolerance
from apricotpoint._control.node import ControlNode
from apricotpoint._control.storage import Storage
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.pauses import PauseMonitor
from apricotpoint._core.timers import TimerService
from apricotpoint._http.arrivals import Arrivals
from apricotpoint._http.serve import serve
from apricotpoint._link.mesh import Mesh
from apricotpoint._pool.holders.relay import AnnouncementRelay
from apricotpoint._programs.incarnation import make_random
from apricotpoint._wire.configuration import ConfigPoll
from apricotpoint.platform.controlapi import make_control_app
from apricotpoint.platform.evacuations import make_evacuation_routes
from apricotpoint.platform.process import (
    PEER_IDLE_S,
    PEER_KEY,
    SettingsFile,
    Signals,
    run_program,
    suspended_s,
)
from apricotpoint.platform.settings import PlatformSettings
from apricotpoint.platform.usagereport import report_usage

# Time that requests in progress get to finish at shutdown.
SHUTDOWN_GRACE_S = 1.0
CONNECTION_IDLE_TIMEOUT_S = 30.0

_log = logbook.Logger("control")


def main() -> int:
    """Run the control program and return its exit status."""
    return run_program("control", _run)


async def _run(settings_file: SettingsFile, signals: Signals, incarnation: int) -> None:
    settings = settings_file.current
    folder = settings.data_folder
    if folder is None:
        raise ApricotError(
            ResultCode.INVALID_SETTINGS,
            f"the settings of {settings.name} name no data folder",
            remedy="run the control program on a VM with a data disk",
        )
    timers, counters = TimerService(suspended_s=suspended_s), Counters()
    identity = await _prepare_data_folder(folder, settings, timers, signals)
    if identity is None:
        return
    _log.info("seeds {}, may vote: {}", settings.seeds, settings.may_vote)
    mesh = Mesh(
        process_id=settings.address,
        incarnation=incarnation,
        listen=settings.peer_address(settings.address),
        address_by_peer={seed: settings.peer_address(seed) for seed in settings.seeds},
        keys=[PEER_KEY],
        timers=timers,
        counters=counters,
        address_of=settings.peer_address,
        idle_after_s=PEER_IDLE_S,
        quiet_types=[ConfigPoll],
    )
    node = ControlNode(
        node_id=settings.address,
        failure_domain=settings.failure_domain,
        members=settings.seeds,
        initial_members=sorted(settings.seeds),
        tolerance=FaultTolerance(
            members=settings.tolerated_vms, domains=settings.tolerated_domains
        ),
        may_vote=settings.may_vote,
        connect=lambda peer_id: mesh.add_peer(peer_id, settings.peer_address(peer_id)),
        seeds=settings_file.seeds,
        data_folder=folder,
        identity=identity,
        transport=mesh,
        timers=timers,
        counters=counters,
        random=make_random(settings.address, incarnation),
    )

    def control_ids() -> list[str]:
        ids = {*node.replica.log.disk_by_member(), *node.replica.learner_ids, settings.address}
        return sorted(ids)

    relay = AnnouncementRelay(
        own_id=settings.address,
        transport=mesh,
        timers=timers,
        control_ids=control_ids,
        config_version=lambda: node.replica.state.configuration.version,
    )
    pauses, arrivals = PauseMonitor(timers=timers), Arrivals()
    evacuation_routes = make_evacuation_routes(
        domains=lambda: settings_file.current.failure_domains,
        configuration=lambda: node.replica.state.configuration,
        change=node.change,
        unread_s=lambda client: pauses.unread_s(arrivals.silent_s(client)),
        clock=timers.boot_time,
        wall_time=timers.wall_time,
        counters=counters,
    )
    app = make_control_app(
        relay=relay,
        change=node.change,
        document=node.document,
        counters=counters,
        wall_time=timers.wall_time,
        evacuation_routes=evacuation_routes if settings.has_places else [],
    )
    close_server = anyio.Event()

    async def serve_app(
        *, task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        await serve(
            app,
            settings.control_bind,
            None,
            close_server.wait,
            grace_s=SHUTDOWN_GRACE_S,
            idle_s=CONNECTION_IDLE_TIMEOUT_S,
            arrivals=arrivals if settings.has_places else None,
            task_status=task_status,
        )

    async with AsyncExitStack() as stack:
        await stack.enter_async_context(timers)
        report_usage(timers, counters, mesh.traffic)
        if settings.has_places:
            # Only the age of orders for failure domains is of interest.
            await stack.enter_async_context(pauses)
        for component in (mesh, node, relay):
            await stack.enter_async_context(component)
        async with anyio.create_task_group() as group:
            if settings.has_places:
                group.start_soon(arrivals.check)
            await group.start(serve_app)
            _log.info("listening for workers and operators on {}", settings.control_bind)
            await signals.stop_requested.wait()
            close_server.set()


async def _prepare_data_folder(
    folder: Path, settings: PlatformSettings, timers: TimerService, signals: Signals
) -> Identity | None:
    """Initialise the data folder if needed, and record the start once its disk has free space.

    Returns None if the process was told to stop meanwhile.
    """
    identity: Identity | None = None
    storage = Storage(folder)

    async def prepare() -> Identity:
        await _initialise_data_folder(storage, settings)
        await storage.write_probe()
        return await record_start(storage, node_id=settings.address, random=random.SystemRandom())

    async def stop(scope: anyio.CancelScope) -> None:
        await signals.stop_requested.wait()
        scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(stop, group.cancel_scope)
        identity = await retry_while_full(storage, timers, prepare, f"start of {settings.address}")
        group.cancel_scope.cancel()
    return identity


async def _initialise_data_folder(storage: Storage, settings: PlatformSettings) -> None:
    """Initialise an empty data folder, or one whose initialisation was interrupted."""
    folder = storage.folder
    if is_initialised(folder):
        return
    discard_incomplete_initialisation(folder)
    await initialise(
        storage,
        node_id=settings.address,
        first=settings.first_start,
        initialised_at=time.time(),
        random=random.SystemRandom(),
    )
    _log.notice("data folder {} initialised, first start: {}", folder, settings.first_start)


if __name__ == "__main__":
    sys.exit(main())
