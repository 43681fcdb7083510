"""The faults of the operations `request`, `issued`, `job` and `cancellation`.

A `Fault` is called when the simulation reaches the step; most faults end by themselves.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

import anyio
import attrs

from apricotpoint._bench.network import Delivery
from apricotpoint._bench.stepsimulation import COORDINATOR, HOLDER, OTHER_ENTRY, StepSimulation
from apricotpoint._wire.announce import GuardState
from apricotpoint._wire.jobs import JobRequest
from apricotpoint._wire.tasks import TaskSpec

Fault = Callable[[StepSimulation], None]

DEADLINE_S = 5.0
RUN_S = 0.1
# Longer than the leases of backend servers and the time after which a lease holder is replaced.
_PAUSE_S = 4.0


def task_specs(name: str, count: int, *, cores: int = 1, declared_s: float | None = RUN_S):
    return [
        TaskSpec(
            "check",
            payload={"id": f"{name}.{index}", "run_s": RUN_S},
            cores=cores,
            declared_s=declared_s,
        )
        for index in range(count)
    ]


def submit_other(
    system: StepSimulation, entry_id: str, name: str, *, count: int = 1, cores: int = 1
):
    """Submit another job; `check_guarantees` checks its answer at the end."""
    if entry_id not in system.running_by_id:
        return
    coordinator = system.running_by_id[entry_id].entry.coordinator

    async def submit_and_record() -> None:
        request = JobRequest(
            key=coordinator.issue_keys(1)[0],
            team="t",
            service="hem",
            deadline_ms=2_000,
            tasks=task_specs(name, count, cores=cores),
        )
        started_at = anyio.current_time()
        answer = await coordinator.submit(request)
        system.others.append((request, answer, anyio.current_time() - started_at))

    system.spawn(entry_id, submit_and_record)


def backend_killed(system: StepSimulation) -> None:
    backend = next(item for item in system.backends() if item.backend_id == system.backend_id)
    backend.kill()
    system.call_later(2.5, backend.restart)


def connection_silent(system: StepSimulation) -> None:
    """Drop all results on the open connections to the backend servers."""
    for backend in system.backends():
        for exchange in backend.exchanges:
            exchange.silent = True


def entry_killed(entry_id: str) -> Fault:
    return lambda system: system.restart_entry(entry_id)


def entry_paused(entry_id: str) -> Fault:
    return lambda system: system.pause(entry_id, _PAUSE_S)


def entry_drained(entry_id: str) -> Fault:
    def inject(system: StepSimulation) -> None:
        system.running_by_id[entry_id].entry.coordinator.start_draining()
        system.group.start_soon(system.stop_entry, entry_id)

    return inject


def home_isolated(system: StepSimulation) -> None:
    """Isolate the key registry of the home domain for 1.5 s."""
    system.block_links(*[pair for d in "abc" for pair in ((d, "home"), ("home", d))], heal_s=1.5)


def domain_cut(
    domain: str, *, inward: bool = True, outward: bool = True, heal_s: float = 3.0
) -> Fault:
    def inject(system: StepSimulation) -> None:
        others = [other for other in ("a", "b", "c", "home") if other != domain]
        pairs = [(domain, other) for other in others if outward]
        pairs += [(other, domain) for other in others if inward]
        system.block_links(*pairs, heal_s=heal_s)

    return inject


def message_altered(alter: Callable[[Delivery], list[Delivery]]) -> Fault:
    def inject(system: StepSimulation) -> None:
        system.network.alter = alter

    return inject


def dropped(delivery: Delivery) -> list[Delivery]:
    # A message of the reliable stream is sent again after 1 s if it is lost.
    return delayed(1.0)(delivery) if delivery.reliable else []


def delayed(seconds: float) -> Callable[[Delivery], list[Delivery]]:
    return lambda delivery: [attrs.evolve(delivery, due_at=delivery.due_at + seconds)]


def repeated(delivery: Delivery) -> list[Delivery]:
    return [delivery, *delayed(0.0)(delivery), *delayed(0.3)(delivery)]


def straggler(system: StepSimulation) -> None:
    """Stall the runs on all backend servers for 1 s."""
    for backend in system.backends():
        backend.stalled_until = anyio.current_time() + 1.0


def burst(system: StepSimulation) -> None:
    """Submit twelve other jobs with three tasks each."""
    for number in range(12):
        entry_id = (COORDINATOR, HOLDER, OTHER_ENTRY)[number % 3]
        submit_other(system, entry_id, f"burst-{number}", count=3)


def impossible_job(system: StepSimulation) -> None:
    """Submit another job, whose task needs more cores than any backend server has."""
    submit_other(system, COORDINATOR, "impossible", cores=1_000)


def backend_fails_all(system: StepSimulation) -> None:
    for backend in system.backends():
        backend.fails = True


def guard_state(state: GuardState, throttle: float = 1.0) -> Fault:
    def inject(system: StepSimulation) -> None:
        for backend in system.backends():
            backend.throttle = throttle
            if state is GuardState.THROTTLED:
                backend.guard = state
            else:
                backend.stop_all_by_guard(state)

    return inject


def lease_lost(system: StepSimulation) -> None:
    """Suspend the announcements for 3 s, which is longer than the leases."""
    for backend in system.backends():
        backend.announcements_paused_until = anyio.current_time() + 3.0


def backend_leaving(system: StepSimulation) -> None:
    for backend in system.backends():
        backend.leaving = True
        backend.leaving_at = anyio.current_time()


def disk_failed(error_number: int) -> Fault:
    def inject(system: StepSimulation) -> None:
        system.sync_error = OSError(error_number, "injected")

    return inject


def cancelled(system: StepSimulation) -> None:
    system.group.start_soon(system.cancel_main)


def resubmitted(system: StepSimulation) -> None:
    system.group.start_soon(system.resubmit_main)


# Seconds until the effects of a fault are over; 0.6 s for faults that are not listed.
SETTLE_S = {
    name: seconds
    for seconds, names in [
        (6.4, "coordinator_domain_cut_long holder_domain_cut_long"),
        (4.4, "coordinator_paused holder_paused"),
        (
            3.4,
            "coordinator_killed forwarder_killed holder_killed backend_killed connection_silent "
            "lease_lost "
            "coordinator_domain_cut coordinator_domain_cut_inward coordinator_domain_cut_outward "
            "holder_domain_cut holder_domain_cut_inward holder_domain_cut_outward",
        ),
        (1.8, "home_killed home_isolated straggler"),
    ]
    for name in names.split()
}

FAULTS: dict[str, Fault] = {
    "coordinator_killed": entry_killed(COORDINATOR),
    "coordinator_paused": entry_paused(COORDINATOR),
    "coordinator_drained": entry_drained(COORDINATOR),
    "forwarder_killed": entry_killed(OTHER_ENTRY),
    "holder_killed": entry_killed(HOLDER),
    "holder_paused": entry_paused(HOLDER),
    "holder_drained": entry_drained(HOLDER),
    "backend_killed": backend_killed,
    "backend_leaving": backend_leaving,
    "backend_fails_all": backend_fails_all,
    "connection_silent": connection_silent,
    "home_killed": lambda system: system.kill_home_registry(),
    "home_isolated": home_isolated,
    "home_sync_failed": disk_failed(errno.EIO),
    "home_disk_full": disk_failed(errno.ENOSPC),
    "coordinator_domain_cut": domain_cut("a"),
    "coordinator_domain_cut_inward": domain_cut("a", outward=False),
    "coordinator_domain_cut_outward": domain_cut("a", inward=False),
    "holder_domain_cut": domain_cut("b"),
    "holder_domain_cut_inward": domain_cut("b", outward=False),
    "holder_domain_cut_outward": domain_cut("b", inward=False),
    "coordinator_domain_cut_long": domain_cut("a", heal_s=6.0),
    "holder_domain_cut_long": domain_cut("b", heal_s=6.0),
    "message_dropped": message_altered(dropped),
    "message_delayed": message_altered(delayed(1.5)),
    "message_repeated": message_altered(repeated),
    "message_reordered": message_altered(delayed(0.3)),
    "straggler": straggler,
    "burst": burst,
    "impossible_job": impossible_job,
    "cancelled": cancelled,
    "resubmitted": resubmitted,
    "lease_lost": lease_lost,
    "throttled": guard_state(GuardState.THROTTLED, 0.5),
    "checkpointed": guard_state(GuardState.CHECKPOINT),
    "stopped": guard_state(GuardState.STOP),
}
