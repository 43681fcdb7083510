"""The clock of a backend server, by which the end of a lease is given."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import attrs
from pool_harness import FakeBackend, make_job, run_on_virtual_time, run_scheduler

from apricotpoint._pool.runs.backendclient import LeaseReply
from apricotpoint._pool.runs.heldbackend import LEASE_S


def test_a_backend_server_that_starts_again_gets_leases_by_its_new_clock():
    """Guards against a lease, or a start that was held up, that is valid minutes too long."""

    async def test() -> None:
        backend = FakeBackend(work_s=9.0)
        backend.born_ms, ahead_ms = 1, 500_000
        renew: Callable[..., Awaitable[LeaseReply]] = backend.renew_lease  # type: ignore[assignment]

        async def renew_by_own_clock(*, lease_until_ms: int | None, **others: object) -> LeaseReply:
            until_ms = None if lease_until_ms is None else lease_until_ms - ahead_ms
            if until_ms is not None:
                leases_ms.append(until_ms - anyio.current_time() * 1000)
            reply = await renew(lease_until_ms=until_ms, **others)
            return attrs.evolve(reply, clock_ms=reply.clock_ms + ahead_ms)

        leases_ms: list[float] = []
        backend.renew_lease = renew_by_own_clock  # type: ignore[assignment, method-assign]
        async with run_scheduler(backend) as harness:
            harness.scheduler.submit(make_job(work_s=9.0, deadline_s=60.0))
            await harness.settle(1.0)
            assert 0 < leases_ms[-1] <= LEASE_S * 1000
            backend.born_ms, ahead_ms = 2, 0
            leases_ms.clear()
            await harness.settle(2.0)
            assert 0 < leases_ms[-1] <= LEASE_S * 1000

    run_on_virtual_time(test)
