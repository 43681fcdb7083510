"""Runs one cell of the operations `request`, `issued`, `job` and `cancellation`."""

from __future__ import annotations

from pathlib import Path

import anyio
import attrs
from matrix_faults import DEADLINE_S, FAULTS, SETTLE_S, submit_other, task_specs
from matrix_result import CellResult

from apricotpoint._bench.stepsimulation import (
    COORDINATOR,
    HOLDER,
    OTHER_ENTRY,
    WALL_CLOCK_START,
    StepSimulation,
)
from apricotpoint._bench.virtualtime import run_virtual
from apricotpoint._wire.jobs import Answer, JobRequest

# Stands for the result code if the entry process was killed before it answered.
NO_ANSWER = 0
# An answer may come this long after the deadline (section 1.8 of the design page).
_ANSWER_GRACE_S = 0.05
# An entry process waits 5 s for the outcome of a cancellation and 1 s for the message.
_CANCEL_TIMEOUT_S = 6.0 + _ANSWER_GRACE_S
_SINGLE_TASK_OPERATIONS = ("request", "issued")
_DECLARED_S_BY_FAULT = {"declared_too_short": 0.001, "declared_too_long": 2.0}


class _Caller:
    """The caller of the job under test; `answers` has the answers to all its requests."""

    def __init__(self, system: StepSimulation, request: JobRequest) -> None:
        self._system = system
        self.request = request
        self.first_entry = COORDINATOR
        self.answers: list[Answer] = []
        self.cancel_code: int | None = None
        self.cancel_started = False
        self.cancel_done = anyio.Event()

    def use_key(self, key: str) -> None:
        """Use an issued key instead of the caller key of the request."""
        self.request = attrs.evolve(self.request, key=key, valid_until=None)

    async def submit(self, entry_id: str, deadline_s: float = DEADLINE_S) -> int:
        """Submit through an entry process and return the result code of the answer.

        Returns `NO_ANSWER` if the process was killed before.
        """
        system = self._system
        request = attrs.evolve(self.request, deadline_ms=int(deadline_s * 1000))
        answers: list[Answer] = []
        done = anyio.Event()

        async def submit_and_record() -> None:
            try:
                answer = await running.entry.coordinator.submit(request)
                if entry_id == self.first_entry:
                    system.step_reached("answer_sent")
                await anyio.sleep(0.001)
                answers.append(answer)
            finally:
                done.set()

        started_at = anyio.current_time()
        if entry_id not in system.running_by_id:
            return NO_ANSWER
        running = system.running_by_id[entry_id]
        system.spawn(entry_id, submit_and_record)
        if entry_id == self.first_entry:
            system.step_reached("received")
        await done.wait()
        if not answers:
            assert system.running_by_id.get(entry_id) is not running, (
                "no answer from a running entry process"
            )
            return NO_ANSWER
        if entry_id not in system.ever_paused:
            assert anyio.current_time() - started_at <= deadline_s + _ANSWER_GRACE_S, (
                "P2: answer came too late"
            )
        self.answers += answers
        return answers[0].code

    async def cancel(self, entry_id: str) -> None:
        """Cancel the job through an entry process and record the answer."""
        coordinator = self._system.running_by_id[entry_id].entry.coordinator
        self.cancel_started = True
        self._system.step_reached("cancel_requested")
        answer = await coordinator.cancel("t", self.request.key)
        self._system.step_reached("cancel_answered")
        self.answers.append(answer)
        self.cancel_code = answer.code
        self.cancel_done.set()


def run_cell(folder: Path, operation: str, step: str, fault: str) -> CellResult:
    """Inject a fault at a step of an operation and return the observed result.

    `fault` is a name of `FAULTS`, or a pair "a+b". Names that are not in it only change the
    declared run time. Raises `AssertionError` if a guarantee P1 to P8 is broken.
    """
    results: list[CellResult] = []
    folder.mkdir(exist_ok=True)
    system = StepSimulation(folder, "bb" if operation in _SINGLE_TASK_OPERATIONS else "bbca")
    system.step = step
    faults = [FAULTS[name] for name in fault.split("+") if name in FAULTS]

    def inject(_: StepSimulation) -> None:
        for inject_one in faults:
            inject_one(system)

    system.fault = inject
    count = 1 if operation in _SINGLE_TASK_OPERATIONS else 6
    request = JobRequest(
        key=system.make_caller_key("order"),
        team="t",
        service="hem",
        deadline_ms=0,
        tasks=task_specs("main", count, declared_s=_DECLARED_S_BY_FAULT.get(fault, 0.1)),
        valid_until=WALL_CLOCK_START + 1_000,
    )

    async def scenario(system: StepSimulation) -> None:
        caller = _Caller(system, request)
        last_entry = resubmit_entry = OTHER_ENTRY
        if operation == "issued":
            # The job is submitted through another entry process than the one that issued the key.
            coordinator = system.running_by_id[COORDINATOR].entry.coordinator
            caller.use_key(coordinator.issue_keys(1)[0])
            caller.first_entry, resubmit_entry, last_entry = OTHER_ENTRY, COORDINATOR, HOLDER
        system.cancel_main = lambda: caller.cancel(OTHER_ENTRY)
        system.resubmit_main = lambda: caller.submit(resubmit_entry, 3.0)
        submit_other(system, OTHER_ENTRY, "neighbour", count=2)
        if operation == "cancellation":
            system.on_running = lambda: system.group.start_soon(caller.cancel, OTHER_ENTRY)
        code = await caller.submit(caller.first_entry)
        assert system.reached_at is not None, f"step {step} was not reached"
        # Wait until all faults are over and delayed messages have arrived.
        settle_s = max(SETTLE_S.get(name, 0.6) for name in fault.split("+"))
        await anyio.sleep(max(system.reached_at + settle_s - anyio.current_time(), 0.3))
        if caller.cancel_started:
            with anyio.fail_after(_CANCEL_TIMEOUT_S):
                await caller.cancel_done.wait()
        starts = system.starts()
        tasks = tuple(starts[f"main.{index}"] for index in range(count))
        resubmission_code = await caller.submit(last_entry, 2.0)
        await anyio.sleep(0.3)
        results.append(CellResult(code, tasks, resubmission_code, caller.cancel_code))
        check_guarantees(system, caller.request, caller.answers, system.starts())

    run_virtual(lambda: system.run_scenario(scenario), seed=1)
    return results[0]


def check_guarantees(
    system: StepSimulation, request: JobRequest, answers: list[Answer], starts: dict[str, int]
) -> None:
    """Fail if a guarantee of section 1.2 of the design page is broken."""
    assert max(starts.values(), default=0) <= 1, f"P1, P5: a task started twice: {starts}"
    for answer in answers:
        _check_answer(request, answer, starts)
    # After a refusal only a later submission may start tasks, so only the last answer counts.
    if answers and answers[-1].code // 1000 == 2:
        assert not any(starts[task.payload["id"]] for task in request.tasks), (
            "P4: a task of a refused job started"
        )
    for other, answer, took_s in system.others:
        _check_answer(other, answer, starts)
        if answer.code // 1000 == 2:
            assert not any(starts[task.payload["id"]] for task in other.tasks), (
                "P4: a task of a refused job started"
            )
        assert took_s <= other.deadline_ms / 1000 + _ANSWER_GRACE_S or system.ever_paused, (
            "P2: answer to another job came too late"
        )
        if other.tasks[0].cores > 32:
            assert answer.code == 2106, answer
    for backend in system.backends():
        assert not backend.late_starts, "P6: a task started on a leaving backend server"


def _check_answer(request: JobRequest, answer: Answer, starts: dict[str, int]) -> None:
    ids = [task.payload["id"] for task in request.tasks]
    assert (answer.results is not None) == (answer.code == 1000), (
        f"P2: exactly answers with code 1000 must have results: {answer}"
    )
    if answer.code == 1000:
        assert answer.results == ids, f"P3: wrong results or order: {answer}"
    if answer.code // 1000 == 1:
        assert all(starts[task_id] == 1 for task_id in ids), f"P2: not all tasks started: {answer}"
