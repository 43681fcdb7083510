"""Checks what the operators saw of the configuration."""

from __future__ import annotations

from collections import defaultdict

from apricotpoint._soak.checks import Violation
from apricotpoint._soak.sightings import Change, Reading, Sightings
from apricotpoint._soak.words import Limits


def find_configuration_violations(sightings: Sightings, limits: Limits) -> list[Violation]:
    """Return all violations of promises to operators."""
    return [
        *find_refused_changes(sightings.changes),
        *find_old_readings(sightings.changes, sightings.readings, limits.apply_s),
        *find_foreign_readings(sightings.changes, sightings.readings),
        *_find_late_recovery(sightings, limits.recovery_s),
    ]


def find_refused_changes(changes: list[Change]) -> list[Violation]:
    """Return a violation for each valid change that was refused for good."""
    return [
        Violation("CONFIG", f"version {change.version} was refused with {change.refused_with}")
        for change in changes
        if change.refused_with
    ]


def find_old_readings(
    changes: list[Change], readings: list[Reading], apply_s: float
) -> list[Violation]:
    """Return a violation for each reading that is older than an acknowledgement long before it."""
    found = []
    for reading in readings:
        known = [
            change.version
            for change in changes
            if change.acknowledged_at is not None
            and change.acknowledged_at + apply_s < reading.sent_at
        ]
        newest = max(known, default=0)
        if reading.version < newest:
            found.append(
                Violation(
                    "CONFIG",
                    f"{reading.control_id} gave version {reading.version} at "
                    f"{reading.sent_at:.3f} s, acknowledged was {newest}",
                )
            )
    return found


def find_foreign_readings(changes: list[Change], readings: list[Reading]) -> list[Violation]:
    """Return a violation for each version that was read with contents that it must not have.

    All readings of a version must agree. What was acknowledged before another content was sent
    under its number is kept.
    """
    changes_by_version: dict[int, list[Change]] = defaultdict(list)
    for change in changes:
        changes_by_version[change.version].append(change)
    first_by_version: dict[int, Reading] = {}
    found = []
    for reading in readings:
        same = changes_by_version[reading.version]
        first = first_by_version.setdefault(reading.version, reading)
        # Contents in the order in which they were first sent.
        sent_at_by_digest: dict[str, float] = {}
        for change in sorted(same, key=lambda change: change.sent_at):
            sent_at_by_digest.setdefault(change.digest, change.sent_at)
        decided_at = min(
            (change.acknowledged_at for change in same if change.acknowledged_at is not None),
            default=float("inf"),
        )
        allowed = {key for key, sent_at in sent_at_by_digest.items() if sent_at < decided_at}
        if reading.digest not in allowed or reading.digest != first.digest:
            found.append(
                Violation(
                    "CONFIG",
                    f"{reading.control_id} gave other content of version {reading.version} "
                    f"at {reading.sent_at:.3f} s",
                )
            )
    return found


def _find_late_recovery(sightings: Sightings, recovery_s: float) -> list[Violation]:
    recovered_s = sightings.recovered_s
    if recovered_s is not None and recovered_s <= recovery_s:
        return []
    late = "not at all" if recovered_s is None else f"{recovered_s:.1f} s"
    return [
        Violation(
            "RECOVER",
            f"the configuration was read from all control processes, changed, and jobs were "
            f"served {late} after the last process was back; {recovery_s:g} s are allowed",
        )
    ]
