"""State dumps: failing sections, secrets, and writing on a signal."""

from __future__ import annotations

import json
import os
import signal
from pathlib import Path

import anyio
import attrs
import pytest

from apricotpoint._core.settings import structure
from apricotpoint._core.timers import TimerService
from apricotpoint._operator.dump import StateDump, dump_on_signal

TOKEN = "s3cret-t0ken"


@attrs.frozen
class Settings:
    """Settings of a process that contain a token."""

    entry_id: str
    operator_token: str
    operator_token_file: str


@pytest.fixture
def settings(tmp_path: Path) -> Settings:
    token_file = tmp_path / "token"
    token_file.write_text(TOKEN)
    raw = {
        "entry_id": "puebla-1",
        "operator_token": TOKEN,
        "operator_token_file": str(token_file),
    }
    return structure(raw, Settings, source="test")


def make_dump(settings: Settings) -> StateDump:
    def fail() -> object:
        raise KeyError("queue")

    return StateDump(
        process_id=settings.entry_id,
        timers=TimerService(wall_clock=lambda: 1_800_000_000.5),
        section_by_name={
            "counters": lambda: {"jobs": {1: "a"}},
            "settings": lambda: {"operator_token_file": settings.operator_token_file},
            "holder": fail,
        },
    )


def test_token_in_the_settings_is_not_in_the_dump(settings: Settings, tmp_path: Path):
    """Guards against tokens in dumps, which operators pass on."""
    text = make_dump(settings).write(tmp_path / "dumps").read_text()
    assert settings.operator_token_file in text
    assert TOKEN not in text


def test_failing_section_does_not_hide_the_others(settings: Settings):
    """Guards against a process without a dump because one of its sections raises."""
    dump = make_dump(settings).build()
    assert dump["counters"] == {"jobs": {"1": "a"}}
    assert dump["holder"] == {"error": "KeyError: 'queue'"}


@pytest.mark.parametrize("backend", ["asyncio", "trio"])
def test_signal_writes_a_dump(settings: Settings, tmp_path: Path, backend: str):
    """Guards against a SIGUSR1 that writes no dump, an incomplete one, or ends the process."""
    folder = tmp_path / "dumps"

    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(dump_on_signal, make_dump(settings), folder)
            await anyio.wait_all_tasks_blocked()
            os.kill(os.getpid(), signal.SIGUSR1)
            with anyio.fail_after(30):
                while not list(folder.glob("*.json")):  # noqa: ASYNC110
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    anyio.run(main, backend=backend)
    (path,) = folder.iterdir()
    assert json.loads(path.read_text())["process"] == "puebla-1"
