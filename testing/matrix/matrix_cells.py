"""Runs one cell of the request, job or cancellation table."""

from __future__ import annotations

from pathlib import Path

import anyio
import attrs
from matrix_faults import DEADLINE_S, FAULTS, SETTLE_S, submit_other, task_specs
from matrix_seen import Seen

from apricotpoint._bench.stepsimulation import (
    COORDINATOR,
    HOLDER,
    OTHER_ENTRY,
    WALL_CLOCK_START,
    StepSimulation,
)
from apricotpoint._bench.virtualtime import run_virtual
from apricotpoint._wire.jobs import Answer, JobRequest

# What a caller sees whose entry process is killed.
NO_ANSWER = 0
# Time between a deadline and the answer (section 1.8 of the design).
_GRACE_S = 0.05
# A cancellation waits 5 s for its outcome and 1 s for the message.
_CANCEL_S = 6.0 + _GRACE_S
_SINGLE = ("request", "issued")
_DECLARED_S = {"declared_too_short": 0.001, "declared_too_long": 2.0}


class _Call:
    """One submission of the job under test."""

    def __init__(self, system: StepSimulation, request: JobRequest) -> None:
        self._system = system
        self.request = request
        self.first_entry = COORDINATOR
        self.answers: list[Answer] = []
        self.cancel_code: int | None = None
        self.cancel_begun = False
        self.cancel_done = anyio.Event()

    def use_key(self, key: str) -> None:
        """Use an issued key instead of a caller key."""
        self.request = attrs.evolve(self.request, key=key, valid_until=None)

    async def submit(self, entry_id: str, deadline_s: float = DEADLINE_S) -> int:
        """Submit through an entry process and return the code."""
        system = self._system
        request = attrs.evolve(self.request, deadline_ms=int(deadline_s * 1000))
        answers: list[Answer] = []
        done = anyio.Event()

        async def call() -> None:
            try:
                answer = await running.entry.coordinator.submit(request)
                if entry_id == self.first_entry:
                    system.step_reached("answer_sent")
                await anyio.sleep(0.001)
                answers.append(answer)
            finally:
                done.set()

        begun = anyio.current_time()
        if entry_id not in system.running_by_id:
            return NO_ANSWER
        running = system.running_by_id[entry_id]
        system.spawn(entry_id, call)
        if entry_id == self.first_entry:
            system.step_reached("received")
        await done.wait()
        if not answers:
            assert system.running_by_id.get(entry_id) is not running, "no answer"
            return NO_ANSWER
        if entry_id not in system.ever_paused:
            assert anyio.current_time() - begun <= deadline_s + _GRACE_S, "P2: late answer"
        self.answers += answers
        return answers[0].code

    async def cancel(self, entry_id: str) -> None:
        """Cancel the job through an entry process."""
        coordinator = self._system.running_by_id[entry_id].entry.coordinator
        self.cancel_begun = True
        self._system.step_reached("cancel_requested")
        answer = await coordinator.cancel("t", self.request.key)
        self._system.step_reached("cancel_answered")
        self.answers.append(answer)
        self.cancel_code = answer.code
        self.cancel_done.set()


def run_cell(folder: Path, operation: str, step: str, fault: str) -> Seen:
    """Cause a fault at a step of an operation and return what was seen."""
    seen: list[Seen] = []
    folder.mkdir(exist_ok=True)
    system = StepSimulation(folder, "bb" if operation in _SINGLE else "bbca")
    system.step = step
    parts = [FAULTS[name] for name in fault.split("+") if name in FAULTS]

    def cause(_: StepSimulation) -> None:
        for part in parts:
            part(system)

    system.fault = cause
    count = 1 if operation in _SINGLE else 6
    request = JobRequest(
        key=system.make_caller_key("order"),
        team="t",
        service="hem",
        deadline_ms=0,
        tasks=task_specs("main", count, declared_s=_DECLARED_S.get(fault, 0.1)),
        valid_until=WALL_CLOCK_START + 1_000,
    )

    async def scenario(system: StepSimulation) -> None:
        call = _Call(system, request)
        again_entry = resubmit_entry = OTHER_ENTRY
        if operation == "issued":
            # The caller reaches another entry process than the one that issued the key.
            coordinator = system.running_by_id[COORDINATOR].entry.coordinator
            call.use_key(coordinator.issue_keys(1)[0])
            call.first_entry, resubmit_entry, again_entry = OTHER_ENTRY, COORDINATOR, HOLDER
        system.cancel_main = lambda: call.cancel(OTHER_ENTRY)
        system.resubmit_main = lambda: call.submit(resubmit_entry, 3.0)
        submit_other(system, OTHER_ENTRY, "neighbour", count=2)
        if operation == "cancellation":
            system.on_running = lambda: system.group.start_soon(call.cancel, OTHER_ENTRY)
        code = await call.submit(call.first_entry)
        assert system.reached_at is not None, f"step {step} was not reached"
        # Until all faults have healed and late messages have arrived.
        settle_s = max(SETTLE_S.get(name, 0.6) for name in fault.split("+"))
        await anyio.sleep(max(system.reached_at + settle_s - anyio.current_time(), 0.3))
        if call.cancel_begun:
            with anyio.fail_after(_CANCEL_S):
                await call.cancel_done.wait()
        starts = system.starts()
        tasks = tuple(starts[f"main.{index}"] for index in range(count))
        again = await call.submit(again_entry, 2.0)
        await anyio.sleep(0.3)
        seen.append(Seen(code, tasks, again, call.cancel_code))
        check_promises(system, call.request, call.answers, system.starts())

    run_virtual(lambda: system.run_scenario(scenario), seed=1)
    return seen[0]


def check_promises(
    system: StepSimulation, request: JobRequest, answers: list[Answer], starts: dict[str, int]
) -> None:
    """Fail if a promise of section 1.2 is broken."""
    assert max(starts.values(), default=0) <= 1, f"P1, P5: second start {starts}"
    for answer in answers:
        _check_answer(request, answer, starts)
    # A refusal may be followed by a start only through a later submission.
    if answers and answers[-1].code // 1000 == 2:
        assert not any(starts[task.payload["id"]] for task in request.tasks), "P4: it ran"
    for other, answer, took_s in system.others:
        _check_answer(other, answer, starts)
        if answer.code // 1000 == 2:
            assert not any(starts[task.payload["id"]] for task in other.tasks), "P4: it ran"
        assert took_s <= other.deadline_ms / 1000 + _GRACE_S or system.ever_paused, "late"
        if other.tasks[0].cores > 32:
            assert answer.code == 2106, answer
    for backend in system.backends():
        assert not backend.late_starts, "P6: work for a leaving backend server"


def _check_answer(request: JobRequest, answer: Answer, starts: dict[str, int]) -> None:
    ids = [task.payload["id"] for task in request.tasks]
    assert (answer.results is not None) == (answer.code == 1000), f"P2: {answer}"
    if answer.code == 1000:
        assert answer.results == ids, f"P3: {answer}"
    if answer.code // 1000 == 1:
        assert all(starts[item] == 1 for item in ids), f"P2: {answer} without all starts"
