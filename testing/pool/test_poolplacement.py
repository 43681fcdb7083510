"""Placement: where a task starts, when it waits for a faster backend server, when a run moves."""

from __future__ import annotations

import pytest
from pool_harness import FakeBackend, make_announcement, make_job

from apricotpoint._pool.decisions import admission, placement
from apricotpoint._pool.decisions.forecast import SlotForecast
from apricotpoint._pool.runs.heldbackend import HeldBackend
from apricotpoint._pool.runs.job import Job, Run

FAST, SLOW = 2.0, 1.0


def make_held_backend(backend_id: str, speed: float) -> HeldBackend:
    held = HeldBackend(make_announcement(backend_id), FakeBackend(), token=1, is_responsive=True)
    held.speed.restore(speed)
    return held


def open_job(work_s: float, *, count: int = 1, deadline_s: float = 1.5) -> Job:
    request = make_job(count=count, work_s=work_s, deadline_s=deadline_s)
    return Job(request=request, origin="", arrived_at=0.0, estimate_s=work_s)


def start(job: Job, held: HeldBackend, *, at: float = 0.0) -> Run:
    task = job.waiting_tasks()[0]
    run = Run(
        task=task,
        number=1,
        backend=held,
        token=1,
        sent_at=at,
        expected_s=job.estimate_s / held.speed.value,
    )
    task.run, task.run_count = run, task.run_count + 1
    held.add(run, job.request.room)
    return run


def test_a_short_task_starts_on_the_slow_backend_server():
    """Guards against short tasks that occupy the fast backend servers, which long ones need."""
    fast, slow = make_held_backend("fast", FAST), make_held_backend("slow", SLOW)
    (task,) = open_job(0.2).tasks
    assert placement.choose(task, [fast, slow], 0.0, fastest=FAST) is slow


def test_a_task_that_might_miss_its_deadline_prefers_a_faster_backend_server():
    """Guards against late long jobs, declared as too short, while fast backend servers are idle."""
    fast, slow = make_held_backend("fast", FAST), make_held_backend("slow", SLOW)
    (task,) = open_job(0.9).tasks
    assert placement.choose(task, [fast, slow], 0.0, fastest=FAST) is fast
    assert placement.choose(task, [slow], 0.0, fastest=FAST) is slow


def test_a_long_task_starts_on_the_fast_backend_server():
    """Guards against long jobs that miss their deadline on a slow backend server."""
    fast, slow = make_held_backend("fast", FAST), make_held_backend("slow", SLOW)
    (task,) = open_job(1.2).tasks
    assert placement.choose(task, [fast, slow], 0.0, fastest=FAST) is fast


def test_a_long_task_waits_for_a_fast_backend_server_while_that_is_in_time():
    """Guards against a start that makes a job late although a fast slot becomes free soon."""
    slow = make_held_backend("slow", SLOW)
    (task,) = open_job(1.1).tasks
    assert placement.choose(task, [slow], 0.0, fastest=1.5) is None
    # Now it would be late on the faster one too, but may still meet its deadline on this one.
    assert placement.choose(task, [slow], 0.5, fastest=1.5) is slow


def test_a_task_is_not_started_where_it_cannot_end_before_the_deadline():
    """Guards against work whose result comes after the caller has stopped waiting."""
    slow = make_held_backend("slow", SLOW)
    (task,) = open_job(1.2).tasks
    assert placement.choose(task, [slow], 1.0, fastest=SLOW) is None


def test_a_task_avoids_the_backend_server_on_which_it_failed():
    """Guards against a second failure on a backend server that fails every task."""
    one, other = make_held_backend("one", SLOW), make_held_backend("other", SLOW)
    (task,) = open_job(0.2).tasks
    task.avoided_backends.add("one")
    assert placement.choose(task, [one, other], 0.0, fastest=SLOW) is other
    assert placement.choose(task, [one], 0.0, fastest=SLOW) is one


@pytest.mark.parametrize(
    ("work_s", "now", "moves"),
    [(1.8, 0.3, True), (1.8, 0.6, False), (2.6, 0.3, False)],
)
def test_a_run_that_misses_its_deadline_moves_only_if_it_is_in_time_elsewhere(
    work_s: float, now: float, moves: bool
):
    """Guards against long jobs that stay on a slow backend server and miss their deadline."""
    run = start(open_job(1.0), make_held_backend("slow", SLOW))
    assert placement.should_move(run, work_s, [make_held_backend("fast", FAST)], now) is moves


def test_a_run_does_not_move_without_free_resources_or_more_than_twice():
    """Guards against runs that are moved repeatedly, each time discarding the work done."""
    run = start(open_job(1.0), make_held_backend("slow", SLOW))
    assert not placement.should_move(run, 1.0, [], 0.0)
    run.task.run_count = placement.MAX_RUNS_PER_TASK
    assert not placement.should_move(run, 1.0, [make_held_backend("fast", FAST)], 0.0)


@pytest.mark.parametrize(
    ("progress", "ends_at", "is_late"), [(20, 3.0, False), (50, 1.55, False), (50, 1.7, True)]
)
def test_a_job_is_given_up_only_when_a_run_is_predicted_to_miss_its_deadline(
    progress: int, ends_at: float, is_late: bool
):
    """Guards against jobs ended on a vague prediction, and resources used until the deadline."""
    assert (
        admission.will_miss_deadline(progress=progress, run_s=1.5, ends_at=ends_at, deadline_at=1.5)
        is is_late
    )


def test_forecast_puts_each_task_where_it_ends_first():
    """Guards against refusals because of one long run, while other slots become free soon."""
    fast, slow = make_held_backend("fast", FAST), make_held_backend("slow", SLOW)
    start(open_job(1.0), fast)
    start(open_job(1.0), slow)
    slots = SlotForecast([fast, slow], typical_cpu=14_000, now=0.0)
    assert slots.free_count() == 2
    job = open_job(0.2, count=2)
    # One task on each: 0.1 s and 0.2 s; the longest of two tasks is expected to take 7% more.
    assert slots.predict_end(job, []) == pytest.approx(0.2 * 1.07)
    # Two more tasks use the slot on the fast backend server before the slow one is free.
    assert slots.predict_end(job, []) == pytest.approx(0.3 * 1.07)


def test_forecast_without_backend_servers_is_infinite():
    """Guards against jobs that are accepted while no backend server can run them."""
    assert SlotForecast([], typical_cpu=14_000, now=0.0).predict_end(open_job(0.2), []) == float(
        "inf"
    )
