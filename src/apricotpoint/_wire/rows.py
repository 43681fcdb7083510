"""Table rows that entry and control processes return to queries of operators."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class RowsRequest:
    """Asks for the rows of a table: jobs, tasks, backends, vms, services, teams, or internal."""

    table: str


@attrs.frozen
class RowsReply:
    """Answer to `RowsRequest` or `CancelWhere`: the rows that the process has."""

    rows: list[dict[str, Any]]


@attrs.frozen
class CancelWhere:
    """Asks to cancel the jobs with these pairs of team and key. Answered by `RowsReply`."""

    team_keys: list[list[str]]
