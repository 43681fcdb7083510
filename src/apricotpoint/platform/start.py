"""Starts one of the programs for the platform: `python -m apricotpoint.platform.start entry`."""

from __future__ import annotations

import gc
import importlib
import signal
import sys


def main() -> int:
    """Run the program that the command line names and return its exit status."""
    # The platform may say at any time that the settings file has changed. The signal would end
    # the process until the program, whose import takes a while, has installed its handler; the
    # program reads the file later anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports make no garbage, and collections take a tenth of their time. The program enables
    # them again (`process.run_program`).
    gc.disable()
    program = importlib.import_module(f"apricotpoint.platform.{sys.argv[1]}")
    return int(program.main())


if __name__ == "__main__":
    sys.exit(main())
