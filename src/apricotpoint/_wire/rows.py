"""Rows that entry and control processes report to operator queries."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class RowsRequest:
    """Asks a process for its rows of one table: jobs, tasks, backends, vms, services, teams."""

    table: str


@attrs.frozen
class RowsReply:
    """Rows of a table as the process sees it."""

    rows: list[dict[str, Any]]


@attrs.frozen
class CancelWhere:
    """Asks a process to cancel its jobs with these keys; answered with `RowsReply`."""

    team_keys: list[list[str]]
