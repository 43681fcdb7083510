"""Sentences of the users' pages that allow the faults, and how often each kind is drawn."""

from __future__ import annotations

from apricotpoint._soak.series import FaultKind

TOLERATED = "fault_tolerance specifies what may be lost at the same time while all rules are kept"
OVERLAP = "Losses may also overlap beyond it, as long as no more disks are lost than it allows"
UNCOUNTED = "Any number of other machines may be lost"
REMOVED = "A machine of the core may be removed permanently, with or without SIGTERM"
ADDED = "another machine may be added with the same roles, at a new address"
EMPTY_DISK = "A machine may lose its disk"
ALL_KILLED = "All processes of the core may be killed at the same moment and be back"
FINAL_FAULT = "Some days end with a final fault, immediately after an acknowledgement"
HALVES = "the machines that count may also be split into two halves"
RESET_ALL = "Connection resets may also affect machines of the core"
SILENT = "Open connections may go silent for good, without a reset, while new ones work"
STOPPED = "To stop a process, the platform sends SIGTERM, and then SIGKILL"
HANG_UP = "SIGHUP indicates that the settings file has changed"
NARROWED = "Links have a delay, a bandwidth and small windows"
ODD = "An entry or a heartbeat may come from another writer"
LOADED = "many users come at once"
LEAVES = "Before a planned end, the worker reports draining"
FLAPS = "workers go down and up by turns"
SHRINKS = "A new incarnation may be of a different kind"
DEADLY = "After a crash, the worker runs nothing and has seen no fencing token"

WEIGHT_BY_KIND = {
    FaultKind.FREEZE: 8,
    FaultKind.KILL: 6,
    FaultKind.STOP: 4,
    FaultKind.HANG_UP: 2,
    FaultKind.POWER_LOSS: 1,
    FaultKind.LOSE_DISK: 2,
    FaultKind.REPLACE: 2,
    FaultKind.REPLACE_PLANNED: 1,
    FaultKind.ADD: 1,
    FaultKind.ADD_UNCOUNTED: 2,
    FaultKind.LOSE_UNCOUNTED: 2,
    FaultKind.CUT: 2,
    FaultKind.SPLIT: 1,
    FaultKind.SILENCE: 3,
    FaultKind.DELAY: 3,
    FaultKind.RESET: 2,
    FaultKind.NARROW: 2,
    FaultKind.ODD_ANNOUNCEMENTS: 1,
    FaultKind.BURST: 1,
    FaultKind.DEADLY_JOB: 1,
    FaultKind.BACKEND_LEAVES: 2,
    FaultKind.BACKEND_FLAPS: 1,
    FaultKind.BACKEND_SHRINKS: 1,
}
