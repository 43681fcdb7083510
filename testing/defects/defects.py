"""Deliberate defects and the tests that must fail with each.

`before` must occur exactly once in the whole of `src`; `after` replaces it. The defect is caught
if one of `tests` then fails. If a rename changes a text here, update it in the same commit.
"""

import attrs


@attrs.frozen
class Defect:
    """A change to the source that breaks a guarantee, and the tests that must notice it."""

    name: str
    before: str
    after: str
    tests: tuple[str, ...]


HOLDER = "testing/dispatch/test_holder.py::"
PARTS = "testing/dispatch/test_parts.py::"
JOBS = "testing/jobs/test_coordinator.py::"
CONTROL = "testing/control/"

DEFECTS = (
    Defect(
        "a sent task is queued again after its result was lost",
        "        if self._may_retry(task, now):\n",
        "        if task.batch.deadline_at > now and not task.is_retry:\n",
        (HOLDER + "test_a_lost_result_is_requested_and_its_task_is_not_started_again",),
    ),
    Defect(
        "a vote is sent before it is synced",
        "    stored = await log.try_sync()\n    granted = stored and log.term ==",
        "    granted = log.term ==",
        (CONTROL + "test_replication.py::test_vote_is_not_given_before_it_is_synced",),
    ),
    Defect(
        "a stale configuration version is accepted",
        "            if configuration.version <= self._configuration.version:\n",
        "            if configuration.version == self._configuration.version:\n",
        (CONTROL + "test_feed.py",),
    ),
    Defect(
        "a replica that lacks committed entries counts as current",
        "self.has_majority() and not self.unapplied_entries() and",
        "self.has_majority() and",
        (CONTROL + "test_outdated_replicas.py",),
    ),
    Defect(
        "committed entries are applied after the own sync",
        "    replica.commit_to(min(message.commit_index, match_index))\n"
        "    stored = await log.try_sync() and not lacks_entries\n",
        "    stored = await log.try_sync() and not lacks_entries\n"
        "    replica.commit_to(min(message.commit_index, match_index))\n",
        (CONTROL + "test_outdated_replicas.py",),
    ),
    Defect(
        "a result is matched by position instead of start id",
        "pending.pop(result.start_id, None)",
        'pending.pop(next(iter(pending), ""), None)',
        (HOLDER + "test_results_are_matched_by_start_id_whatever_their_order",),
    ),
    Defect(
        "a lease is not checked after a pause",
        " or announcement.leaving or not self.lease.held(now):\n",
        " or announcement.leaving or not self.lease.expires_at:\n",
        (HOLDER + "test_announcements_received_just_after_a_pause_renew_no_lease",),
    ),
    Defect(
        "a partial answer is returned",
        "        if ran == total:\n            complete = count[TaskState.DONE] == total\n",
        "        if ran:\n            complete = count[TaskState.DONE] > 0\n",
        (JOBS + "test_job_with_ran_and_not_started_tasks_gives_3107_without_results",),
    ),
    Defect(
        "a task that was sent is reported as not started",
        "                status=OutcomeStatus.UNKNOWN,\n                error=reason,\n",
        "                status=OutcomeStatus.NOT_STARTED,\n                error=reason,\n",
        (HOLDER + "test_a_lost_result_is_requested_and_its_task_is_not_started_again",),
    ),
    Defect(
        "a claim is granted before its sync",
        "            await self._file.sync(sequence)\n",
        "            pass\n",
        (CONTROL + "test_registry.py",),
    ),
    Defect(
        "a job with a caller key is started without a claim",
        "        if record.claimed:\n            self._runner.place(record, job)\n",
        "        if True:\n            self._runner.place(record, job)\n",
        (JOBS + "test_unreachable_home_starts_no_task_and_the_key_stays_usable",),
    ),
    Defect(
        "a job with an issued key of an earlier incarnation is started",
        "            if (key.entry_id, key.incarnation) != (self._entry_id, self._incarnation):\n"
        "                return await self._remote.forward(",
        "            if key.entry_id != self._entry_id:\n"
        "                return await self._remote.forward(",
        (JOBS + "test_unreachable_or_restarted_coordinator_gives_3101",),
    ),
    Defect(
        "a cancellation after the send is answered with 'cancelled before start'",
        "            return ResultCode.CANCELLED_AFTER_START\n        return",
        "            return ResultCode.CANCELLED_BEFORE_START\n        return",
        (JOBS + "test_cancel_submission_and_lookup_agree_on_one_outcome",),
    ),
    Defect(
        "a repeated RunBatch is started again",
        "        if batch_id <= self._highest_evicted_id or batch_id in self._recorded_ids:\n",
        "        if batch_id <= self._highest_evicted_id:\n",
        (HOLDER + "test_a_repeated_batch_starts_nothing_and_a_replaced_coordinator_is_dropped",),
    ),
    Defect(
        "the answers to commands are lost when a snapshot is loaded",
        "        self.answer_by_command = dict(image.answers)\n",
        "        self.answer_by_command = {}\n",
        (CONTROL + "test_state.py::test_answers_are_kept_in_snapshots_and_bounded",),
    ),
    Defect(
        "a drained backend server is still used",
        "frozenset(configuration.drained_backends + configuration.stopped_backends)",
        "frozenset(configuration.stopped_backends)",
        (HOLDER + "test_drains_and_cancellations_are_checked_up_to_the_send",),
    ),
    Defect(
        "quarantine is never entered",
        "        return (\n"
        "            self._consecutive_failures >= _CONSECUTIVE_FAILURE_LIMIT\n"
        "            or self._recent_successes.count(False) * 2 > _WINDOW_TASKS\n"
        "        )\n",
        "        return False\n",
        (PARTS + "test_quarantine_probes_with_one_task_and_backs_off_longer_after_each_failure",),
    ),
    Defect(
        "the quota of a team is not checked",
        "    if in_flight + tasks <= limit:\n",
        "    if in_flight + tasks <= limit or team.name:\n",
        (JOBS + "test_whole_quota_is_usable_at_any_entry_process_and_counts_tasks_of_all",),
    ),
)
