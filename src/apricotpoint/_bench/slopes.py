"""Measures how costs grow with the size of the system, for docs/CAPACITY.md.

Usage: `python -m apricotpoint._bench.slopes [--smallest] [part ...]`. Prints
one JSON line for each measured point and one for each fitted line. CPU times
are the minimum of three runs of production code in this process; memory is
what tracemalloc counts.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argv_input import ArgvInput

from apricotpoint._bench import slopescontrol, slopesjobs, slopeslink, slopesreports, slopestasks

MEASURE_BY_PART: dict[str, Callable[..., None]] = {
    "reports": slopesreports.measure_reports,
    "envelope": slopesreports.measure_envelope,
    "announcements": slopesreports.measure_announcements,
    "placement": slopestasks.measure_placement,
    "binding": slopestasks.measure_binding,
    "exchanges": slopestasks.measure_exchanges,
    "jobs": slopesjobs.measure_jobs,
    "queue": slopestasks.measure_queue,
    "table": slopesjobs.measure_table,
    "counters": slopesjobs.measure_counters,
    "staleness": slopesreports.measure_staleness,
    "messages": slopeslink.measure_messages,
    "idle-links": slopeslink.measure_idle_links,
    "lines": slopeslink.measure_lines,
    "configuration": slopescontrol.measure_configuration,
    "replicas": slopescontrol.measure_replicas,
    "distribution": slopescontrol.measure_distribution,
    "log": slopescontrol.measure_log,
    "registry": slopescontrol.measure_registry,
}


class SlopesCommand(Command):
    """Measures the given parts, or all."""

    name = "run"
    description = "Measures how costs grow with the size of the system."
    arguments = [
        argument(
            "part", "parts to measure: " + ", ".join(MEASURE_BY_PART), optional=True, multiple=True
        )
    ]
    options = [option("smallest", None, "measure the two smallest sizes only")]

    def handle(self) -> int:
        """Run the measurements; return 0, or 1 if a part is unknown."""
        parts = self.argument("part") or list(MEASURE_BY_PART)
        unknown = [part for part in parts if part not in MEASURE_BY_PART]
        if unknown:
            known = ", ".join(MEASURE_BY_PART)
            self.line_error(f"part {unknown[0]!r} is unknown; use one of {known}")
            return 1
        for part in parts:
            MEASURE_BY_PART[part](smallest=bool(self.option("smallest")))
        return 0


def main() -> int:
    """Run the command and return its exit status."""
    application = Application("slopes")
    application.add(SlopesCommand())
    return application.run(ArgvInput([sys.argv[0], "run", *sys.argv[1:]]))


if __name__ == "__main__":
    raise SystemExit(main())
