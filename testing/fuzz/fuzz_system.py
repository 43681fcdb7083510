"""The whole system on virtual time: processes, disks, backend servers, callers and operators.

A plan is a list of timed steps. A step is the name of a public method of
`SimulatedSystem` with its arguments; the method does not wait for the effect of the step,
other than for the start or end of a process.
"""

from __future__ import annotations

import math
import random
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import attrs
from control_network import Disk
from fuzz_oracle import LEAVING_START_LIMIT_S, Oracle, Submission

from apricotpoint._bench.faultybackend import FaultyBackend
from apricotpoint._bench.faultyentry import FaultyEntry
from apricotpoint._bench.faultynetwork import (
    FaultyNetwork,
    Process,
    connect_process,
    enable_process_pauses,
)
from apricotpoint._bench.virtualtime import run_virtual
from apricotpoint._control.identity import initialise
from apricotpoint._control.node import ControlNode
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._dispatch.exchange import BackendAddress, RunStatus, Start, StartResult
from apricotpoint._link.transport import PeerUnreachable
from apricotpoint._wire.announce import GuardState
from apricotpoint._wire.configuration import Change, ChangeReply, ChangeRequest
from apricotpoint._wire.jobs import JobRequest
from apricotpoint._wire.tasks import TaskSpec

START_UNIX_S = 1_800_000_000
DOMAINS = ["a", "b", "c"]
ENTRIES = ["a1", "a2", "b1", "c1"]
CONTROLS = ["ca", "cb", "cc"]
BACKENDS = ["wa", "wb", "wc"]
CONTROL_BY_DOMAIN = dict(zip(DOMAINS, CONTROLS, strict=True))
# After a fault the control processes elect a leader and the others fetch the configuration.
RECOVERY_S = 6.0
# After this time, a graceful stop closes the interfaces in spite of open requests.
_SHUTDOWN_GRACE_S = 30.0


@attrs.define(eq=False)
class Entry:
    """An entry process and its unanswered submissions; it takes requests while `up`."""

    process: Process
    parts: FaultyEntry
    group: anyio.abc.TaskGroup | None = None
    unanswered: set[Submission] = attrs.Factory(set)
    up: bool = False


class SimulatedSystem:
    """The system under test, the steps of plans and the oracle that checks it.

    `jobs` and `changes` are in the order of submission. `last_fault_at` is when a
    network fault last ended or changed, or a control process was last started. One
    control process in a plan may lose its disk; `replaced_disk_of` is its id.
    `failed` is set once tasks of a backend server were made to fail.
    """

    def __init__(self, group: anyio.abc.TaskGroup, folder: Path) -> None:
        self.oracle = Oracle()
        self.process_by_id: dict[str, Process] = {}
        self.network = FaultyNetwork(self.process_by_id)
        self.entry_by_id: dict[str, Entry] = {}
        self.backend_by_id: dict[str, FaultyBackend] = {}
        self.disk_by_id: dict[str, Disk] = {}
        self.node_by_id: dict[str, ControlNode] = {}
        self.jobs: list[JobRequest] = []
        self.changes: list[Change] = []
        self.last_fault_at = 0.0
        self.replaced_disk_of = ""
        self.failed = False
        self._group = group
        self._folder = folder
        self._last_incarnation = 0
        self._disk_count = 0
        self._random = random.Random(5)
        self._operator = Process("operator", "operator")
        self._operator_port = connect_process(self.network, self._operator, 1)

    async def start(self) -> None:
        """Start all processes and wait until they are ready for jobs."""
        self._group.start_soon(self.network.run)
        for control_id in CONTROLS:
            await self._new_disk(control_id, first=True)
            self._start_control(control_id)
        await anyio.sleep(4)
        await self._change("cb", "set_service", "desk", {})
        await self._change("ca", "set_team", "t", {"quota_tasks": 100})
        for entry_id in ENTRIES:
            await self._start_entry(entry_id)
        for index, backend_id in enumerate(BACKENDS):
            process = Process(backend_id, DOMAINS[index])
            self.process_by_id[backend_id] = process
            is_blocked = self.network.is_blocked_between
            self.backend_by_id[backend_id] = FaultyBackend(
                process, self._group, self._check_start, is_blocked
            )
            self._group.start_soon(self._announce, self.backend_by_id[backend_id])
        await anyio.sleep(3)
        self._group.start_soon(self._check_continuously)

    # Callers

    def submit(self, entry: str, tasks: int, run_s: float, deadline_s: float, issued: bool) -> None:
        """Submit a new job, with an issued key or else a caller key."""
        target = self.entry_by_id[entry]
        if not target.up or target.process.paused or target.parts.draining:
            return
        number = len(self.jobs)
        key = target.parts.coordinator.issue_keys(1)[0] if issued else f"order-{number}"
        # The results are the payloads, so a result of another job or another content is noticed.
        specs = [
            TaskSpec(
                "hem",
                {"key": key, "index": index, "content": "first", "run_s": run_s},
                idempotent=number % 2 == 0,
            )
            for index in range(tasks)
        ]
        valid_until = None if issued else int(START_UNIX_S + anyio.current_time()) + 600
        request = JobRequest(key, "t", "desk", int(deadline_s * 1000), specs, valid_until)
        self.jobs.append(request)
        self._submit(target, request, "first")

    def resubmit(self, entry: str, back: int, other: bool) -> None:
        """Submit the key of the `back`-th last job again, with `other` content if that is set."""
        target = self.entry_by_id[entry]
        if not self.jobs or not target.up:
            return
        request = self.jobs[-1 - back % len(self.jobs)]
        content = "other" if other else "first"
        specs = [
            attrs.evolve(spec, payload={**spec.payload, "content": content})
            for spec in request.tasks
        ]
        self._submit(target, attrs.evolve(request, tasks=specs), content)

    def cancel(self, entry: str, back: int) -> None:
        """Cancel the `back`-th last job through an entry process."""
        target = self.entry_by_id[entry]
        if not self.jobs or not target.up:
            return
        request = self.jobs[-1 - back % len(self.jobs)]

        async def cancel_and_check() -> None:
            answer = await target.parts.coordinator.cancel("t", request.key)
            self.oracle.check_cancel_answer(request, answer)

        self._run_in(target, cancel_and_check)

    def _submit(self, target: Entry, request: JobRequest, content: str) -> Submission:
        submission = self.oracle.record_submission(request, content)
        submission.exempt = target.process.paused

        # The connection is open even if the process is killed before it reads the request.
        target.unanswered.add(submission)

        async def submit_and_check() -> None:
            answer = await target.parts.coordinator.submit(request)
            target.unanswered.discard(submission)
            self.oracle.check_answer(submission, answer)

        self._run_in(target, submit_and_check)
        return submission

    def _run_in(self, target: Entry, handle: Callable[[], Awaitable[None]]) -> None:
        assert target.group is not None
        group = target.group
        target.process.receive(lambda: group.start_soon(handle))

    # Entry processes

    async def _start_entry(self, entry_id: str) -> None:
        self._last_incarnation += 1
        process = Process(entry_id, entry_id[0])
        self.process_by_id[entry_id] = process

        def send(address: BackendAddress, starts: list[Start]) -> AsyncIterator[StartResult]:
            return self.backend_by_id[address.backend_id].send(process, address, starts)

        parts = FaultyEntry(
            process,
            self.network,
            CONTROL_BY_DOMAIN,
            incarnation=self._last_incarnation,
            entry_ids=lambda: ENTRIES,
            generator=random.Random(entry_id),
            send_to_backend=send,
            fetch_result=lambda address, start_id: self.backend_by_id[
                address.backend_id
            ].fetch_result(process, address, start_id),
            cancel_on_backend=lambda address, ids: self.backend_by_id[address.backend_id].cancel(
                process, address, ids
            ),
        )
        parts.on_stopped = lambda: self.stop_entry(entry_id)
        observer = (entry_id, self._last_incarnation)
        parts.feed.subscribe(lambda configuration: self.oracle.version(observer, configuration))
        entry = self.entry_by_id[entry_id] = Entry(process, parts)
        process.context.run(self._group.start_soon, self._serve_entry, entry)
        await anyio.sleep(0.1)

    async def _serve_entry(self, entry: Entry) -> None:
        with entry.process.scope:
            async with entry.parts, anyio.create_task_group() as entry.group:
                entry.up = True
                await anyio.sleep_forever()
        entry.process.ended.set()

    async def kill_entry(self, entry: str) -> None:
        """Kill an entry process; its callers lose their connections."""
        target = self.entry_by_id[entry]
        if target.process.dead:
            return
        target.up = False
        for submission in target.unanswered:
            submission.exempt = True
        target.process.dead = True
        self.network.remove(entry)
        target.process.scope.cancel()
        target.process.resume()
        await target.process.ended.wait()

    async def start_entry(self, entry: str) -> None:
        """Start a new incarnation of an entry process if it was killed."""
        if self.entry_by_id[entry].process.dead:
            await self._start_entry(entry)

    def stop_entry(self, entry: str) -> None:
        """Drain an entry process and stop it once it is idle."""
        target = self.entry_by_id[entry]
        if target.up and not target.process.paused and not target.parts.stopping:
            target.parts.stopping = True
            target.parts.start_draining()
            self._group.start_soon(self._stop_entry, target)

    async def _stop_entry(self, target: Entry) -> None:
        await anyio.sleep(6)
        while not (target.parts.coordinator.idle() and target.parts.holder.idle()):  # noqa: ASYNC110
            await anyio.sleep(0.05)
        if target.up and not target.process.paused:
            now = anyio.current_time()
            # A request that arrived during a pause may not have been read when the pause ends.
            unanswered = [
                submission
                for submission in target.unanswered
                if submission.submitted_at < now - 0.05 and not submission.exempt
            ]
            assert not unanswered, (
                "P7: a process reports that it is idle, but has unanswered requests"
            )
            # The interfaces accept no more requests and finish those that came last.
            target.up = False
            with anyio.move_on_after(_SHUTDOWN_GRACE_S):
                while target.unanswered:  # noqa: ASYNC110
                    await anyio.sleep(0.05)
            assert not target.unanswered, (
                "P7: a graceful stop closed the connection of an unanswered request"
            )
            await self.kill_entry(target.process.process_id)

    # Control processes

    async def _new_disk(self, control_id: str, *, first: bool) -> None:
        self._disk_count += 1
        disk = Disk(self._folder / f"{control_id}-{self._disk_count}")
        self.disk_by_id[control_id] = disk
        wall_clock_s = START_UNIX_S + anyio.current_time()
        await initialise(
            disk.storage(),
            node_id=control_id,
            first=first,
            initialised_at=wall_clock_s,
            random=self._random,
        )

    def _start_control(self, control_id: str) -> None:
        self._last_incarnation += 1
        process = Process(control_id, control_id[1])
        port = connect_process(self.network, process, self._last_incarnation)
        disk = self.disk_by_id[control_id]
        node = ControlNode(
            node_id=control_id,
            failure_domain=process.domain,
            members=CONTROLS,
            data_folder=disk.folder,
            transport=port,
            timers=TimerService(wall_clock=lambda: START_UNIX_S + anyio.current_time()),
            counters=Counters(),
            random=random.Random(f"{control_id}{disk.incarnation}"),
            storage=disk.storage(),
        )

        async def serve() -> None:
            with process.scope:
                try:
                    async with anyio.create_task_group() as group:
                        group.start_soon(port.run)
                        async with node:
                            self.node_by_id[control_id] = node
                            await anyio.sleep_forever()
                except* Exception as errors:
                    if not (process.dead or disk.sync_error):
                        raise errors from None
            self.node_by_id.pop(control_id, None)
            self.network.remove(control_id)
            process.dead = True
            process.ended.set()

        process.context.run(self._group.start_soon, serve)

    async def kill_control(self, control: str) -> None:
        """Kill a control process; its disk loses what was not synced."""
        process = self.process_by_id[control]
        if process.dead:
            return
        process.dead = True
        self.network.remove(control)
        disk = self.disk_by_id[control]
        disk.incarnation += 1
        process.scope.cancel()
        process.resume()
        await process.ended.wait()
        disk.crash()

    async def start_control(self, control: str, lost_disk: bool) -> None:
        """Start a control process that has ended, with an empty disk if `lost_disk` is set.

        Only one control process of a plan loses its disk; for others `lost_disk` is ignored.
        """
        if not self.process_by_id[control].dead:
            return
        if lost_disk and not self.replaced_disk_of:
            self.replaced_disk_of = control
            await self._new_disk(control, first=False)
        self.disk_by_id[control].sync_error = None
        self._start_control(control)
        self.last_fault_at = anyio.current_time()

    def fail_sync(self, control: str) -> None:
        """Make each sync of a control process fail; the next one ends the process."""
        self.disk_by_id[control].sync_error = OSError(5, "input/output error")

    # Operators

    def change(self, control: str, action: str, target: str, behind: int) -> None:
        """Send a change whose base version is `behind` versions older than the accepted one."""
        base = max(0, self.oracle.accepted_version - behind)
        self._group.start_soon(self._change, control, action, target, {}, base)

    def resend(self, control: str, back: int) -> None:
        """Send the `back`-th last command again."""
        if self.changes:
            change = self.changes[-1 - back % len(self.changes)]
            self._group.start_soon(self._send_change, control, change)

    async def _change(
        self, control: str, action: str, target: str, arguments: Any, base: int | None = None
    ) -> ChangeReply | None:
        base = self.oracle.accepted_version if base is None else base
        change = Change(f"c-{len(self.changes)}", base, action, target, arguments)
        self.changes.append(change)
        return await self._send_change(control, change)

    async def _send_change(self, control: str, change: Change) -> ChangeReply | None:
        if change.action.startswith("undrain"):
            self.oracle.drained_at[change.target] = math.inf
        try:
            reply = await self._operator_port.request(control, ChangeRequest(change), timeout_s=9.5)
        except PeerUnreachable:
            return None
        assert isinstance(reply, ChangeReply)
        latest = reply.code == 4000 and reply.version > self.oracle.accepted_version
        self.oracle.check_change_reply(change.command_id, reply.code, reply.version)
        if latest and change.action in ("drain_backend", "stop_backend"):
            self.oracle.drained_at.setdefault(change.target, anyio.current_time())
        return reply

    # Backend servers

    def _check_start(
        self, backend: FaultyBackend, sender_id: str, start: Start, sent_at: float
    ) -> None:
        leaving_at = backend.leaving_at
        drained_at = self.oracle.drained_at.get(backend.backend_id, math.inf)
        fault_free_at = self.fault_free_since(self.process_by_id[sender_id])
        leaving_at = min(leaving_at, max(drained_at, fault_free_at))
        self.oracle.start(start.payload, sent_at, leaving_at)

    async def _announce(self, backend: FaultyBackend) -> None:
        while True:
            if not backend.process.dead:
                with anyio.move_on_after(1.0):
                    await self._announce_once(backend)
            await anyio.sleep(0.5)

    async def _announce_once(self, backend: FaultyBackend) -> None:
        is_blocked = self.network.is_blocked_between
        reachable = [
            entry
            for entry_id, entry in self.entry_by_id.items()
            if entry.up
            and not is_blocked(entry_id, backend.backend_id)
            and not is_blocked(backend.backend_id, entry_id)
        ]
        if not reachable:
            return
        target = self._random.choice(reachable)
        announcement = backend.announcement()
        done = anyio.Event()

        def announce() -> None:
            reply = target.parts.holder.handle_announcement(announcement)
            if not done.is_set() and announcement.incarnation == backend.incarnation:
                backend.apply(reply)
            done.set()

        await anyio.sleep(0.0005)
        target.process.receive(announce)
        try:
            await done.wait()
        finally:
            done.set()

    def behave(self, backend: str, **behaviour: Any) -> None:
        """Set attributes of a `FaultyBackend` that make it answer late, twice, or with failures."""
        self.failed |= behaviour.get("fails", False)
        for name, value in behaviour.items():
            setattr(self.backend_by_id[backend], name, value)

    def go_silent(self, backend: str) -> None:
        """Drop all results on the open connections of a backend server."""
        self.backend_by_id[backend].silence_connections()

    def set_guard(self, backend: str, guard: GuardState) -> None:
        """Set the guard state that a backend server announces; `STOP` ends its running tasks."""
        self.backend_by_id[backend].guard = guard
        if guard is GuardState.STOP:
            self.backend_by_id[backend].stop_tasks(RunStatus.STOPPED)

    def leave(self, backend: str) -> None:
        """Announce from now on that a backend server is leaving."""
        target = self.backend_by_id[backend]
        target.leaving_at = min(target.leaving_at, anyio.current_time())

    def kill_backend(self, backend: str) -> None:
        """Kill a backend server; a new incarnation starts after 1 s."""
        target = self.backend_by_id[backend]
        if not target.process.dead:
            target.process.dead = True
            target.restart()
            self._group.start_soon(self._finish_restart, target)

    async def _finish_restart(self, backend: FaultyBackend) -> None:
        await anyio.sleep(1)
        backend.process.dead = False

    # Faults of processes and network

    def pause(self, process: str) -> None:
        """Pause all tasks of a process until `wake`."""
        target = self.process_by_id[process]
        if not target.dead and not target.paused:
            target.paused = True
            if process in self.entry_by_id:
                for submission in self.entry_by_id[process].unanswered:
                    submission.exempt = True

    def wake(self, process: str) -> None:
        """Resume a paused process."""
        self.process_by_id[process].resume()

    def cut(self, sender: str, receiver: str, both: bool) -> None:
        """Block the messages from one failure domain to another, in both directions if `both`."""
        if sender != receiver:
            self.network.blocked_links.add((sender, receiver))
            if both:
                self.network.blocked_links.add((receiver, sender))

    def heal(self) -> None:
        """Unblock all links between failure domains."""
        self.last_fault_at = anyio.current_time()
        self.network.blocked_links.clear()
        self.network.release_blocked()

    def disturb(self, drop: float, repeat: float, jitter_s: float) -> None:
        """Set the probabilities of loss and duplication and the maximum delay of messages."""
        self.last_fault_at = anyio.current_time()
        network = self.network
        network.drop_probability, network.duplicate_probability, network.jitter_s = (
            drop,
            repeat,
            jitter_s,
        )

    def fault_free_since(self, process: Process) -> float:
        """Return since when no fault delays changes on their way to a process.

        Includes the time for recovery; infinity while there is such a fault.
        """
        network = self.network
        controls = [self.process_by_id[item] for item in CONTROLS]
        if network.blocked_links or network.drop_probability or network.jitter_s or process.paused:
            return math.inf
        if any(item.dead or item.paused for item in controls):
            return math.inf
        times = [item.last_resumed_at for item in [*controls, process]]
        return max(*times, process.started_at, self.last_fault_at) + RECOVERY_S

    async def _check_continuously(self) -> None:
        while True:
            await anyio.sleep(0.25)
            for control_id, node in self.node_by_id.items():
                replica = getattr(node, "replica", None)
                if replica is not None:
                    observer = self.disk_by_id[control_id].folder.name, node
                    self.oracle.version(observer, replica.state.configuration)
            for entry_id, entry in self.entry_by_id.items():
                if entry.up and not entry.process.paused:
                    version = entry.parts.feed.configuration().version
                    fault_free_at = self.fault_free_since(entry.process)
                    self.oracle.check_active_version(entry_id, version, fault_free_at)
                    # Report an overdue submission even if it is never answered.
                    for submission in entry.unanswered:
                        overdue = anyio.current_time() > submission.due_at + 0.01
                        assert submission.exempt or not overdue, f"no answer in time: {submission}"

    # End

    async def finish(self) -> None:
        """End all faults, then check that the system accepts and completes jobs again."""
        self.disturb(0.0, 0.0, 0.0)
        self.heal()
        for process in self.process_by_id.values():
            process.resume()
        for control_id in CONTROLS:
            self.disk_by_id[control_id].sync_error = None
            await self.start_control(control_id, False)
        for entry_id in ENTRIES:
            await self.start_entry(entry_id)
        for backend in self.backend_by_id.values():
            backend.fails, backend.lag_s, backend.request_lag_s = False, 0.0, 0.0
            backend.guard = GuardState.RUNNING
            if backend.leaving_at < math.inf:
                self.kill_backend(backend.backend_id)
        await anyio.sleep(RECOVERY_S + LEAVING_START_LIMIT_S + 1)
        # All accepted drains are active now.
        for entry_id in ENTRIES * 2:
            self.submit(entry_id, 3, 0.05, 1.0, True)
        await anyio.sleep(1.5)
        for target in ENTRIES:
            await self._change_until_decided("undrain_vm", target)
        for target in BACKENDS:
            await self._change_until_decided("undrain_backend", target)
        if self.replaced_disk_of:
            await self._change_until_decided("remove_member", self.replaced_disk_of)
            await anyio.sleep(3)
            await self._change_until_decided("add_member", self.replaced_disk_of)
        # The longest time for which a quarantined backend server gets no task.
        await anyio.sleep(31 if self.failed else 8)
        stopped = self.entry_by_id["a1"].parts.feed.configuration().stopped_backends
        before = len(self.oracle.submissions)
        for entry_id, entry in self.entry_by_id.items():
            if not entry.up:
                await self.start_entry(entry_id)
                await anyio.sleep(5)
            self.submit(entry_id, 1, 0.05, 5.0, True)
            self.submit(entry_id, 1, 0.05, 5.0, False)
        await anyio.sleep(6)
        self.oracle.check_end()
        for submission in self.oracle.submissions[before:]:
            code = submission.answer.code if submission.answer else None
            may_be_lost = self.replaced_disk_of and code == 3108
            all_stopped = len(stopped) == len(BACKENDS) and code == 2109
            assert code == 1000 or may_be_lost or all_stopped, (
                f"job not completed after all faults ended: {submission}"
            )

    async def _change_until_decided(self, action: str, target: str) -> None:
        """Send a change until it is accepted or refused for good."""
        for attempt in range(20):
            reply = await self._change(CONTROLS[attempt % 3], action, target, {})
            if reply is None or reply.code in (4101, 4102):
                if reply is not None:
                    self.oracle.accepted_version = max(self.oracle.accepted_version, reply.version)
                await anyio.sleep(0.5)
                continue
            return
        raise AssertionError(
            f"{action} {target} was not decided in 20 attempts, last reply: {reply}"
        )


Plan = list[tuple[float, str, dict[str, Any]]]


def play(plan: Plan, *, seed: int = 1) -> Oracle:
    """Run a plan of (seconds to wait, step, arguments) and the final checks.

    Returns the oracle with what it recorded; raises on a broken guarantee.
    """
    enable_process_pauses()

    async def main() -> Oracle:
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as group:
                system = SimulatedSystem(group, Path(folder))
                await system.start()
                for wait_s, step, arguments in plan:
                    await anyio.sleep(wait_s)
                    result = getattr(system, step)(**arguments)
                    if result is not None:
                        await result
                await system.finish()
                group.cancel_scope.cancel()
            return system.oracle

    return run_virtual(main, seed=seed)
