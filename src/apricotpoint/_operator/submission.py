"""Conversion of settings and `task` clauses of commands to values and task specs."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import attrs
import msgspec

from apricotpoint._core import settings
from apricotpoint._core.errors import ApricotError
from apricotpoint._operator.conditions import Duration
from apricotpoint._operator.errors import invalid_command
from apricotpoint._operator.statements import Setting, TaskClause
from apricotpoint._wire.codec import find_encode_error
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
    """Return the values by setting name, durations in seconds.

    Raises `ApricotError` with code 4103 for a name that is given twice.
    """
    values: dict[str, Any] = {}
    for item in items:
        if item.name in values:
            raise invalid_command(f"setting {item.name!r} is given twice", "give it once")
        value = item.value
        values[item.name] = value.seconds if isinstance(value, Duration) else value
    return values


def task_specs(clause: TaskClause) -> list[TaskSpec]:
    """Return the tasks of one `task` clause, `count` equal ones.

    Raises `ApricotError` with code 4103 for an unknown setting, an invalid value, or
    a payload that is not JSON. For settings, the remedy names the valid ones.
    """
    values = setting_values(clause.settings)
    try:
        task_settings = settings.structure(values, _TaskSettings, source=f"task {clause.kind!r}")
    except ApricotError as error:
        names = ", ".join(attrs.fields_dict(_TaskSettings))
        raise invalid_command(error.message, f"the settings of a task are {names}") from error
    if not 1 <= task_settings.count <= MAX_TASKS:
        raise invalid_command(
            f"task {clause.kind!r} has count {task_settings.count}", f"use 1 to {MAX_TASKS}"
        )
    try:
        payload = msgspec.json.decode(task_settings.payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise invalid_command(
            f"payload of task {clause.kind!r} is not JSON: {error}",
            'write JSON in a string, for example payload = "{\\"length_mm\\": 1200}"',
        ) from error
    encode_error = find_encode_error(payload)
    if encode_error is not None:
        raise invalid_command(
            f"payload of task {clause.kind!r} cannot be passed on: {encode_error}",
            "use integers of at most 64 bits and less nesting",
        )
    spec = TaskSpec(
        kind=clause.kind,
        payload=payload,
        idempotent=task_settings.idempotent,
        declared_s=task_settings.declared,
        cores=task_settings.cores,
        memory_mb=task_settings.memory_mb,
        accelerators=task_settings.accelerators,
    )
    return [spec] * task_settings.count
