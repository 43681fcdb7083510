"""The load generator detects violated guarantees in answers, ledgers and counters."""

from __future__ import annotations

from collections import Counter

import attrs

from apricotpoint._bench.trace import TracedJob, TracedTask
from apricotpoint._load.counters import difference
from apricotpoint._load.driver import _results_match
from apricotpoint._load.ledgers import compare
from apricotpoint._load.outcome import Outcome
from apricotpoint._wire.jobs import Answer
from apricotpoint._wire.tasks import TaskSpec

JOB = TracedJob(0.0, "hem", [TracedTask(TaskSpec("a"), 0.1), TracedTask(TaskSpec("a"), 0.1)])


def outcome(number: int, code: int, repeated: int | None = None) -> Outcome:
    repeated_answer = None if repeated is None else Answer(key="k", code=repeated)
    return Outcome(
        number, f"r-{number}", JOB, Answer(key="k", code=code), 0.1, True, repeated_answer
    )


def test_ledgers_show_double_starts_and_false_answers():
    """Guards against a comparison that passes although ledgers and answers disagree."""
    complete_starts = {("r-0", "0"): 1, ("r-0", "1"): 1}
    outcomes = [outcome(0, 1000), outcome(1, 2104)]
    matching = compare(outcomes, Counter(complete_starts), run_id="r")
    assert (matching.starts, matching.repeated_tasks) == (2, 0)
    assert not matching.refused_but_started
    assert not matching.complete_but_not_started

    twice = compare(outcomes, Counter(complete_starts | {("r-0", "1"): 2}), run_id="r")
    assert twice.repeated_tasks == 1
    refused = compare(outcomes, Counter(complete_starts | {("r-1", "0"): 1}), run_id="r")
    assert refused.refused_but_started == ["r-1 [2104]"]
    repeated = compare([outcome(0, 1000, repeated=2107)], Counter(complete_starts), run_id="r")
    assert repeated.refused_but_started == ["r-0 [1000, 2107]"]
    partial = Counter({("r-0", "0"): 1})
    assert compare(outcomes, partial, run_id="r").complete_but_not_started == ["r-0"]
    assert not compare(
        outcomes, partial, run_id="r", unread_addresses=["w"]
    ).complete_but_not_started
    # The same ledgers also hold starts of other runs, which must not be counted.
    assert compare(outcomes, Counter({("r2-1", "0"): 5}), run_id="r").starts == 0


def test_complete_answers_must_hold_all_results_of_their_own_job():
    """Guards against a load run that accepts missing, reordered or foreign results."""
    own = [{"job": "r-0", "task": 0}, {"job": "r-0", "task": 1}]
    answer = Answer(key="k", code=1000, results=own)
    assert _results_match(answer, "r-0", 2)
    assert not _results_match(answer, "r-1", 2)
    assert not _results_match(attrs.evolve(answer, results=own[:1]), "r-0", 2)
    assert not _results_match(attrs.evolve(answer, results=own[::-1]), "r-0", 2)
    assert not _results_match(attrs.evolve(answer, code=1001), "r-0", 2)


def test_counters_of_a_restarted_process_count_from_zero():
    """Guards against negative increases when a process restarts during a load run."""
    before = {"a": {"x": 5.0}, "b": {"x": 7.0}, "gone": {"x": 1.0}}
    assert difference(before, {"a": {"x": 8.0}, "b": {"x": 2.0}}) == {"x": 5.0}
