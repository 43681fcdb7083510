"""One odd entry of another writer among those of the workers: it is refused, the others hold."""

from __future__ import annotations

import itertools
import json
from typing import Any

import anyio
import attrs
import pytest
from pool_cluster import ALL_DOMAINS_CORES, run_cluster
from pool_harness import make_announcement, make_job, run_on_virtual_time

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import ApricotError
from apricotpoint._pool.holders.roster import Roster
from apricotpoint._wire.pool import BackendsHeard, PoolBackend
from apricotpoint.platform.controlapi import make_control_app
from apricotpoint.platform.heartbeats import MAX_AHEAD_S, check_plausible, decode_heartbeat

NOW_S = 1_800_000_000.0
DEEP = "[" * 100_000 + "]" * 100_000
ODD_VALUES = [
    DEEP,
    '{"a":' * 100_000 + "1" + "}" * 100_000,
    "9" * 5000,
    "-" + "9" * 5000,
    "1e999",
    "NaN",
    "null",
    "1.5",
    '""',
    '"\\ud800"',
    '"a\\r\\nb"',
    '"10.0.0.1:' + "9" * 5000 + '"',
    '"fe80::1%a\\u0000b:80"',
    '"' + "x" * 100_000 + '"',
]
SOUND = {
    "service": '"s1"',
    "address": '"10.1.0.9:8080"',
    "zone": '"a"',
    "state": '"ready"',
    "sequence": "4",
    "capacity": '{"cpu":16000,"requested_memory_mb":32768}',
    "labels": '["a"]',
    "born": str(int(NOW_S * 1000) - 60_000),
}


def encode(**changes: str) -> bytes:
    fields = {**SOUND, **changes}
    return ("{" + ",".join(f'"{key}":{value}' for key, value in fields.items()) + "}").encode()


class FakeRelay:
    """Records announcements in place of `AnnouncementRelay`."""

    def __init__(self) -> None:
        self.announced: list[PoolBackend] = []

    def announce(self, announcement: PoolBackend) -> None:
        """Record an announcement."""
        self.announced.append(announcement)


async def post_heartbeat(app: Any, worker_id: str, body: bytes) -> int:
    parts = [{"type": "http.request", "body": body, "more_body": False}]
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return parts.pop() if parts else {"type": "http.disconnect"}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    path = f"/instances/{worker_id}/heartbeat"
    scope = {"type": "http", "method": "POST", "path": path, "query_string": b"", "headers": []}
    await app(scope, receive, send)
    return int(sent[0]["status"])


def test_odd_heartbeats_are_refused_and_the_sound_ones_hold():
    """Guards against one entry that ends the process which reads it, or is answered with 500."""
    relay = FakeRelay()

    async def test() -> None:
        app = make_control_app(
            relay=relay,  # type: ignore[arg-type]
            change=lambda _: anyio.sleep_forever(),  # type: ignore[arg-type,return-value]
            document=anyio.sleep_forever,  # type: ignore[arg-type,return-value]
            counters=Counters(),
            wall_time=lambda: NOW_S,
        )
        for number, (field, odd) in enumerate(itertools.product(SOUND, ODD_VALUES)):
            status = await post_heartbeat(app, f"odd-{number}", encode(**{field: odd}))
            assert 200 <= status < 500, (field, odd[:40])
            assert await post_heartbeat(app, f"sound-{number}", encode()) == 200
        for worker_id in ("a\r\nb", "a b", "x" * 300, "\ufffd"):
            assert await post_heartbeat(app, worker_id, encode()) == 400

    anyio.run(test)
    sound = [item for item in relay.announced if item.backend_id.startswith("sound")]
    assert len(sound) == len(SOUND) * len(ODD_VALUES)
    for announcement in relay.announced:
        json.dumps(attrs.asdict(announcement)).encode()
        assert len(announcement.address) < 60


@pytest.mark.parametrize(
    "changes",
    [
        {"born": str(int((NOW_S + MAX_AHEAD_S + 10) * 1000))},
        {"born": str((1 << 53) - 1)},
        {"sequence": str((1 << 53) - 1)},
    ],
)
def test_an_entry_from_the_future_does_not_hide_later_ones(changes: dict[str, str]):
    """Guards against a number so large that no announcement of the worker counts after it."""
    announcement = decode_heartbeat("i-1", encode(**changes))
    with pytest.raises(ApricotError):
        check_plausible(announcement, NOW_S)
    check_plausible(decode_heartbeat("i-1", encode()), NOW_S)


def test_an_announcement_that_cannot_be_processed_leaves_the_others():
    """Guards against one entry that hides those after it in the same message."""
    roster = Roster(now=lambda: 0.0)

    def refuse(announcement: PoolBackend) -> None:
        if announcement.backend_id == "odd":
            raise ValueError("odd")

    seen: list[str] = []
    roster.subscribe(refuse)
    roster.subscribe(lambda announcement: seen.append(announcement.backend_id))
    roster.update(BackendsHeard([make_announcement("odd"), make_announcement("w1")]))
    assert seen == ["w1"]


def test_a_backend_server_that_cannot_be_acquired_leaves_the_others():
    """Guards against a holder that acquires nothing any more because of one entry."""

    async def test() -> None:
        async with run_cluster(cores=2 * ALL_DOMAINS_CORES) as cluster:
            entry = cluster.entry_by_id["e1"]
            make_client = entry.scheduler.leases.make_client

            # The first that the holder tries to acquire at each check of its claims.
            odd_id, *sound_ids = entry.scheduler.held_by_id

            def make_unless_odd(announcement: PoolBackend) -> Any:
                if announcement.backend_id == odd_id:
                    raise ValueError("odd")
                return make_client(announcement)

            entry.scheduler.leases.make_client = make_unless_odd
            for backend_id in (odd_id, *sound_ids):
                entry.scheduler.release(backend_id, "a test")
            await anyio.sleep(1.0)
            assert entry.held() == sorted(sound_ids)
            assert entry.counters.get("claims.acquire_errors") > 0
            answer = await entry.service.submit(make_job(1))
            assert answer.code == ResultCode.COMPLETE

    run_on_virtual_time(test)
