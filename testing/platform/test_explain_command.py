"""`apricotctl explain` against the address of the readiness check."""

from __future__ import annotations

import json
import math
import re
from pathlib import Path
from typing import Any

import pytest
from cleo.testers.command_tester import CommandTester
from starlette.testclient import TestClient
from test_caller_requests import JOB, ROUTE, FakeService

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._pool.routing import Routing
from apricotpoint._programs.ctl import make_application
from apricotpoint._wire.explain import BackendRow, HolderExplanation, HolderRow, JobExplanation
from apricotpoint._wire.pool import PoolJob
from apricotpoint.platform.callers import CallerInterface, make_readiness_app
from apricotpoint.platform.explain import make_explain_route

OPERATIONS = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
PATH = "/check/0123456789abcdef"
ROW = BackendRow("w1", "k1", 500, 64, 1.0, 0.2, None, "room")
HOLDER = HolderExplanation(
    2104, "too long", 2.0, "", 0.1, math.inf, 0.2, 0.38, 1.5, 3, "", [ROW], omitted=1
)


class FakeExplainer:
    """Stands in for `Explainer`; refuses jobs with a spec, as under overload."""

    async def explain(self, job: PoolJob) -> JobExplanation:
        """Return an explanation."""
        if job.spec:
            raise ApricotError(ResultCode.OVERLOADED, "300 jobs are open")
        return JobExplanation("e1", "e2", [HolderRow("e2", "a", 1.0, 0, 4, 0.3, 0.1)], HOLDER)


def make_client() -> TestClient:
    route = make_explain_route(
        FakeExplainer(),  # type: ignore[arg-type]
        routing=lambda: Routing(1, [ROUTE]),
        remote_penalty=lambda: 1.5,
    )
    return TestClient(make_readiness_app(lambda: True, route))


def run(tmp_path: Path, body: str, options: str = "") -> CommandTester:
    """Run the example of the operations page with another file."""
    (tmp_path / "job.json").write_text(body)
    application = make_application(transport=make_client()._transport)
    tester = CommandTester(application.find("explain"))
    (example,) = re.findall(r"apricotctl explain (.* --.*)", OPERATIONS.read_text())
    assert PATH in example
    tester.execute(f"{example.replace('job.json', str(tmp_path / 'job.json'))} {options}")
    return tester


def test_an_explanation_is_shown_as_tables_and_as_json(tmp_path: Path):
    """Guards against figures that are left out, and against an infinite wait that is no JSON."""
    text = run(tmp_path, json.dumps(JOB)).io.fetch_output()
    for figure in ("e2", "0.3", "w1", "k1", "room", "2104", "too long", "jobs_ahead"):
        assert figure in text
    tester = run(tmp_path, json.dumps(JOB), "--json")
    assert tester.status_code == 0
    result = json.loads(tester.io.fetch_output())
    assert (result["target"], result["holder"]["wait_s"]) == ("e2", None)
    assert result["holder"]["backends"][0]["verdict"] == "room"


def test_a_refused_explanation_names_its_reason(tmp_path: Path):
    """Guards against an explanation under overload, and a failure that looks like a success."""
    tester = run(tmp_path, json.dumps({**JOB, "spec": "x"}))
    assert tester.status_code == ResultCode.OVERLOADED.exit_status
    assert "300 jobs are open" in tester.io.fetch_error()


@pytest.mark.parametrize(
    ("path", "body", "headers"),
    [
        (PATH, "{", {}),
        (PATH, json.dumps({**JOB, "phases": []}), {}),
        (PATH, json.dumps({**JOB, "best_effort": False}), {}),
        (PATH, json.dumps({**JOB, "spec": "x" * 4001}), {}),
        (PATH, json.dumps(JOB), {"apricotpoint-deadline-ms": "soon"}),
        ("/check/odd", json.dumps(JOB), {}),
        ("/other/0123456789abcdef", json.dumps(JOB), {}),
    ],
)
def test_bad_input_gets_the_answer_that_the_job_would_get(
    path: str, body: str, headers: dict[str, Any]
):
    """Guards against an explanation of a job that would be refused at once."""
    callers = CallerInterface(
        FakeService(),  # type: ignore[arg-type]
        routing=lambda: Routing(1, [ROUTE]),
        pending=lambda _: 0,
        counters=Counters(),
        remaining_s=lambda: math.inf,
        unread_s=lambda _: 0.0,
        clock=lambda: 0.0,
    )
    headers = {"host": "desk.example", **headers}
    job = TestClient(callers.make_app()).post(path, content=body, headers=headers)
    explained = make_client().post("/explain" + path, content=body, headers=headers)
    assert job.status_code >= 400
    assert (explained.status_code, explained.json()) == (job.status_code, job.json())
