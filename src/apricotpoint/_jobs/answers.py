"""Answers to callers."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from apricotpoint._core.codes import Meaning, ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._jobs import admission
from apricotpoint._jobs.job import Job
from apricotpoint._jobs.protocols import ClusterView
from apricotpoint._jobs.table import KeyRecord
from apricotpoint._jobs.views import MAX_REPORT_AGE_S
from apricotpoint._wire.configuration import Configuration
from apricotpoint._wire.jobs import Answer


class AnswerBuilder:
    """Makes answers that carry the configuration version in force."""

    def __init__(
        self,
        *,
        entry_id: str,
        counters: Counters,
        cluster: ClusterView,
        configuration: Callable[[], Configuration],
        configuration_current: Callable[[], bool],
    ) -> None:
        self._entry_id = entry_id
        self._counters = counters
        self._cluster = cluster
        self._configuration = configuration
        self._configuration_current = configuration_current

    def final_answer(self, job: Job, key: str, code: ResultCode) -> Answer:
        """Return the final answer of a job."""
        answer = self.make(key, code, _MESSAGE_BY_CODE.get(code, ""))
        if code is ResultCode.COMPLETE:
            return attrs.evolve(answer, results=job.values)
        if code is ResultCode.TASKS_FAILED:
            return attrs.evolve(answer, failed=job.failed_tasks())
        return answer

    def current_answer(self, record: KeyRecord, job: Job) -> Answer:
        """Return the answer of a job, or what can be said before it ends."""
        if job.answer is not None:
            return job.answer
        if job.claim_pending:
            return self.make(
                record.key, ResultCode.HOME_UNREACHABLE, "the home has not answered in time"
            )
        if job.cancelled:
            return self.make(
                record.key, ResultCode.CANCELLED_AFTER_START, "cancelled, tasks may have started"
            )
        return self.make(
            record.key,
            ResultCode.DEADLINE_AFTER_START,
            "the deadline passed and tasks may have started; look the key up later",
        )

    def retained_answer(self, record: KeyRecord) -> Answer:
        """Return the retained answer of a key, or its code if the answer was dropped."""
        if record.answer is not None:
            self._counters.add("answers.retained")
            return record.answer
        code = ResultCode(record.code)
        if code.meaning is Meaning.RAN:
            return self.make(
                record.key, ResultCode.ANSWER_DROPPED, "the job ran; its answer is no longer held"
            )
        return self.make(record.key, code, "the answer is no longer held in full")

    def make(self, key: str, code: ResultCode, message: str = "") -> Answer:
        """Return an answer without results."""
        return Answer(
            key=key,
            code=int(code),
            message=message,
            config_version=self._configuration().version,
            config_current=self._configuration_current(),
        )

    def refusal(self, key: str, error: ApricotError) -> Answer:
        """Return the answer for a request that is refused."""
        self._counters.add(f"refusals.{int(error.code)}")
        message = f"{error.message}: {error.remedy}" if error.remedy else error.message
        answer = self.make(key, error.code, message)
        if isinstance(error, admission.OverloadError):
            return attrs.evolve(answer, retry_after_ms=error.retry_after_ms)
        if error.code is ResultCode.DRAINING:
            return attrs.evolve(answer, others=self._other_addresses())
        return answer

    def _other_addresses(self) -> list[str]:
        return [
            item.report.caller_address
            for item in self._cluster.live_entries(MAX_REPORT_AGE_S)
            if item.entry_id != self._entry_id and not item.report.draining
        ]


_MESSAGE_BY_CODE = {
    ResultCode.TASKS_FAILED: "every task ran and some failed",
    ResultCode.DEADLINE_BEFORE_START: "the deadline passed before any task started",
    ResultCode.CANCELLED_BEFORE_START: "cancelled before any task started",
    ResultCode.CANCELLED_AFTER_START: "cancelled after tasks may have started",
    ResultCode.NO_BACKEND: "no backend server of the service is available",
    ResultCode.HOME_UNREACHABLE: "the home of the key cannot be reached",
    ResultCode.COORDINATOR_UNREACHABLE: "the coordinator of the key cannot be reached",
    ResultCode.BACKEND_LOST: "a backend server was lost while it ran a task",
    ResultCode.PARTLY_RAN: "some tasks ran and some did not",
}
