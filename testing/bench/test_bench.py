"""Tests of the benchmark: reproducible figures, fault detection and the console program."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import anyio
import attrs
import pytest

from apricotpoint._bench import program
from apricotpoint._bench.fakebackend import FakeBackend
from apricotpoint._bench.figure import Figure, make_figure
from apricotpoint._bench.ideal import IdealBackend, ideal_responses_s
from apricotpoint._bench.measure import run_scenario, two_choices_comparison
from apricotpoint._bench.scenario import SCENARIO_BY_NAME, Scenario
from apricotpoint._bench.trace import TracedJob, TracedTask
from apricotpoint._bench.virtualtime import run_virtual
from apricotpoint._core.settings import load
from apricotpoint._dispatch.exchange import ResponseLostError, RunStatus, Start, StartResult
from apricotpoint._settings.deployment import DeploymentSettings
from apricotpoint._wire.tasks import TaskSpec

SETTINGS = Path(__file__).parents[2] / "settings" / "crock-control.jsonc"
DEPLOYMENT = load(SETTINGS, DeploymentSettings)
GUARANTEE_FIGURES = (
    "started_twice",
    "partial_answers",
    "false_refusals",
    "late_answers",
    "silent_callers",
)


def measure(scenario: Scenario, seed: int = 3) -> dict[str, float]:
    figures = run_scenario(DEPLOYMENT, scenario, policy="predicted", seed=seed)
    return {figure.metric: figure.value for figure in figures}


def test_runs_with_the_same_seed_give_equal_figures():
    """Policies are compared by figures of single runs, so these must not vary at random."""
    scenario = Scenario(name="short", load=0.5, seconds=2.0, resubmit_share=0.2)
    first = measure(scenario)
    assert first == measure(scenario)
    assert first != measure(scenario, seed=4)
    assert first["complete_share"] == 1
    assert [first[name] for name in GUARANTEE_FIGURES] == [0] * len(GUARANTEE_FIGURES)


def test_second_starts_and_wrong_answers_are_detected(monkeypatch: pytest.MonkeyPatch):
    """Guards against figures that stay 0 although a guarantee is violated."""
    original_result = FakeBackend._result
    original_begin = FakeBackend._begin

    def wrong_result(backend: FakeBackend, start: Start, status: RunStatus) -> StartResult:
        return attrs.evolve(original_result(backend, start, status), value="other")

    def begin_counted_twice(backend: FakeBackend, start: Start) -> tuple:
        backend.count_by_task[start.payload["id"]] += 1
        return original_begin(backend, start)

    monkeypatch.setattr(FakeBackend, "_result", wrong_result)
    monkeypatch.setattr(FakeBackend, "_begin", begin_counted_twice)
    figures = measure(Scenario(name="short", load=0.1, seconds=0.5))
    assert figures["started_twice"] > 0
    assert figures["partial_answers"] > 0


def test_tasks_continue_after_a_lost_connection_and_their_results_can_be_fetched():
    """A fake that forgets tasks with its connection would hide second starts and exceeded slots."""

    async def main() -> list[StartResult]:
        backend = FakeBackend("w", "s", "d", "r", 1.0, 2, 8, 1, 1)
        starts = [
            Start(f"s{run_s:g}", "k", {"run_s": run_s, "id": f"1.{run_s:g}"}, 9000)
            for run_s in (1, 2)
        ]
        fetched = []
        results = backend.serve(
            starts, latency_s=0.0, is_blocked=lambda: anyio.current_time() > 0.5
        )
        with pytest.raises(ResponseLostError):
            await anext(results)
        fetched += [backend.fetch_result(start.start_id) for start in starts]
        assert backend.announcement().running == 1
        await anyio.sleep(1.5)
        fetched += [backend.fetch_result("s2"), backend.fetch_result("other")]
        assert backend.announcement().running == 0
        return fetched

    fetched = run_virtual(main, seed=1)
    assert [item.status.value for item in fetched] == ["ok", "running", "ok", "unknown"]
    assert [item.value for item in fetched[::2]] == ["1.1", "1.2"]


def test_noisy_team_is_refused_beyond_its_quota_and_the_other_team_is_not():
    """Without a configured quota the team is refused as unknown, and no quota is measured."""
    scenario = attrs.evolve(SCENARIO_BY_NAME["noisy-team"], seconds=1.0)
    figures = measure(scenario)
    assert figures["answers.2103"] > 0
    assert "answers.2112" not in figures
    assert figures["quiet_team_failed"] == 0


def test_ideal_schedule_respects_speeds_and_queues():
    """Guards against a reference time that ignores backend speeds or the wait for a free slot."""
    tasks = [TracedTask(TaskSpec("cut"), run_s) for run_s in (1.0, 0.4)]
    jobs = [TracedJob(0.0, "t", tasks), TracedJob(0.1, "t", tasks[:1])]
    workers = [IdealBackend(speed=2.0, slots=1), IdealBackend(speed=1.0, slots=1)]
    assert ideal_responses_s(jobs, workers, round_trip_s=0.01) == pytest.approx([0.51, 0.91])


def test_comparison_with_two_choices_needs_both_policies():
    """Guards against a ratio without its second policy, and against a swapped target."""

    def figure(policy: str, metric: str, value: float) -> Figure:
        return make_figure("d", "steady-80", policy, metric, value, "s")

    figures = [figure("predicted", "response_mean", 0.8), figure("predicted", "response_p99", 0.8)]
    assert two_choices_comparison(figures) == []
    figures += [
        figure("two_choices", "response_mean", 1.0),
        figure("two_choices", "response_p99", 1.0),
    ]
    compared = {item.metric: item.met for item in two_choices_comparison(figures)}
    assert compared == {
        "response_mean_to_two_choices": True,
        "response_p99_to_two_choices": False,
    }


@pytest.mark.parametrize(
    "arguments", [[], ["--deployment", str(SETTINGS), "--scenario", "none"], ["--seed", "x"]]
)
def test_invalid_arguments_are_reported_with_their_code(
    arguments: list[str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
):
    """Guards against a traceback, or a run with defaults, after an invalid option."""
    monkeypatch.setattr(sys, "argv", ["bench", *arguments])
    assert program.main() != 0
    assert "5001" in capsys.readouterr().err


def test_program_prints_json_lines_and_writes_the_report(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
):
    """Guards against other output among the JSON lines, and a report without the figures."""
    short = attrs.evolve(SCENARIO_BY_NAME["steady-50"], seconds=0.5)
    monkeypatch.setitem(program.SCENARIO_BY_NAME, "steady-50", short)
    options = ["--scenario", "steady-50", "--policy", "predicted", "--processes", "1"]
    arguments = ["--deployment", str(SETTINGS), *options, "--report", str(tmp_path)]
    monkeypatch.setattr(sys, "argv", ["bench", *arguments])
    assert program.main() == 0
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert {line["scenario"] for line in lines} == {"steady-50"}
    assert "ideal_ratio_mean" in (tmp_path / "bench.md").read_text()
