"""Only the platform adapter depends on the platform."""

from __future__ import annotations

import re
from pathlib import Path

import apricotpoint

PACKAGE = Path(apricotpoint.__file__).parent
# Names that the platform uses on the wire and in settings, and that no other package uses.
PLATFORM_NAMES = [
    "ack_seq",
    "advise",
    "best_effort",
    'born"',
    "cold_remaining_ms",
    "contact_timeout",
    "deregister",
    "evacuation_timeout_ms",
    "fencing_token",
    "heartbeat_address",
    "loss_slack",
    "max_hold_ms",
    "path_prefix",
    "requested_memory_mb",
    "run-start",
    "run-stop",
    "seed_nodes",
    "stretch_factor",
    "target_latency",
]


def test_no_other_package_uses_names_of_the_platform():
    """Guards against packages that work with this platform only."""
    pattern = re.compile("|".join(map(re.escape, PLATFORM_NAMES)))
    found = [
        f"{path.relative_to(PACKAGE)}: {match}"
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
        for match in pattern.findall(path.read_text())
    ]
    assert found == []


def test_no_other_package_imports_the_platform_adapter():
    """Guards against a dependency of other packages on the adapter."""
    found = [
        str(path.relative_to(PACKAGE))
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
        and "apricotpoint.platform" in path.read_text()
    ]
    assert found == []
