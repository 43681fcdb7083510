"""Decoding of settings, configurations, heartbeats and jobs of the platform."""

from __future__ import annotations

import json
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError
from apricotpoint._pool.routing import Route
from apricotpoint._wire.configuration import Document
from apricotpoint._wire.pool import Locality, PoolAnswer, Room
from apricotpoint.platform.configuration import decode_document, decode_routing
from apricotpoint.platform.heartbeats import decode_heartbeat
from apricotpoint.platform.jobs import decode_job, encode_answer
from apricotpoint.platform.settings import load_settings

# Python reads such integers, but messages between processes cannot carry them.
TOO_LARGE = 1 << 64
# Not even a float can hold this one.
FAR_TOO_LARGE = 10**400
ROUTE = Route(
    name="r1",
    host="a.example",
    prefix="/p/q/",
    service="s1",
    timeout_s=1.5,
    base_latency_s=0.06,
    stretch=1.6,
    priority=1,
    max_attempts=3,
)
JOB_ID = "5c0e7a21d94b36f8"


def make_configuration(**changes: Any) -> dict[str, Any]:
    route = {
        "name": "r1",
        "host": "a.example",
        "path_prefix": "/p/",
        "kind": "non_idempotent",
        "timeout_ms": 1500,
        "target_latency_ms": 60,
        "priority": 1,
        "service": "s1",
        "max_attempts": 3,
        "stretch_factor": 1.6,
    }
    other = {**route, "name": "r2", "path_prefix": "/p/q/"}
    return {"version": 7, "routes": [route, other], "services": [{"name": "s1"}], **changes}


def make_job(**changes: Any) -> bytes:
    step = {"count": 8, "cpu": 11100, "requested_memory_mb": 64, "estimated_duration_ms": 24}
    return json.dumps({"spec": "x", "phases": [step], "best_effort": True, **changes}).encode()


def make_heartbeat(**changes: Any) -> bytes:
    fields = {
        "service": "s1",
        "address": "10.1.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 16000, "requested_memory_mb": 32768, "gpu": 0},
        "labels": ["a", "r1-3"],
        "clock_ms": 482113,
        "sequence": 4,
        "born": 1000,
    }
    return json.dumps({**fields, **changes}).encode()


def test_the_longest_path_prefix_selects_the_route():
    """Guards against requests that are handled by the rules of another route."""
    routing = decode_routing(decode_document(json.dumps(make_configuration()).encode()))
    found = [routing.find("A.example", path) for path in ("/p/1", "/p/q/1", "/x")]
    assert [route.name if route else None for route in found] == ["r1", "r2", None]
    assert routing.version == 7
    assert decode_routing(Document()).find("a.example", "/p/1") is None


def make_configuration_with_route(**changes: Any) -> dict[str, Any]:
    raw = make_configuration()
    raw["routes"][0].update(changes)
    return raw


@pytest.mark.parametrize(
    "raw",
    [
        make_configuration_with_route(service="unknown"),
        make_configuration_with_route(path_prefix="/p/q/"),
        make_configuration_with_route(timeout_ms=0),
        make_configuration_with_route(timeout_ms="1500"),
        make_configuration(version=0),
        make_configuration(version="7"),
        make_configuration(version=TOO_LARGE),
        make_configuration_with_route(timeout_ms=FAR_TOO_LARGE),
        make_configuration_with_route(priority=-TOO_LARGE),
        make_configuration_with_route(max_attempts=TOO_LARGE),
        make_configuration_with_route(stretch_factor=-1.0),
        make_configuration(limits={"max_body_bytes": TOO_LARGE}),
        make_configuration(routes={}),
        make_configuration(services=[{"name": "s1"}, {"name": "s1"}]),
        {"version": 7},
        [],
    ],
)
def test_an_invalid_configuration_is_refused(raw: object):
    """Guards against an active configuration that is contradictory or incomplete."""
    with pytest.raises(ApricotError) as caught:
        decode_document(json.dumps(raw).encode())
    assert caught.value.code == ResultCode.INVALID_COMMAND


def test_a_truncated_configuration_is_refused():
    """Guards against a configuration whose transfer ended early and that still parses."""
    whole = json.dumps(make_configuration()).encode()
    for length in range(len(whole)):
        with pytest.raises(ApricotError):
            decode_document(whole[:length])


def test_a_heartbeat_is_converted_to_an_announcement():
    """Guards against a field of a heartbeat that is stored as another one."""
    announcement = decode_heartbeat("i-1", make_heartbeat(state="draining"))
    assert announcement.backend_id == "i-1"
    assert announcement.room == Room(16000, 32768, 0)
    assert (announcement.leaving, announcement.sequence, announcement.born_ms) == (True, 4, 1000)
    assert (announcement.service, announcement.failure_domain, announcement.address) == (
        "s1",
        "a",
        "10.1.0.9:8080",
    )


def test_the_time_for_which_a_worker_is_cold_is_decoded():
    """Guards against workers that count as cold, or as warm, by mistake."""
    assert decode_heartbeat("i-1", make_heartbeat()).cold_remaining_s == 0
    raw = json.loads(make_heartbeat(cold_remaining_ms=1500.5))
    assert decode_heartbeat("i-1", json.dumps(raw).encode()).cold_remaining_s == 1.5005
    del raw["cold_remaining_ms"]
    assert decode_heartbeat("i-1", json.dumps(raw).encode()).cold_remaining_s == 0


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"[]",
        make_heartbeat(state="asleep"),
        make_heartbeat(address="10.1.0.9"),
        make_heartbeat(address="10.1.0.9:99999"),
        make_heartbeat(address="10.1.0.9:0"),
        make_heartbeat(address="a..b:8080"),
        make_heartbeat(address=":8080"),
        make_heartbeat(sequence="4"),
        make_heartbeat(capacity={}),
        make_heartbeat(capacity={"cpu": -1, "requested_memory_mb": 1}),
        make_heartbeat(capacity={"cpu": TOO_LARGE, "requested_memory_mb": 1}),
        make_heartbeat(sequence=TOO_LARGE),
        make_heartbeat(born=FAR_TOO_LARGE),
        make_heartbeat(cold_remaining_ms=-1),
        make_heartbeat(cold_remaining_ms="1500"),
        make_heartbeat(cold_remaining_ms=None),
        make_heartbeat(cold_remaining_ms=1e300),
        make_heartbeat(cold_remaining_ms=FAR_TOO_LARGE),
        json.dumps({"service": "s1"}).encode(),
    ],
)
def test_a_malformed_heartbeat_is_refused(body: bytes):
    """Guards against a malformed heartbeat that replaces the valid announcement of a worker."""
    with pytest.raises(ApricotError):
        decode_heartbeat("i-1", body)


def test_the_time_out_of_a_route_is_for_callers_that_name_no_deadline():
    """Guards against a limit of the route in place of that of the caller, and against none."""
    request = decode_job(JOB_ID, make_job(), route=ROUTE, deadline_s=9.0)
    assert (request.count, request.room) == (8, Room(11100, 64, 0))
    assert (request.deadline_s, request.estimate_s, request.max_attempts) == (9.0, 0.024, 3)
    assert decode_job(JOB_ID, make_job(), route=ROUTE, deadline_s=None).deadline_s == 1.5
    assert decode_job(JOB_ID, make_job(), route=ROUTE, deadline_s=0.5).deadline_s == 0.5


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"{", ResultCode.MALFORMED),
        (make_job(phases=[]), ResultCode.MALFORMED),
        (make_job(phases=[{"count": 0}]), ResultCode.MALFORMED),
        (make_job(phases=[{"count": 1, "cpu": -5}]), ResultCode.MALFORMED),
        (make_job(phases=[{"count": 1, "cpu": TOO_LARGE}]), ResultCode.MALFORMED),
        (make_job(phases=[{"count": 1, "requested_memory_mb": TOO_LARGE}]), ResultCode.MALFORMED),
        (make_job(phases=[{"count": 1, "gpu": FAR_TOO_LARGE}]), ResultCode.MALFORMED),
        (make_job(phases=[{"count": 1, "estimated_duration_ms": -1}]), ResultCode.MALFORMED),
        (make_job(phases=[{"count": 1, "estimated_duration_ms": 1e308}]), ResultCode.MALFORMED),
        (make_job(spec="x" * 4001), ResultCode.TOO_LARGE),
        (make_job(best_effort=False), ResultCode.CANNOT_RUN),
        (make_job(phases=[{"count": 1}, {"count": 1}]), ResultCode.CANNOT_RUN),
        (make_job(phases=[{"count": 1, "gang_scheduled": True}]), ResultCode.CANNOT_RUN),
        (make_job(phases=[{"count": 1, "requirements": "b"}]), ResultCode.CANNOT_RUN),
        (make_job(phases=[{"count": 2, "rack_local": "yes"}]), ResultCode.MALFORMED),
        (make_job(phases=[{"count": 1, "data_rack": 7}]), ResultCode.MALFORMED),
        (make_job(phases=[{"count": 1, "data_rack": None}]), ResultCode.MALFORMED),
        (make_job(phases=[{"count": 1, "data_rack": "a\n"}]), ResultCode.MALFORMED),
        (make_job(phases=[{"count": 1, "data_rack": "a" * 201}]), ResultCode.MALFORMED),
        (
            make_job(phases=[{"count": 2, "rack_local": True, "gang_scheduled": True}]),
            ResultCode.CANNOT_RUN,
        ),
    ],
)
def test_a_malformed_or_unsupported_job_is_refused(body: bytes, code: ResultCode):
    """Guards against a job that is accepted although it cannot run."""
    with pytest.raises(ApricotError) as caught:
        decode_job(JOB_ID, body, route=ROUTE, deadline_s=None)
    assert caught.value.code == code


@pytest.mark.parametrize(
    ("step", "locality"),
    [
        ({"count": 2}, None),
        ({"count": 2, "data_rack": "k1"}, Locality("k1", False, 3.0)),
        ({"count": 2, "rack_local": True}, Locality("", True, 3.0)),
        # Tasks near their data are together.
        ({"count": 2, "data_rack": "k1", "rack_local": True}, Locality("k1", False, 3.0)),
        ({"count": 1, "rack_local": True}, None),
        ({"count": 2, "data_rack": "", "rack_local": False}, None),
    ],
)
def test_a_job_names_the_rack_on_which_it_is_faster(
    step: dict[str, object], locality: Locality | None
):
    """Guards against a penalty where there is none, and against one that counts twice."""
    body = make_job(phases=[step])
    decode = partial(decode_job, JOB_ID, body, route=ROUTE, deadline_s=None)
    assert decode(remote_penalty=3.0).locality == locality
    assert decode(remote_penalty=1.0).locality is None


@pytest.mark.parametrize(
    ("code", "status"),
    [
        (ResultCode.COMPLETE, 200),
        (ResultCode.TASKS_FAILED, 200),
        (ResultCode.OVERLOADED, 503),
        (ResultCode.NO_BACKEND, 503),
        (ResultCode.DRAINING, 503),
        (ResultCode.DEADLINE_BEFORE_START, 503),
        (ResultCode.MALFORMED, 400),
        (ResultCode.DEADLINE_AFTER_START, 504),
        (ResultCode.BACKEND_LOST, 502),
        (ResultCode.COORDINATOR_UNREACHABLE, 502),
    ],
)
def test_only_jobs_that_did_not_run_are_answered_as_refused(code: ResultCode, status: int):
    """Guards against status 503, on which callers retry, for a job that may have run."""
    got, _, headers = encode_answer(PoolAnswer(int(code), "why", 1.2))
    assert got == status
    assert ("retry-after" in headers) == (status == 503)


def test_the_error_of_incomplete_settings_names_the_missing_field(tmp_path: Path):
    """Guards against a process that starts with incomplete settings."""
    path = tmp_path / "boot.yaml"
    path.write_text("node_name: n\nzone: a\n")
    with pytest.raises(ApricotError, match="ip_address"):
        load_settings(path)
    path.write_text("{")
    with pytest.raises(ApricotError, match="cannot be read"):
        load_settings(path)


def test_settings_of_the_platform_are_decoded(tmp_path: Path):
    """Guards against a setting that is read from the wrong field."""
    path = tmp_path / "boot.yaml"
    path.write_text(
        "node_name: n1\nip_address: 10.1.0.13\nzone: a\nzones: {b: r, a: r}\n"
        "listen_addresses: {frontend: '10.1.0.13:8161', ready: '10.1.0.13:8167'}\n"
        "internal_port_range: [7720, 7735]\nseed_nodes: ['10.1.0.16:8166']\n"
        "bootstrap: true\ndata_directory: null\nsomething_new: 1\n"
    )
    settings = load_settings(path)
    assert settings.remote_penalty == 1.0
    assert settings.failure_domains == ["a", "b"]
    assert settings.seeds == ["10.1.0.16"]
    assert settings.peer_address("10.1.0.16") == "10.1.0.16:7720"
    assert (settings.caller_bind, settings.control_bind) == ("10.1.0.13:8161", "")
    assert settings.data_folder is None
    assert (settings.has_places, settings.evacuation_timeout_s) == (False, 5.0)
    path.write_text(
        path.read_text() + "contracts: [places, other]\nbounds: {evacuation_timeout_ms: 4000}\n"
    )
    settings = load_settings(path)
    assert (settings.has_places, settings.evacuation_timeout_s) == (True, 4.0)


@pytest.mark.parametrize(
    "penalty", ["2.5", "yes", ".nan", ".inf", "0.5", "-1", "1e9", "null", "'2'"]
)
def test_the_penalty_of_remote_tasks_is_checked(tmp_path: Path, penalty: str):
    """Guards against a penalty with which predicted times are negative, infinite or no numbers."""
    path = tmp_path / "boot.yaml"
    path.write_text(
        "node_name: n1\nip_address: 10.1.0.13\nzone: a\nzones: {a: r}\nseed_nodes: []\n"
        f"internal_port_range: [7720, 7735]\nbootstrap: true\n"
        f"bounds: {{remote_penalty: {penalty}}}\n"
    )
    if penalty == "2.5":
        assert load_settings(path).remote_penalty == 2.5
        return
    with pytest.raises(ApricotError, match=r"bounds\.remote_penalty"):
        load_settings(path)
