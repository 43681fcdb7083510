"""Scenarios of the bench: a load and what goes wrong during it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import attrs

from apricotpoint._bench.simulation import DEFAULT_DEADLINE_S, Simulation
from apricotpoint._bench.trace import TracedJob, capacity_tasks_per_s, make_trace
from apricotpoint._settings.deployment import DeploymentSettings

Disturb = Callable[[Simulation], Awaitable[None]]

FAULT_AT_S = 20.0
BURST_S = 5.0
NOISY_TEAM = "noisy"
# How many times its quota the noisy team asks for.
NOISY_FACTOR = 10


async def _nothing(simulation: Simulation) -> None:
    """Leave the deployment undisturbed."""


@attrs.frozen
class Scenario:
    """A load, relative to capacity, and a disturbance that starts with the trace.

    `burst` multiplies the capacity that arrives for 5 s from second 20 on.
    `noisy_share` is the load of a second team, relative to capacity; its quota
    is a tenth of the slots that it would need. `max_key_wait_s` is the longest time
    between the issue of a key and its use.
    """

    name: str
    load: float
    seconds: float = 60.0
    disturb: Disturb = _nothing
    burst: float = 0.0
    declared_error: float = 1.0
    resubmit_share: float = 0.0
    steady: bool = False
    noisy_share: float = 0.0
    deadline_s: float = DEFAULT_DEADLINE_S
    max_key_wait_s: float = 0.0

    def simulation(self, deployment: DeploymentSettings, *, policy: str, seed: int) -> Simulation:
        """Return a simulation for this scenario."""
        slots = deployment.workers.count * deployment.workers.slots
        return Simulation(
            deployment,
            policy=policy,
            seed=seed,
            resubmit_share=self.resubmit_share,
            deadline_s=self.deadline_s,
            max_key_wait_s=self.max_key_wait_s,
            quota_by_team={NOISY_TEAM: round(self.noisy_share * slots / NOISY_FACTOR)},
        )

    def trace(self, deployment: DeploymentSettings, *, seed: int) -> list[TracedJob]:
        """Return the arrivals of this scenario for a deployment."""
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
        extra = make_trace(
            deployment,
            tasks_per_s=(self.burst - self.load) * capacity,
            seconds=BURST_S,
            seed=seed + 2,
            declared_error=self.declared_error,
        )
        return [attrs.evolve(job, at_s=job.at_s + FAULT_AT_S) for job in extra]


def failing_workers(count: int) -> Disturb:
    """Return a disturbance in which workers fail everything at once."""

    async def disturb(simulation: Simulation) -> None:
        await anyio.sleep(FAULT_AT_S)
        for worker in list(simulation.backend_by_id.values())[:count]:
            worker.fails = True

    return disturb


def slow_workers(count: int, factor: float) -> Disturb:
    """Return a disturbance in which workers become `factor` times slower."""

    async def disturb(simulation: Simulation) -> None:
        await anyio.sleep(FAULT_AT_S)
        for worker in list(simulation.backend_by_id.values())[:count]:
            worker.speed /= factor

    return disturb


async def cancel_wave(simulation: Simulation) -> None:
    """Cancel half of all open jobs every 10 s."""
    while True:
        await anyio.sleep(10)
        async with anyio.create_task_group() as group:
            for number in list(simulation.open_job_by_number):
                if simulation.random.random() < 0.5:
                    group.start_soon(simulation.cancel_job, number)


async def rolling_restart(simulation: Simulation) -> None:
    """Restart all entry processes gracefully, one after another."""
    await anyio.sleep(5)
    for entry_id, running in list(simulation.running_by_id.items()):
        domain, weight = running.entry.failure_domain, running.entry.weight
        await simulation.stop_entry(entry_id)
        await simulation.start_entry(entry_id, domain, weight)
        await anyio.sleep(2)


async def isolate_domain(simulation: Simulation) -> None:
    """Cut one failure domain off for 60 s."""
    await anyio.sleep(FAULT_AT_S)
    simulation.isolated_domains.add(simulation.deployment.failure_domains[0])
    await anyio.sleep(60)
    simulation.isolated_domains.clear()
    simulation.network.release_blocked()


async def kill_entry(simulation: Simulation) -> None:
    """Kill an entry process and start it again 5 s later."""
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
    Scenario(name="one-failing", load=0.5, disturb=failing_workers(1)),
    Scenario(name="four-failing", load=0.5, disturb=failing_workers(4)),
    Scenario(name="two-slow", load=0.5, disturb=slow_workers(2, 10.0)),
    Scenario(name="cancel-half", load=0.8, disturb=cancel_wave),
    Scenario(
        name="rolling-restart", load=0.5, seconds=90.0, disturb=rolling_restart, max_key_wait_s=5.0
    ),
    Scenario(name="domain-cut", load=0.4, seconds=100.0, disturb=isolate_domain),
    Scenario(name="resubmission", load=0.8, resubmit_share=0.2),
    Scenario(name="entry-killed", load=0.5, disturb=kill_entry),
    Scenario(name="noisy-team", load=0.3, noisy_share=1.0),
]
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
