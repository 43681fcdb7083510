"""Callers that send jobs again while the shares change hands, under faults that overlap."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Collection

import anyio
from attempt_soak import SETTLE_S, TRAFFIC_S, AttemptSoak
from pool_cluster import CONTROL_IDS, run_cluster
from pool_harness import FakeBackend

from apricotpoint._pool.decisions.shares import BACKENDS_PER_CORE

DOMAINS = (("e1", "a"), ("e2", "a"), ("e3", "b"), ("e4", "b"), ("e5", "c"), ("e6", "c"))
BACKENDS_PER_DOMAIN = 4
BACKEND_IDS = tuple(
    f"{domain}{number}" for domain in "abc" for number in range(BACKENDS_PER_DOMAIN)
)
# A VM carries the backend servers of a failure domain, and those of two when some have left.
# Each group that is added needs a second part of its failure domain.
CORES = (BACKENDS_PER_DOMAIN + 1) / BACKENDS_PER_CORE
LARGE_CORES = 3 * CORES
GROUP_SIZE = 3
# How long a control process that was started again knows other backend servers than the others.
CONTROL_BEHIND_S = 10.0
# Longest time that a planned stop takes, as on the platform.
MAX_DRAIN_S = 5.0


def share_faults(soak: AttemptSoak) -> list[Callable[[], Awaitable[None]]]:
    """Return the faults that change shares, beside those of `soak`."""
    cluster, generator = soak.cluster, soak.random
    network = cluster.network
    joined: list[str] = []

    async def cut_one_way() -> None:
        """Lose what one process sends to another, which is heard by it all the while."""
        await cut({tuple(generator.sample(soak.entry_ids(), 2))})

    async def cut(pairs: Collection[tuple[str, ...]]) -> None:
        added = {(sender, receiver) for sender, receiver in pairs} - network.dropped_pairs
        network.dropped_pairs |= added
        await anyio.sleep(generator.uniform(0.3, 3.5))
        network.dropped_pairs -= added

    async def cut_domain() -> None:
        """Cut a failure domain off, with its backend servers, until the cut heals."""
        if network.partitioned_domain is not None:
            return
        domain_by_id = {key: entry.domain for key, entry in cluster.entry_by_id.items()}
        domain_by_id |= {key: key[-1] for key in CONTROL_IDS}
        network.partitioned_domain = generator.choice("abc")
        await cut(
            {
                (one, other)
                for one, one_domain in domain_by_id.items()
                for other, other_domain in domain_by_id.items()
                if network.separates(one_domain, other_domain)
            }
        )
        network.partitioned_domain = None

    async def stop_entry() -> None:
        """Stop an entry process as planned, and start it again."""
        entry = cluster.entry_by_id[generator.choice(soak.entry_ids())]
        if entry.scope.cancel_called or entry.draining:
            return
        entry.drain()
        stopped_at = anyio.current_time()
        while anyio.current_time() < stopped_at + MAX_DRAIN_S:
            own_parts = set(entry.claimer.term_by_claim())
            others = {
                part
                for entry_id, status in entry.members.live_entries().items()
                if entry_id != entry.entry_id and not status.draining
                for part in status.term_by_claim
            }
            if own_parts <= others and not entry.scheduler.draining:
                entry.scheduler.start_draining()
            if entry.scheduler.draining and entry.scheduler.idle():
                break
            await anyio.sleep(0.02)
        if not entry.scope.cancel_called:
            entry.kill()
            await anyio.sleep(0.3)
            await cluster.restart(entry.entry_id)

    async def restart_control() -> None:
        """Let a control process know only backend servers that have announced themselves since.

        For `CONTROL_BEHIND_S` it hears of none from the other control process.
        """
        control_id = generator.choice(CONTROL_IDS)
        relay = cluster.relay_by_id[control_id]
        relay._entry_by_id.clear()
        for backend_id in generator.sample(sorted(cluster.backend_by_id), 6):
            relay._roster.announcement_by_id.pop(backend_id, None)
            relay._roster._last_contact_at_by_id.pop(backend_id, None)
            relay._roster._digest_by_id.pop(backend_id, None)
        pairs = {(one, other) for one in CONTROL_IDS for other in CONTROL_IDS if one != other}
        network.dropped_pairs |= pairs
        await anyio.sleep(CONTROL_BEHIND_S)
        network.dropped_pairs -= pairs

    async def lose_backend() -> None:
        """Let a backend server leave; it comes back under another id."""
        backend_id = generator.choice(current_ids())
        remove(backend_id)
        await anyio.sleep(generator.uniform(0.5, 4.0))
        add(f"{backend_id[0]}{len(cluster.backend_by_id)}")

    async def cut_backend() -> None:
        """Cut a backend server off; its runs go on until their lease ends."""
        backend = cluster.backend_by_id[generator.choice(current_ids())]
        kind = generator.choice(["unreachable", "drops_answers"])
        setattr(backend, kind, True)
        await anyio.sleep(generator.uniform(0.1, 3.0))
        setattr(backend, kind, False)

    async def change_size() -> None:
        """Add backend servers to a failure domain, so that it needs more parts, for a while."""
        domain = generator.choice("abc")
        ids = [f"{domain}{len(cluster.backend_by_id) + index}" for index in range(GROUP_SIZE)]
        for backend_id in ids:
            add(backend_id)
        await anyio.sleep(generator.uniform(1.0, 6.0))
        for backend_id in ids:
            remove(backend_id)

    async def shrink() -> None:
        """Remove backend servers, so that two failure domains fit on one VM, for a while."""
        domain = generator.choice("abc")
        ids = [key for key in current_ids() if key[0] == domain][1:]
        for backend_id in ids:
            remove(backend_id)
        await anyio.sleep(generator.uniform(1.0, 6.0))
        for _ in ids:
            add(f"{domain}{len(cluster.backend_by_id)}")

    async def add_large_entry() -> None:
        """Add an entry process that can carry all backend servers, and kill it later."""
        entry_id = f"large{len(joined)}"
        joined.append(entry_id)
        await cluster.join(entry_id, generator.choice("abc"), cores=LARGE_CORES)
        await anyio.sleep(generator.uniform(3.0, 8.0))
        cluster.entry_by_id[entry_id].kill()
        del cluster.entry_by_id[entry_id]

    def current_ids() -> list[str]:
        return sorted(set(cluster.backend_by_id) - cluster.unannounced)

    def add(backend_id: str) -> None:
        template = next(iter(cluster.backend_by_id.values()))
        backend = cluster.backend_by_id[backend_id] = FakeBackend()
        backend.group = network.group
        backend.work_s_by_task = dict(template.work_s_by_task)

    def remove(backend_id: str) -> None:
        if backend_id in cluster.unannounced:
            return
        cluster.unannounced.add(backend_id)
        backend = cluster.backend_by_id[backend_id]
        backend.active_run_by_key.clear()
        backend.is_down = True
        cluster.relay_by_id[generator.choice(CONTROL_IDS)].unregister(backend_id)

    return [
        cut_one_way, cut_domain, stop_entry, restart_control, lose_backend, cut_backend,
        change_size, shrink, add_large_entry,
    ]  # fmt: skip


async def run_share_soak(seed: int) -> AttemptSoak:
    """Play one seed and return what happened; virtual time has to begin at zero."""
    async with run_cluster(cores=CORES, domains=DOMAINS, backend_ids=BACKEND_IDS) as cluster:
        cluster.network.sends_heartbeats = True
        soak = AttemptSoak(seed, cluster, random.Random(seed))
        own_faults = [soak.hold_up_messages, soak.hold_up_process, soak.kill_entry]
        # Kills break the connections of callers, so they are as frequent as all changes together.
        faults = [*own_faults, soak.kill_entry, soak.kill_entry, *share_faults(soak)]
        cluster.network.group.start_soon(soak.cause_faults, faults)
        for part in (soak.check_runs, soak.send_jobs):
            cluster.network.group.start_soon(part)
        await anyio.sleep(TRAFFIC_S + SETTLE_S)
    return soak
