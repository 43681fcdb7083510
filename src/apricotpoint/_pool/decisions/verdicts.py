"""Verdict on a task by the crashes of the backend servers that ran it.

The load pattern behind it: one task ends the process of each backend server that starts it.
Restarted without a limit it takes down one after the other, and each takes the runs of sound
tasks along. A lost run alone shows nothing, as a partition or a pause of the VM looks the same at
first, so a verdict needs evidence from several backend servers, or from one without other runs.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

# Crashes after which a task is given up if at least one of them happened while it ran alone, and
# after which it is given up in any case.
MAX_CRASHES_ALONE, MAX_CRASHES = 2, 3


class Evidence(enum.IntEnum):
    """What shows that a backend server crashed; a higher value is stronger.

    `SILENT`: it stopped to answer, which a partition explains as well. `REFUSED`: its VM also
    refused connections, so that most likely its process has ended. `GONE`: moreover, nothing was
    heard of it for long; it counts as crashed unless it answers again.
    `CRASHED`: another incarnation has replaced it.
    """

    SILENT = 0
    REFUSED = 1
    GONE = 2
    CRASHED = 3


class Verdict(enum.Enum):
    """How a task may start, by the crashes under it.

    `CLEAR`: like any other. `SUSPECT`: only on a backend server without other runs. `PENDING`: not
    until more is known of the backend servers on which its last runs were lost. `GIVEN_UP`: never.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    PENDING = "pending"
    GIVEN_UP = "given_up"


def judge(evidence: Iterable[tuple[Evidence, bool]]) -> Verdict:
    """Return the verdict on a task by the evidence of each loss and whether it was alone there."""
    losses = list(evidence)
    crashed = [alone for kind, alone in losses if kind >= Evidence.GONE]
    if len(crashed) >= MAX_CRASHES or (len(crashed) >= MAX_CRASHES_ALONE and any(crashed)):
        return Verdict.GIVEN_UP
    refused = sum(kind is Evidence.REFUSED for kind, _ in losses)
    silent = sum(kind is Evidence.SILENT for kind, _ in losses)
    # One silent backend server is more likely cut off; a series of them under one task is not.
    likely = len(crashed) + refused
    likely += silent if likely else max(silent - 1, 0)
    if likely >= MAX_CRASHES_ALONE and refused + silent:
        return Verdict.PENDING
    return Verdict.SUSPECT if likely else Verdict.CLEAR
