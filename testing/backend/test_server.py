"""The simulated backend server: announcements, simulated faults, and a graceful stop."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import httpx

from apricotpoint._backend.server import run_backend
from apricotpoint._backend.settings import BackendSettings, Behaviour
from apricotpoint._core.counters import Counters
from apricotpoint._core.secrets import Secrets
from apricotpoint._http import announcements
from apricotpoint._http.serve import serve
from apricotpoint._wire.announce import Announcement, AnnouncementReply, HolderName

KEY = "key-of-all-processes"


class FakeLeaseHolder:
    """Lease holder that records announcements and names the entry ids in `names` in turn."""

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self.announcements_received: list[Announcement] = []

    def handle_announcement(self, announcement: Announcement) -> AnnouncementReply:
        """Record an announcement and return the next name, or the last one again."""
        self.announcements_received.append(announcement)
        name = self.names[min(len(self.announcements_received), len(self.names)) - 1]
        return AnnouncementReply(HolderName(name, 1), 0.05)


Check = Callable[
    [httpx.AsyncClient, FakeLeaseHolder, BackendSettings, anyio.Event], Awaitable[None]
]


def with_backend(check: Check, *, names: list[str], **options: Any) -> dict[str, Any]:
    """Run `check` with a backend server that announces itself to a fake lease holder.

    Returns the report of the ledger of the backend server after its stop.
    """
    holder = FakeLeaseHolder(names)
    ledgers = []

    async def run() -> None:
        stop, end = anyio.Event(), anyio.Event()
        app = announcements.make_app(
            holder,
            secrets=Secrets(teams={}, operators={}, internal=[KEY]),
            counters=Counters(),
        )

        async def run_entry(*, task_status: anyio.abc.TaskStatus[int]) -> None:
            await serve(app, "127.0.0.1:0", None, end.wait, task_status=task_status)

        async def run_server(*, task_status: anyio.abc.TaskStatus[int]) -> None:
            ledger = await run_backend(
                settings, key=KEY, shutdown=stop.wait, incarnation=3, leaving_notice_s=0.3,
                task_status=task_status,
            )  # fmt: skip
            ledgers.append(ledger.report())

        async with anyio.create_task_group() as group:
            entry_port = await group.start(run_entry)
            settings = BackendSettings(
                "b1", "hem", "toluca", "r1",
                announce_to=[f"http://127.0.0.1:{entry_port}"], **options,
            )  # fmt: skip
            async with anyio.create_task_group() as servers:
                port = await servers.start(run_server)
                url = f"http://127.0.0.1:{port}"
                async with httpx.AsyncClient(base_url=url, trust_env=False) as client:
                    with anyio.fail_after(10):
                        await wait_until(lambda: holder.announcements_received != [])
                        await check(client, holder, settings, stop)
                stop.set()
            end.set()

    anyio.run(run)
    return ledgers[0]


async def run_tasks(client: httpx.AsyncClient, *run_s: float) -> tuple[int, list[dict[str, Any]]]:
    starts = [
        {"start_id": f"s{n}", "kind": "k", "payload": {"run_s": s}, "deadline_ms": 1000}
        for n, s in enumerate(run_s)
    ]
    response = await client.post("/v1/starts", json={"incarnation": 3, "starts": starts})
    return response.status_code, [json.loads(line) for line in response.text.split("\n") if line]


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110
        await anyio.sleep(0.005)


def test_announcements_follow_the_holder_named_in_the_reply():
    """Guards against announcements that do not repeat the latest lease holder.

    `followed` must be set from the second holder on. A silent server must not announce itself.
    """

    async def check(_: Any, holder: FakeLeaseHolder, settings: BackendSettings, stop: Any) -> None:
        await wait_until(lambda: len(holder.announcements_received) >= 4)
        holder_and_followed = [
            (item.holder and item.holder.entry_id, item.followed)
            for item in holder.announcements_received[:4]
        ]
        assert holder_and_followed == [(None, False), ("e1", False), ("e2", True), ("e2", True)]
        assert [item.sequence for item in holder.announcements_received[:4]] == [1, 2, 3, 4]
        settings.behaviour.silent = True
        await anyio.sleep(0.1)
        count = len(holder.announcements_received)
        await anyio.sleep(0.2)
        assert len(holder.announcements_received) == count
        settings.behaviour.silent = False

    with_backend(check, names=["e1", "e2"])


def test_stop_is_announced_before_starts_are_refused():
    """Guards against starts that are refused because the lease holder does not know of the stop.

    Starts must be accepted for the notice period, and running tasks must end with a result.
    """

    async def check(
        client: httpx.AsyncClient, holder: FakeLeaseHolder, _: Any, stop: anyio.Event
    ) -> None:
        results = []

        async def run_long_task() -> None:
            results.append(await run_tasks(client, 0.8))

        async with anyio.create_task_group() as group:
            group.start_soon(run_long_task)
            await wait_until(lambda: any(item.running for item in holder.announcements_received))
            stop.set()
            await wait_until(lambda: holder.announcements_received[-1].leaving)
            assert (await run_tasks(client, 0.0))[0] == 200
            await anyio.sleep(0.4)
            assert (await run_tasks(client, 0.0))[0] == 503
        assert results[0][1][0]["status"] == "ok"

    ledger = with_backend(check, names=["e1"])
    assert (ledger["starts"], ledger["refused"], ledger["untaken"]) == (2, 1, 0)


def test_behaviour_can_be_changed_from_outside():
    """Guards against simulated faults that have no effect or accept an invalid value."""

    async def check(client: httpx.AsyncClient, *_: Any) -> None:
        async def change(**fields: Any) -> int:
            return (await client.post("/v1/behaviour", json=fields)).status_code

        assert await change(fail_probability=1.0) == 200
        status, results = await run_tasks(client, 30, 30)
        assert [result["status"] for result in results] == ["failed", "failed"]
        assert await change(fail_probability=0.0, slow_factor=3.0) == 200
        _, results = await run_tasks(client, 0.1)
        assert results[0]["run_s"] >= 0.1 * 3 / 2
        assert await change(refuse=True) == 200
        assert (await run_tasks(client, 0))[0] == 503
        assert await change(guard="none") == 400

    with_backend(check, names=["e1"], speed=2.0)


def test_guard_stop_ends_running_tasks():
    """Guards against tasks that run on although the platform stopped the worker."""

    async def check(client: httpx.AsyncClient, holder: FakeLeaseHolder, *_: Any) -> None:
        async def stop_when_running() -> None:
            await wait_until(lambda: holder.announcements_received[-1].running == 1)
            await client.post("/v1/behaviour", json={"guard": "stop"})

        async with anyio.create_task_group() as group:
            group.start_soon(stop_when_running)
            assert (await run_tasks(client, 30))[1][0]["status"] == "stopped"
        await wait_until(lambda: holder.announcements_received[-1].guard.value == "stop")

    with_backend(check, names=["e1"])


def test_task_of_a_closed_connection_runs_on_and_is_counted():
    """Guards against a ledger that misses a start because its connection was closed.

    The result must be kept for a later request, and counted as untaken.
    """

    async def check(client: httpx.AsyncClient, holder: FakeLeaseHolder, *_: Any) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(run_tasks, client, 0.3)
            await wait_until(lambda: holder.announcements_received[-1].running == 1)
            group.cancel_scope.cancel()
        await wait_until(lambda: holder.announcements_received[-1].running == 0)
        assert (await client.get("/v1/starts/s0")).json()["status"] == "ok"

    ledger = with_backend(check, names=["e1"], behaviour=Behaviour())
    assert (ledger["starts"], ledger["untaken"]) == (1, 1)
