"""The key registry grants each key to one coordinator only, also after faults."""

from __future__ import annotations

from pathlib import Path

import anyio
import attrs
import pytest
from control_network import START_UNIX_S, Cluster, Disk, run, with_cluster

from apricotpoint._control.claims import make_claim_sender
from apricotpoint._control.registry import KeyRegistry
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._core.keys import home_domain
from apricotpoint._core.timers import TimerService
from apricotpoint._link.transport import PeerUnreachable
from apricotpoint._wire.jobs import Claim

CLAIM = Claim("hem", "order-1", int(START_UNIX_S) + 600, "f1", "e1", 1)


@attrs.define
class Clock:
    """A wall clock that a test sets."""

    wall: float = START_UNIX_S


async def open_registry(
    disk: Disk, clock: Clock, *, disk_replaced_at: float | None = None, max_claims: int = 1000
) -> KeyRegistry:
    registry = KeyRegistry(
        disk.storage(),
        timers=TimerService(wall_clock=lambda: clock.wall),
        counters=Counters(),
        disk_replaced_at=disk_replaced_at,
        max_claims=max_claims,
    )
    await registry.open()
    return registry


def test_key_is_granted_once(tmp_path: Path):
    """Guards against two coordinators that both run the job of one key."""

    async def test() -> None:
        registry = await open_registry(Disk(tmp_path), Clock())
        assert not (await registry.claim(CLAIM)).existing
        again = await registry.claim(attrs.evolve(CLAIM, entry_id="e2", incarnation=9))
        assert (again.code, again.existing) == (ResultCode.ACCEPTED, True)
        assert (again.entry_id, again.incarnation) == ("e1", 1)
        other = await registry.claim(attrs.evolve(CLAIM, fingerprint="f2"))
        assert other.code == ResultCode.KEY_CONFLICT
        registry.close()

    run(test)


def test_check_records_nothing(tmp_path: Path):
    """Guards against a check that records a claim.

    A process that refuses a job after the check must not become the owner of its key.
    """

    async def test() -> None:
        registry = await open_registry(Disk(tmp_path), Clock())
        check = attrs.evolve(CLAIM, entry_id="e2", check_only=True)
        reply = await registry.claim(check)
        assert (reply.code, reply.existing) == (ResultCode.ACCEPTED, False)
        assert registry.claims == 0
        await registry.claim(CLAIM)
        reply = await registry.claim(check)
        assert (reply.entry_id, reply.existing) == ("e1", True)
        registry.close()

    run(test)


def test_claim_killed_at_any_step_is_not_granted_twice(tmp_path: Path):
    """Guards against a claim that is granted before it is synced.

    A crash at any step between would lose it, and the key would be granted again.
    """

    async def test() -> None:
        for step in range(12):
            disk = Disk(tmp_path / str(step))
            disk.folder.mkdir()
            registry = await open_registry(disk, Clock())
            granted = []

            async def claim(registry: KeyRegistry = registry, granted: list = granted) -> None:  # type: ignore[type-arg]
                granted.append(await registry.claim(CLAIM))

            async with anyio.create_task_group() as group:
                group.start_soon(claim)
                await anyio.sleep(step * 0.0005)
                granted_before = list(granted)
                disk.crash()
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(0.0001)
                group.cancel_scope.cancel()
            registry.close()
            again = await open_registry(disk, Clock())
            reply = await again.claim(attrs.evolve(CLAIM, entry_id="e2"))
            if granted_before:
                assert (reply.entry_id, reply.existing) == ("e1", True)
            again.close()

    run(test)


def test_second_request_is_not_answered_before_the_claim_is_synced(tmp_path: Path):
    """Guards against a reply that names the owner of a claim whose sync then fails."""

    async def test() -> None:
        disk = Disk(tmp_path)
        registry = await open_registry(disk, Clock())
        disk.sync_error = OSError(5, "Input/output error")
        failures = 0

        async def claim(entry_id: str) -> None:
            nonlocal failures
            with pytest.raises(ApricotError):
                await registry.claim(attrs.evolve(CLAIM, entry_id=entry_id))
            failures += 1

        async with anyio.create_task_group() as group:
            group.start_soon(claim, "e1")
            await anyio.sleep(0.001)
            group.start_soon(claim, "e2")
        assert failures == 2
        registry.close()

    run(test)


def test_claims_expire_and_stay_expired_when_the_clock_is_set_back(tmp_path: Path):
    """Guards against an expired, deleted key that is granted again after the clock was set back.

    The highest time is kept in the file, so this holds after a restart too.
    """

    async def test() -> None:
        disk, clock = Disk(tmp_path), Clock()
        registry = await open_registry(disk, clock)
        await registry.claim(CLAIM)
        clock.wall = CLAIM.valid_until + 4
        await registry.compact()
        assert registry.claims == 1
        clock.wall = CLAIM.valid_until + 7
        await registry.compact()
        assert registry.claims == 0
        clock.wall = START_UNIX_S
        reply = await registry.claim(CLAIM)
        assert reply.code == ResultCode.KEY_EXPIRED
        await registry._file.rewrite(registry._compacted_payloads)
        registry.close()
        disk.crash()
        again = await open_registry(disk, clock)
        assert (await again.claim(CLAIM)).code == ResultCode.KEY_EXPIRED
        again.close()

    run(test)


def test_compaction_keeps_live_claims(tmp_path: Path):
    """Guards against a compaction that loses claims which have not expired."""

    async def test() -> None:
        disk, clock = Disk(tmp_path), Clock()
        disk.sync_s = 0.0
        registry = await open_registry(disk, clock, max_claims=10_000)
        async with anyio.create_task_group() as group:
            for number in range(9_000):
                claim = attrs.evolve(
                    CLAIM,
                    key=f"{number:064}",
                    fingerprint="f" * 64,
                    valid_until=int(START_UNIX_S) + 60,
                )
                group.start_soon(registry.claim, claim)
        await registry.claim(CLAIM)
        before = registry.file_bytes
        clock.wall = START_UNIX_S + 70
        assert await registry.compact()
        assert registry.file_bytes < before / 100
        registry.close()
        disk.crash()
        again = await open_registry(disk, clock)
        reply = await again.claim(attrs.evolve(CLAIM, entry_id="e2"))
        assert (reply.existing, reply.entry_id) == (True, "e1")
        again.close()

    run(test)


def test_replaced_disk_does_not_grant_keys_that_may_have_been_claimed(tmp_path: Path):
    """Guards against a second grant of a key whose claim was lost with the disk.

    Any key valid up to 3605 s after the replacement may have been claimed before.
    """

    async def test() -> None:
        clock = Clock()
        registry = await open_registry(Disk(tmp_path), clock, disk_replaced_at=START_UNIX_S)
        last = int(START_UNIX_S) + 3605
        reply = await registry.claim(attrs.evolve(CLAIM, valid_until=last))
        assert reply.code == ResultCode.CLAIM_MAY_BE_LOST
        clock.wall = START_UNIX_S + 10
        reply = await registry.claim(attrs.evolve(CLAIM, valid_until=last + 1))
        assert reply.code == ResultCode.ACCEPTED
        registry.close()

    run(test)


def test_claims_are_bounded_in_time_and_number(tmp_path: Path):
    """Guards against a registry that grows without bound."""

    async def test() -> None:
        registry = await open_registry(Disk(tmp_path), Clock(), max_claims=1)
        far = await registry.claim(attrs.evolve(CLAIM, valid_until=int(START_UNIX_S) + 3606))
        assert far.code == ResultCode.MALFORMED
        assert (await registry.claim(CLAIM)).code == ResultCode.ACCEPTED
        full = await registry.claim(attrs.evolve(CLAIM, key="order-2"))
        assert full.code == ResultCode.OVERLOADED
        assert (await registry.claim(CLAIM)).existing
        registry.close()

    run(test)


def test_claim_goes_to_its_home_domain_and_survives_a_restart_there(tmp_path: Path):
    """Guards against a claim recorded in two failure domains, or lost in a restart."""

    async def test(cluster: Cluster) -> None:
        control_by_domain = {f"domain-{node_id}": node_id for node_id in ("c1", "c2", "c3")}
        domains = list(control_by_domain)
        claim = make_claim_sender(cluster.client, control_by_domain, domains)
        await anyio.sleep(1)
        request = attrs.evolve(CLAIM, valid_until=int(cluster.timers.wall_time()) + 600)
        assert (await claim(request)).code == ResultCode.ACCEPTED
        home = control_by_domain[home_domain("hem", "order-1", domains)]
        assert cluster.node(home).dump()["claims"] == 1
        await cluster.kill(home)
        with pytest.raises(PeerUnreachable):
            await claim(request)
        await cluster.start(home)
        await anyio.sleep(2)
        assert (await claim(attrs.evolve(request, entry_id="e2"))).entry_id == "e1"

    with_cluster(test, tmp_path)
