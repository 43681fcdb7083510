"""Pauses simulated processes while the others continue."""

from __future__ import annotations

import anyio
import trio
import trio._core._run


class ProcessPauses(trio.abc.Instrument):
    """Keeps the descendants of the root tasks of paused processes from running.

    Their timers continue, so when a process resumes, everything that fell due
    meanwhile runs at once, as after the pause of a VM.
    """

    def __init__(self) -> None:
        self.root_task_by_process: dict[str, trio.lowlevel.Task] = {}
        self.paused: set[str] = set()
        self._resumed = anyio.Event()
        self._paused_tasks_by_process: dict[str, list[trio.lowlevel.Task]] = {}

    def pause(self, process: str) -> None:
        """Keep the tasks of a process from running until `resume`."""
        if not self.paused:
            trio.lowlevel.add_instrument(self)
        self.paused.add(process)

    def task_scheduled(self, task: trio.lowlevel.Task) -> None:
        """Take a task of a paused process out of the run queue."""
        process = self._process_of(task)
        if process in self.paused:
            trio._core._run.GLOBAL_RUN_CONTEXT.runner.runq.remove(task)
            self._paused_tasks_by_process.setdefault(process, []).append(task)

    def resume(self, process: str) -> None:
        """Let the tasks of a paused process run again."""
        self.paused.discard(process)
        self._resumed.set()
        self._resumed = anyio.Event()
        if not self.paused:
            trio.lowlevel.remove_instrument(self)
        runq = trio._core._run.GLOBAL_RUN_CONTEXT.runner.runq
        runq.extend(self._paused_tasks_by_process.pop(process, []))

    async def wait_until_resumed(self, *processes: str) -> None:
        """Wait until none of the processes is paused."""
        while self.paused & set(processes):
            await self._resumed.wait()

    def _process_of(self, task: trio.lowlevel.Task) -> str | None:
        roots = {root: process for process, root in self.root_task_by_process.items()}
        while task not in roots and task.parent_nursery is not None:
            task = task.parent_nursery.parent_task
        return roots.get(task)
