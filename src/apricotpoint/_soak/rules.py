"""Rules of the users' platform by which faults may occur, and how often each kind is drawn."""

from __future__ import annotations

from apricotpoint._soak.series import FaultKind

TOLERATED = "no more processes or failure domains are lost at a time than the deployment tolerates"
OVERLAP = "losses may overlap beyond that if no more disks are lost than it tolerates"
UNCOUNTED = "processes that do not count may be lost in any number"
REMOVED = "a control process may leave for good, with or without notice"
ADDED = "a control process may join at a new address"
EMPTY_DISK = "a process may come back with an empty disk"
ALL_KILLED = "all control processes may be killed together"
FINAL_FAULT = "a last fault may strike right after an acknowledgement"
HALVES = "the control processes that count may be cut into two halves"
RESET_ALL = "connections of control processes may be reset"
SILENT = "open connections may go silent while new ones work"
STOPPED = "a process gets SIGTERM, and SIGKILL at the end of its grace period"
HANG_UP = "SIGHUP tells a process that its settings have changed"
NARROWED = "links have a limited bandwidth"
ODD = "announcements may come from an unknown sender"
LOADED = "callers may send bursts above the capacity"
LEAVES = "a backend server announces that it is leaving"
FLAPS = "backend servers may end and start again by turns"
SHRINKS = "a restarted backend server may have other resources"
DEADLY = "a task may end the process of its backend server"

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
