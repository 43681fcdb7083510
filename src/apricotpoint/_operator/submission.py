"""Tasks and settings of commands as plain values."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import attrs
import msgspec

from apricotpoint._core import settings
from apricotpoint._core.errors import ApricotError
from apricotpoint._operator.conditions import Duration
from apricotpoint._operator.failures import invalid_command
from apricotpoint._operator.statements import Setting, TaskClause
from apricotpoint._wire.tasks import MAX_TASKS, TaskSpec


@attrs.frozen
class _TaskSettings:
    count: int = 1
    payload: str = "null"
    idempotent: bool = False
    declared: float | None = None
    cores: int = 1
    memory_mb: int = 0
    accelerators: int = 0


def setting_values(items: Sequence[Setting]) -> dict[str, Any]:
    """Return the values by name; durations are in seconds."""
    values: dict[str, Any] = {}
    for item in items:
        if item.name in values:
            raise invalid_command(f"setting {item.name!r} is given twice", "give it once")
        value = item.value
        values[item.name] = value.seconds if isinstance(value, Duration) else value
    return values


def task_specs(clause: TaskClause) -> list[TaskSpec]:
    """Return the tasks of one `task` clause.

    Raises `ApricotError` with code 4103 that names the settings there are.
    """
    values = setting_values(clause.settings)
    try:
        checked = settings.structure(values, _TaskSettings, source=f"task {clause.kind!r}")
    except ApricotError as error:
        names = ", ".join(attrs.fields_dict(_TaskSettings))
        raise invalid_command(error.message, f"the settings of a task are {names}") from error
    if not 1 <= checked.count <= MAX_TASKS:
        raise invalid_command(
            f"task {clause.kind!r} has count {checked.count}", f"use 1 to {MAX_TASKS}"
        )
    try:
        payload = msgspec.json.decode(checked.payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise invalid_command(
            f"payload of task {clause.kind!r} is not JSON: {error}",
            'write JSON in a string, for example payload = "{\\"length_mm\\": 1200}"',
        ) from error
    spec = TaskSpec(
        kind=clause.kind,
        payload=payload,
        idempotent=checked.idempotent,
        declared_s=checked.declared,
        cores=checked.cores,
        memory_mb=checked.memory_mb,
        accelerators=checked.accelerators,
    )
    return [spec] * checked.count
