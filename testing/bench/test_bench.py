"""The bench: equal figures for equal seeds, and checks that can fail."""

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
PROMISES = ("started_twice", "partial_answers", "false_refusals", "late_answers", "silent_callers")


def measure(scenario: Scenario, seed: int = 3) -> dict[str, float]:
    figures = run_scenario(DEPLOYMENT, scenario, policy="predicted", seed=seed)
    return {figure.metric: figure.value for figure in figures}


def test_two_runs_with_one_seed_give_equal_figures():
    """A change of policy is judged by figures of single runs, so they must not vary by chance."""
    scenario = Scenario(name="short", load=0.5, seconds=2.0, resubmit_share=0.2)
    first = measure(scenario)
    assert first == measure(scenario)
    assert first != measure(scenario, seed=4)
    assert first["complete_share"] == 1
    assert [first[name] for name in PROMISES] == [0] * len(PROMISES)


def test_second_starts_and_wrong_answers_are_seen(monkeypatch: pytest.MonkeyPatch):
    """The zeros of the promise figures are worth nothing if a fault stays unseen."""
    result = FakeBackend._result
    begin = FakeBackend._begin

    def wrong_result(backend: FakeBackend, start: Start, status: RunStatus) -> StartResult:
        return attrs.evolve(result(backend, start, status), value="other")

    def begin_twice(backend: FakeBackend, start: Start) -> tuple:
        backend.count_by_task[start.payload["id"]] += 1
        return begin(backend, start)

    monkeypatch.setattr(FakeBackend, "_result", wrong_result)
    monkeypatch.setattr(FakeBackend, "_begin", begin_twice)
    figures = measure(Scenario(name="short", load=0.1, seconds=0.5))
    assert figures["started_twice"] > 0
    assert figures["partial_answers"] > 0


def test_tasks_go_on_without_their_connection_and_their_results_can_be_asked_for():
    """A backend server that forgot them would hide second starts and exceeded slots."""

    async def main() -> list[StartResult]:
        backend = FakeBackend("w", "s", "d", "r", 1.0, 2, 8, 1, 1)
        starts = [
            Start(f"s{run_s:g}", "k", {"run_s": run_s, "id": f"1.{run_s:g}"}, 9000)
            for run_s in (1, 2)
        ]
        asked = []
        results = backend.serve(
            starts, latency_s=0.0, is_blocked=lambda: anyio.current_time() > 0.5
        )
        with pytest.raises(ResponseLostError):
            await anext(results)
        asked += [backend.fetch_result(start.start_id) for start in starts]
        assert backend.announcement().running == 1
        await anyio.sleep(1.5)
        asked += [backend.fetch_result("s2"), backend.fetch_result("other")]
        assert backend.announcement().running == 0
        return asked

    asked = run_virtual(main, seed=1)
    assert [item.status.value for item in asked] == ["ok", "running", "ok", "unknown"]
    assert [item.value for item in asked[::2]] == ["1.1", "1.2"]


def test_noisy_team_is_refused_beyond_its_quota_and_the_other_is_not():
    """Without a configured quota the noisy team was refused as unknown, which measured nothing."""
    scenario = attrs.evolve(SCENARIO_BY_NAME["noisy-team"], seconds=1.0)
    figures = measure(scenario)
    assert figures["answers.2103"] > 0
    assert "answers.2112" not in figures
    assert figures["quiet_team_failed"] == 0


def test_ideal_schedule_knows_speeds_and_queues():
    tasks = [TracedTask(TaskSpec("cut"), run_s) for run_s in (1.0, 0.4)]
    jobs = [TracedJob(0.0, "t", tasks), TracedJob(0.1, "t", tasks[:1])]
    workers = [IdealBackend(speed=2.0, slots=1), IdealBackend(speed=1.0, slots=1)]
    assert ideal_responses_s(jobs, workers, round_trip_s=0.01) == pytest.approx([0.51, 0.91])


def test_comparison_with_two_choices_needs_both_policies():
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
def test_wrong_arguments_name_the_remedy(
    arguments: list[str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
):
    monkeypatch.setattr(sys, "argv", ["bench", *arguments])
    assert program.main() != 0
    assert "5001" in capsys.readouterr().err


def test_program_prints_json_lines_and_writes_the_report(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
):
    short = attrs.evolve(SCENARIO_BY_NAME["steady-50"], seconds=0.5)
    monkeypatch.setitem(program.SCENARIO_BY_NAME, "steady-50", short)
    chosen = ["--scenario", "steady-50", "--policy", "predicted", "--processes", "1"]
    arguments = ["--deployment", str(SETTINGS), *chosen, "--report", str(tmp_path)]
    monkeypatch.setattr(sys, "argv", ["bench", *arguments])
    assert program.main() == 0
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert {line["scenario"] for line in lines} == {"steady-50"}
    assert "ideal_ratio_mean" in (tmp_path / "bench.md").read_text()
