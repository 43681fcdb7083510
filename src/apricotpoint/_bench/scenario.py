"""Scenarios of the benchmark: a load and the faults injected during it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import attrs

from apricotpoint._bench.simulation import DEFAULT_DEADLINE_S, Simulation
from apricotpoint._bench.trace import TracedJob, capacity_tasks_per_s, make_trace
from apricotpoint._settings.deployment import DeploymentSettings

FaultInjection = Callable[[Simulation], Awaitable[None]]

# Time of the fault or burst after the start of the trace.
FAULT_AT_S = 20.0
BURST_S = 5.0
NOISY_TEAM = "noisy"
# The load of the noisy team as a multiple of its quota.
NOISY_QUOTA_FACTOR = 10


async def _no_faults(simulation: Simulation) -> None:
    """Inject no fault."""


@attrs.frozen
class Scenario:
    """A load and the faults of a benchmark run.

    `load`, `burst` and `noisy_share` are multiples of the capacity of the
    deployment: the load of the whole trace, the load during the 5 s from second
    20 on (0 for no burst), and the load of a second team, whose quota is a tenth
    of the slots that it needs. `inject_faults` is called at the start of the
    trace. `declared_error` is the largest factor by which declared run times are
    wrong, `resubmit_share` the share of jobs that are submitted twice, and
    `max_key_wait_s` the longest time between the issue of a key and its use.
    """

    name: str
    load: float
    seconds: float = 60.0
    inject_faults: FaultInjection = _no_faults
    burst: float = 0.0
    declared_error: float = 1.0
    resubmit_share: float = 0.0
    steady: bool = False
    noisy_share: float = 0.0
    deadline_s: float = DEFAULT_DEADLINE_S
    max_key_wait_s: float = 0.0

    def simulation(self, deployment: DeploymentSettings, *, policy: str, seed: int) -> Simulation:
        """Return a simulation of a deployment with the settings of this scenario."""
        slots = deployment.workers.count * deployment.workers.slots
        return Simulation(
            deployment,
            policy=policy,
            seed=seed,
            resubmit_share=self.resubmit_share,
            deadline_s=self.deadline_s,
            max_key_wait_s=self.max_key_wait_s,
            quota_by_team={NOISY_TEAM: round(self.noisy_share * slots / NOISY_QUOTA_FACTOR)},
        )

    def trace(self, deployment: DeploymentSettings, *, seed: int) -> list[TracedJob]:
        """Return the jobs of this scenario for a deployment, ordered by arrival."""
        capacity = capacity_tasks_per_s(deployment)
        jobs = make_trace(
            deployment,
            tasks_per_s=self.load * capacity,
            seconds=self.seconds,
            seed=seed,
            declared_error=self.declared_error,
        )
        if self.burst:
            jobs += self._burst_jobs(deployment, capacity, seed)
        if self.noisy_share:
            jobs += make_trace(
                deployment,
                tasks_per_s=self.noisy_share * capacity,
                seconds=self.seconds,
                seed=seed + 1,
                team=NOISY_TEAM,
            )
        return sorted(jobs, key=lambda job: job.at_s)

    def _burst_jobs(
        self, deployment: DeploymentSettings, capacity: float, seed: int
    ) -> list[TracedJob]:
        burst_jobs = make_trace(
            deployment,
            tasks_per_s=(self.burst - self.load) * capacity,
            seconds=BURST_S,
            seed=seed + 2,
            declared_error=self.declared_error,
        )
        return [attrs.evolve(job, at_s=job.at_s + FAULT_AT_S) for job in burst_jobs]


def failing_backends(count: int) -> FaultInjection:
    """Return a fault injection: the first `count` backend servers fail all tasks after 2 ms."""

    async def inject_faults(simulation: Simulation) -> None:
        await anyio.sleep(FAULT_AT_S)
        for backend in list(simulation.backend_by_id.values())[:count]:
            backend.fails = True

    return inject_faults


def slow_backends(count: int, factor: float) -> FaultInjection:
    """Return a fault injection: the first `count` backend servers become `factor` times slower."""

    async def inject_faults(simulation: Simulation) -> None:
        await anyio.sleep(FAULT_AT_S)
        for backend in list(simulation.backend_by_id.values())[:count]:
            backend.speed /= factor

    return inject_faults


async def cancel_half_of_jobs(simulation: Simulation) -> None:
    """Cancel each open job with probability 1/2 every 10 s."""
    while True:
        await anyio.sleep(10)
        async with anyio.create_task_group() as group:
            for number in list(simulation.open_job_by_number):
                if simulation.random.random() < 0.5:
                    group.start_soon(simulation.cancel_job, number)


async def rolling_restart(simulation: Simulation) -> None:
    """Drain and restart all entry processes, one after another."""
    await anyio.sleep(5)
    for entry_id, running in list(simulation.running_by_id.items()):
        domain, weight = running.entry.failure_domain, running.entry.weight
        await simulation.stop_entry(entry_id)
        await simulation.start_entry(entry_id, domain, weight)
        await anyio.sleep(2)


async def isolate_domain(simulation: Simulation) -> None:
    """Isolate one failure domain from the others for 60 s."""
    await anyio.sleep(FAULT_AT_S)
    simulation.isolated_domains.add(simulation.deployment.failure_domains[0])
    await anyio.sleep(60)
    simulation.isolated_domains.clear()
    simulation.network.release_blocked()


async def kill_entry(simulation: Simulation) -> None:
    """Kill an entry process and start it again after 5 s."""
    await anyio.sleep(FAULT_AT_S)
    entry_id, running = next(iter(simulation.running_by_id.items()))
    domain, weight = running.entry.failure_domain, running.entry.weight
    simulation.kill_entry(entry_id)
    await anyio.sleep(5)
    await simulation.start_entry(entry_id, domain, weight)


SCENARIOS = [
    Scenario(name="steady-50", load=0.5, steady=True),
    Scenario(name="steady-80", load=0.8, steady=True),
    Scenario(name="steady-95", load=0.95, steady=True),
    Scenario(name="burst", load=0.5, burst=3.0, deadline_s=10.0),
    Scenario(name="wrong-declarations", load=0.8, declared_error=10.0),
    Scenario(name="one-failing", load=0.5, inject_faults=failing_backends(1)),
    Scenario(name="four-failing", load=0.5, inject_faults=failing_backends(4)),
    Scenario(name="two-slow", load=0.5, inject_faults=slow_backends(2, 10.0)),
    Scenario(name="cancel-half", load=0.8, inject_faults=cancel_half_of_jobs),
    Scenario(
        name="rolling-restart",
        load=0.5,
        seconds=90.0,
        inject_faults=rolling_restart,
        max_key_wait_s=5.0,
    ),
    Scenario(name="domain-cut", load=0.4, seconds=100.0, inject_faults=isolate_domain),
    Scenario(name="resubmission", load=0.8, resubmit_share=0.2),
    Scenario(name="entry-killed", load=0.5, inject_faults=kill_entry),
    Scenario(name="noisy-team", load=0.3, noisy_share=1.0),
]
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
