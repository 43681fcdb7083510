"""Construction of the answers to callers."""

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
    """Builds answers, which carry the version of the active configuration."""

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
        """Return the final answer of a job with its results or its failed tasks."""
        answer = self.make(key, code, _MESSAGE_BY_CODE.get(code, ""))
        if code is ResultCode.COMPLETE:
            return attrs.evolve(answer, results=job.values)
        if code is ResultCode.TASKS_FAILED:
            return attrs.evolve(answer, failed=job.failed_tasks())
        return answer

    def current_answer(self, record: KeyRecord, job: Job) -> Answer:
        """Return the final answer of a job, or one that tells why its outcome is not known yet."""
        if job.answer is not None:
            return job.answer
        if job.claim_pending:
            return self.make(
                record.key,
                ResultCode.HOME_UNREACHABLE,
                "the key registry of the home domain has not answered in time",
            )
        if job.cancelled:
            return self.make(
                record.key,
                ResultCode.CANCELLED_AFTER_START,
                "the job was cancelled; tasks may have started",
            )
        return self.make(
            record.key,
            ResultCode.DEADLINE_AFTER_START,
            "the deadline has passed; tasks may have started; look up the key later",
        )

    def retained_answer(self, record: KeyRecord) -> Answer:
        """Return the retained answer of a key.

        If that was dropped, the answer has code 1003 for a job that ran, and otherwise
        the code of the job without its results.
        """
        if record.answer is not None:
            self._counters.add("answers.retained")
            return record.answer
        code = ResultCode(record.code)
        if code.meaning is Meaning.RAN:
            return self.make(
                record.key,
                ResultCode.ANSWER_DROPPED,
                "the job ran; its answer is no longer retained",
            )
        return self.make(record.key, code, "the answer is no longer retained in full")

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
        """Return the answer to a refused request, and count the refusal by its code.

        A refusal for overload carries the delay after which to resubmit, one
        while draining the addresses of other entry processes.
        """
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
    ResultCode.TASKS_FAILED: "all tasks ran and at least one failed",
    ResultCode.DEADLINE_BEFORE_START: "the deadline passed before any task started",
    ResultCode.CANCELLED_BEFORE_START: "the job was cancelled before any task started",
    ResultCode.CANCELLED_AFTER_START: "the job was cancelled when tasks may have started",
    ResultCode.NO_BACKEND: "no backend server of the service is available",
    ResultCode.HOME_UNREACHABLE: "the key registry of the home domain is unreachable",
    ResultCode.COORDINATOR_UNREACHABLE: "the coordinator of the key is unreachable",
    ResultCode.BACKEND_LOST: "contact with a backend server was lost while it may have run a task",
    ResultCode.PARTLY_RAN: "some tasks ran and others did not",
}
