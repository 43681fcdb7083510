"""Checks of what was seen, on sightings that are written by hand."""

from __future__ import annotations

import pytest

from apricotpoint._soak import checks, configchecks
from apricotpoint._soak.sightings import Attempt, Change, Disturbance, Reading, Run, Sightings
from apricotpoint.platform.soakwords import LIMITS

JOB = "00000000000000aa"


def run(number: int, began_at: float, ended_at: float | None, **fields: object) -> Run:
    return Run(f"backend-{number}", f"{JOB}.0.0.0", number, began_at, ended_at, **fields)


def attempt(
    status: int = 0, *, number: int = 1, waited_s: float = 0.1, **fields: object
) -> Attempt:
    made = Attempt(JOB, number, "entry-1", 10.0, 1.5, 5.5, 10.0 + waited_s, status, body_bytes=9)
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def sightings(**fields: object) -> Sightings:
    seen = Sightings()
    for name, value in fields.items():
        setattr(seen, name, value)
    return seen


def rules(found: list[checks.Violation]) -> list[str]:
    return [violation.rule for violation in found]


def test_runs_at_the_same_time():
    """Guards against a check that misses two runs of a task, or sees one after the other as two."""
    apart = [run(1, 1.0, 2.0), run(2, 2.0, 3.0)]
    assert checks.find_simultaneous_runs(apart, 9.0) == []
    assert rules(checks.find_simultaneous_runs([run(1, 1.0, None), run(2, 2.0, 3.0)], 9.0)) == [
        "TWICE"
    ]


def test_start_after_a_noted_end():
    """Guards against a check that misses a second start of a job that was submitted once."""
    runs = [run(1, 1.0, 2.0, outcome="done", noted_at=2.1), run(2, 3.0, 4.0)]
    assert rules(checks.find_starts_after_end(runs, [attempt(200)])) == ["STARTED AFTER END"]
    resubmitted = [attempt(502), attempt(200, number=2)]
    assert checks.find_starts_after_end(runs, resubmitted) == []


def test_refusal_after_a_start():
    """Guards against a check that misses a refusal of a job that has run."""
    runs = [run(1, 1.0, 2.0)]
    assert rules(checks.find_false_refusals(runs, [attempt(503)])) == ["REFUSED"]
    assert checks.find_false_refusals(runs, [attempt(502), attempt(503, number=2)]) == []
    assert checks.find_false_refusals([], [attempt(503)]) == []


@pytest.mark.parametrize(
    ("status", "fields", "rule"),
    [
        (200, {}, None),
        (503, {"code": 2104}, None),
        (500, {"body_bytes": 0}, "EMPTY ANSWER"),
        (500, {}, "NO CODE"),
        (404, {}, "CONFIG"),
    ],
)
def test_answers_without_an_explanation(status: int, fields: dict[str, int], rule: str | None):
    """Guards against a check that misses an answer with which a caller can do nothing."""
    assert rules(checks.find_bad_answers([attempt(status, **fields)])) == [rule] * bool(rule)


@pytest.mark.parametrize(
    ("seen", "disturbances", "rule"),
    [
        (attempt(failure="broken", waited_s=1.0), [], "LOST"),
        (attempt(failure="broken", waited_s=0.1), [], None),
        (
            attempt(failure="broken", waited_s=1.0),
            [Disturbance("entry-1", "down", 10.9, 12.0)],
            None,
        ),
        (
            attempt(failure="broken", waited_s=1.0),
            [Disturbance("entry-2", "down", 10.9, 12.0)],
            "LOST",
        ),
        (attempt(failure="silent", waited_s=5.5), [], "NO ANSWER"),
        (attempt(failure="silent", waited_s=1.5), [], None),
        (
            attempt(failure="silent", waited_s=5.5),
            [Disturbance("entry-1", "frozen", 11.0, 15.0)],
            None,
        ),
    ],
)
def test_requests_without_an_answer(
    seen: Attempt, disturbances: list[Disturbance], rule: str | None
):
    """Guards against a check that misses a lost request, or blames a process that was killed."""
    found = checks.find_missing_answers(
        sightings(attempts=[seen], disturbances=disturbances), LIMITS
    )
    assert rules(found) == [rule] * bool(rule)


def test_configurations_that_were_read():
    """Guards against a check that misses a lost, foreign or refused configuration."""
    changes = [Change(1, 1.0, "a", 1.1), Change(2, 5.0, "b", 5.1), Change(2, 6.0, "c", 6.1)]

    def read(version: int, digest: str, sent_at: float) -> list[str]:
        readings = [Reading("control-1", sent_at, version, digest)]
        return rules(
            configchecks.find_old_readings(changes, readings, 2.5)
            + configchecks.find_foreign_readings(changes, readings)
        )

    assert read(2, "b", 9.0) == []
    assert read(1, "a", 6.0) == []
    assert read(1, "a", 9.0) == ["CONFIG"]
    assert read(2, "c", 9.0) == ["CONFIG"]
    assert read(2, "x", 9.0) == ["CONFIG"]
    assert rules(configchecks.find_refused_changes([Change(3, 1.0, "a", refused_with=409)])) == [
        "CONFIG"
    ]


def test_recovery_in_time():
    """Guards against a deployment that does not come back, or too late, and passes."""
    for recovered_s, expected in ((3.0, []), (15.5, ["RECOVER"]), (None, ["RECOVER"])):
        seen = sightings(recovered_s=recovered_s)
        assert rules(configchecks.find_configuration_violations(seen, LIMITS)) == expected
