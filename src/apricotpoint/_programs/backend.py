"""`apricot-backend`: a simulated backend server."""

from __future__ import annotations

import sys
from pathlib import Path

from apricotpoint._backend.server import run_backend
from apricotpoint._backend.settings import BackendSettings
from apricotpoint._core.logs import LogSettings, make_handler
from apricotpoint._core.secrets import load_secrets
from apricotpoint._programs.console import run_commands, settings_commands
from apricotpoint._programs.signals import wait_for_stop_signal


def main() -> int:
    """Run the console program and return its exit status."""
    return run_commands("apricot-backend", settings_commands(BackendSettings, _run))


async def _run(settings: BackendSettings) -> None:
    key = load_secrets(Path(settings.secrets_file)).internal_keys()[0].decode()
    with make_handler(LogSettings()).applicationbound():
        await run_backend(settings, key=key, shutdown=wait_for_stop_signal)


if __name__ == "__main__":
    sys.exit(main())
