"""The load generator finds broken promises in answers, ledgers and counters."""

from __future__ import annotations

from collections import Counter

import attrs

from apricotpoint._bench.trace import TracedJob, TracedTask
from apricotpoint._load.counts import difference
from apricotpoint._load.driver import _is_whole
from apricotpoint._load.ledgers import compare
from apricotpoint._load.outcome import Outcome
from apricotpoint._wire.jobs import Answer
from apricotpoint._wire.tasks import TaskSpec

JOB = TracedJob(0.0, "hem", [TracedTask(TaskSpec("a"), 0.1), TracedTask(TaskSpec("a"), 0.1)])


def outcome(number: int, code: int, repeated: int | None = None) -> Outcome:
    again = None if repeated is None else Answer(key="k", code=repeated)
    return Outcome(number, f"r-{number}", JOB, Answer(key="k", code=code), 0.1, True, again)


def test_ledgers_show_double_starts_and_false_answers():
    """Guards against a check that passes whatever the ledgers say."""
    both = {("r-0", "0"): 1, ("r-0", "1"): 1}
    outcomes = [outcome(0, 1000), outcome(1, 2104)]
    good = compare(outcomes, Counter(both), run_id="r")
    assert (good.starts, good.repeated_tasks) == (2, 0)
    assert not good.refused_but_started
    assert not good.complete_but_not_started

    twice = compare(outcomes, Counter(both | {("r-0", "1"): 2}), run_id="r")
    assert twice.repeated_tasks == 1
    refused = compare(outcomes, Counter(both | {("r-1", "0"): 1}), run_id="r")
    assert refused.refused_but_started == ["r-1 [2104]"]
    repeated = compare([outcome(0, 1000, repeated=2107)], Counter(both), run_id="r")
    assert repeated.refused_but_started == ["r-0 [1000, 2107]"]
    partial = Counter({("r-0", "0"): 1})
    assert compare(outcomes, partial, run_id="r").complete_but_not_started == ["r-0"]
    assert not compare(outcomes, partial, run_id="r", unread=["w"]).complete_but_not_started
    # Tasks of another run in the same ledgers are not this run's.
    assert compare(outcomes, Counter({("r2-1", "0"): 5}), run_id="r").starts == 0


def test_answers_must_be_whole_and_own():
    own = [{"job": "r-0", "task": 0}, {"job": "r-0", "task": 1}]
    answer = Answer(key="k", code=1000, results=own)
    assert _is_whole(answer, "r-0", 2)
    assert not _is_whole(answer, "r-1", 2)
    assert not _is_whole(attrs.evolve(answer, results=own[:1]), "r-0", 2)
    assert not _is_whole(attrs.evolve(answer, results=own[::-1]), "r-0", 2)
    assert not _is_whole(attrs.evolve(answer, code=1001), "r-0", 2)


def test_counters_of_a_restarted_process_count_from_zero():
    before = {"a": {"x": 5.0}, "b": {"x": 7.0}, "gone": {"x": 1.0}}
    assert difference(before, {"a": {"x": 8.0}, "b": {"x": 2.0}}) == {"x": 5.0}
