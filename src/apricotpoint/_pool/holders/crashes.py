"""History of the runs that were lost with their backend servers, by task.

Each loss is recorded with its evidence of a crash, which grows or vanishes with what is heard of
the backend server later; `_pool.decisions.verdicts` judges a task by its losses.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Iterator

import attrs
import logbook
import msgspec
import xxhash

from apricotpoint._pool.decisions.verdicts import Evidence, Verdict, judge
from apricotpoint._wire.pool import LostRun, LostRunChanges, PoolBackend

# Losses are remembered for this long after the last change, for callers that submit again.
RETENTION_S = 120.0
# Digests are compared this long after the last change. Changes that are still on their way would
# make all differ, and have each hello of hundreds of processes answered with all rows.
SETTLING_S = 0.5
# Upper bound of the remembered tasks; the oldest are dropped first.
MAX_TASKS = 20_000

_log = logbook.Logger("crashes")


@attrs.define(eq=False)
class _Loss:
    """A run that was lost with its backend server, `alone` if no other run was there.

    `changed_at` is monotonic seconds.
    """

    row: LostRun
    changed_at: float

    @property
    def evidence(self) -> Evidence:
        return Evidence(self.row.evidence)


class CrashHistory:
    """The runs that were lost with their backend servers, by task, in all processes.

    `on_change` gets each change made here, for the other processes; `on_given_up` is called when
    tasks may have come to be given up. `now` returns monotonic seconds.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self.on_change: Callable[[LostRunChanges], None] = lambda _: None
        self.on_given_up: Callable[[], None] = lambda: None
        self._now = now
        # By the id and the start of the incarnation of the backend server.
        self._losses_by_task: dict[str, dict[tuple[str, int], _Loss]] = {}
        self._tasks_by_backend: dict[str, set[str]] = {}
        # Tasks that were given up, by the incarnations that they crashed.
        self._culprit_by_incarnation: dict[tuple[str, int], str] = {}
        # Digest of the crashes, None if it has to be made anew.
        self._digest: int | None = 0
        self._changed_at = float("-inf")
        self._given_up_kinds: set[str] = set()

    def verdict(self, task: str) -> Verdict:
        """Return how a task may start."""
        if task not in self._losses_by_task:
            return Verdict.CLEAR
        return judge((loss.evidence, loss.row.alone) for loss in self._unexplained_losses(task))

    def crash_count(self, task: str) -> int:
        """Return the number of crashes under a task that no other task explains."""
        return sum(loss.evidence >= Evidence.GONE for loss in self._unexplained_losses(task))

    def is_suspicious_kind(self, kind: str) -> bool:
        """Return whether a job of this kind had a task that was given up lately."""
        return kind in self._given_up_kinds

    def record_given_up(self, kind: str) -> None:
        """Record that a job of this kind had a task that was given up."""
        self._given_up_kinds.add(kind)

    def record(
        self,
        backend: PoolBackend,
        born_ms: int,
        tasks: Iterable[str],
        evidence: Evidence,
        *,
        alone: bool,
    ) -> None:
        """Record that the runs of these tasks were lost together with their backend server.

        `born_ms` is the start of its incarnation in unix milliseconds, 0 if it is not known;
        `alone` tells that it had no other runs.
        """
        rows = [
            LostRun(task, backend.backend_id, born_ms, backend.address, int(evidence), alone)
            for task in tasks
        ]
        if rows:
            self._apply(LostRunChanges(rows))

    def strengthen(self, backend_id: str, evidence: Evidence) -> None:
        """Record stronger evidence that a backend server on which runs were lost has crashed."""
        self._strengthen(evidence, lambda row: row.backend_id == backend_id)

    def record_gone(self, backend_id: str) -> None:
        """Record that a backend server is not heard of any more; each process notices it itself.

        Silence alone shows no crash, however long it lasts: partitions may last longer.
        """
        rows = [
            attrs.evolve(loss.row, evidence=int(Evidence.GONE))
            for loss in self._losses_on(backend_id)
            if loss.evidence is Evidence.REFUSED
        ]
        if rows:
            _log.notice("backend server {} is gone; runs were lost there", backend_id)
            self.merge(LostRunChanges(rows))

    def process_answer(self, backend_id: str, born_ms: int) -> None:
        """Process an answer of a backend server: it did not crash if it is the same incarnation."""
        if backend_id not in self._tasks_by_backend:
            return
        self._strengthen(
            Evidence.CRASHED,
            lambda row: row.backend_id == backend_id and 0 < row.born_ms < born_ms,
        )
        if any(loss.evidence != Evidence.CRASHED for loss in self._losses_on(backend_id)):
            self._apply(LostRunChanges([], [backend_id]))

    def process_announcement(self, announcement: PoolBackend) -> None:
        """Take a newer incarnation at the address of a backend server for the end of the latter.

        An announcement that was delayed may be of an older incarnation, which shows nothing. All
        processes get the announcement, so none reports what it shows to the others.
        """
        if not self._losses_by_task:
            return

        def is_replaced(row: LostRun) -> bool:
            if row.backend_id == announcement.backend_id:
                return 0 < row.born_ms < announcement.born_ms
            is_newer = not row.born_ms or row.born_ms < announcement.born_ms
            return row.address == announcement.address and is_newer

        rows = self._strengthened_rows(Evidence.CRASHED, is_replaced)
        if rows:
            self.merge(LostRunChanges(rows))

    def merge(self, message: LostRunChanges) -> None:
        """Process the changes that another process has made."""
        now, given_up = self._now(), []
        for backend_id in message.cleared:
            self._forget(backend_id)
        for row in message.rows:
            incarnation = (row.backend_id, row.born_ms)
            losses = self._losses_by_task.setdefault(row.task, {})
            known = losses.get(incarnation)
            if known is not None and known.row.evidence >= row.evidence:
                continue
            losses[incarnation] = _Loss(attrs.evolve(row, age_s=0.0), now - row.age_s)
            self._tasks_by_backend.setdefault(row.backend_id, set()).add(row.task)
            self._digest, self._changed_at = None, now
            if self.verdict(row.task) is Verdict.GIVEN_UP:
                given_up.append(row.task)
        for task in given_up:
            # The rows of its neighbours stay: processes that get the same rows in another order
            # must end up with the same ones.
            for incarnation in self._losses_by_task[task]:
                self._culprit_by_incarnation.setdefault(incarnation, task)
        excess = len(self._losses_by_task) - MAX_TASKS
        for task in list(itertools.islice(self._losses_by_task, max(excess, 0))):
            for incarnation in list(self._losses_by_task[task]):
                self._remove(task, incarnation)
        if given_up:
            self.on_given_up()

    def rows(self, least: Evidence = Evidence.SILENT) -> list[LostRun]:
        """Return the losses with this evidence or stronger one, with their ages."""
        now = self._now()
        return [
            attrs.evolve(loss.row, age_s=now - loss.changed_at)
            for loss in self._losses()
            if loss.evidence >= least
        ]

    def digest(self) -> int | None:
        """Return a digest of the crashes, 0 if none is known; equal ones need not be exchanged.

        None for `SETTLING_S` after a change.
        """
        if self._now() - self._changed_at < SETTLING_S:
            return None
        if self._digest is None:
            crashes = sorted(
                (loss.row.task, loss.row.backend_id, loss.row.born_ms)
                for loss in self._losses()
                if loss.evidence is Evidence.CRASHED
            )
            encoded = msgspec.msgpack.encode(crashes)
            self._digest = xxhash.xxh3_64_intdigest(encoded) if crashes else 0
        return self._digest

    def expire(self) -> None:
        """Forget what is too old to say anything about a task."""
        now = self._now()
        self._retain(lambda _, loss: now - loss.changed_at <= RETENTION_S)
        if not self._losses_by_task:
            self._given_up_kinds.clear()

    def _strengthened_rows(
        self, evidence: Evidence, applies: Callable[[LostRun], bool]
    ) -> list[LostRun]:
        return [
            attrs.evolve(loss.row, evidence=int(evidence))
            for loss in self._losses()
            if loss.evidence < evidence and applies(loss.row)
        ]

    def _strengthen(self, evidence: Evidence, applies: Callable[[LostRun], bool]) -> None:
        rows = self._strengthened_rows(evidence, applies)
        if rows:
            self._apply(LostRunChanges(rows))

    def _apply(self, message: LostRunChanges) -> None:
        """Process changes made here and pass them on."""
        if message.rows:
            row = message.rows[0]
            _log.notice(
                "runs of {} lost with backend server {}: evidence of a crash {}",
                ", ".join(item.task for item in message.rows),
                row.backend_id,
                Evidence(row.evidence).name.lower(),
            )
        else:
            _log.notice("backend servers {} answer again: they did not crash", message.cleared)
        self.merge(message)
        self.on_change(message)

    def _forget(self, backend_id: str) -> None:
        self._retain(
            lambda _, loss: loss.row.backend_id != backend_id or loss.evidence is Evidence.CRASHED
        )

    def _unexplained_losses(self, task: str) -> Iterator[_Loss]:
        """Return the losses of a task but those in crashes that a convicted task has caused."""
        for incarnation, loss in self._losses_by_task.get(task, {}).items():
            if self._culprit_by_incarnation.get(incarnation, task) == task:
                yield loss

    def _losses(self) -> Iterator[_Loss]:
        for losses in self._losses_by_task.values():
            yield from losses.values()

    def _losses_on(self, backend_id: str) -> list[_Loss]:
        return [
            loss
            for task in self._tasks_by_backend.get(backend_id, ())
            for loss in self._losses_by_task[task].values()
            if loss.row.backend_id == backend_id
        ]

    def _retain(self, is_retained: Callable[[str, _Loss], bool]) -> None:
        for task, losses in list(self._losses_by_task.items()):
            for incarnation, loss in list(losses.items()):
                if not is_retained(task, loss):
                    self._remove(task, incarnation)

    def _remove(self, task: str, incarnation: tuple[str, int]) -> None:
        losses, backend_id = self._losses_by_task[task], incarnation[0]
        del losses[incarnation]
        if self._culprit_by_incarnation.get(incarnation) == task:
            del self._culprit_by_incarnation[incarnation]
        self._digest = None
        if not losses:
            del self._losses_by_task[task]
        if not any(loss.row.backend_id == backend_id for loss in losses.values()):
            self._tasks_by_backend[backend_id].discard(task)
            if not self._tasks_by_backend[backend_id]:
                del self._tasks_by_backend[backend_id]
