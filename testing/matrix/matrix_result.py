"""The observed result of a cell of the fault matrix."""

from __future__ import annotations

import attrs


@attrs.frozen
class CellResult:
    """What the caller or operator and the backend servers observed.

    `code` is the first answer's result code. `starts` has the number of starts of
    each task, or how often the change was applied, before the same request was sent
    again through another entry process; `resubmission_code` is the result code of
    that. `other` is the result code for a second operator, None without one.
    """

    code: int
    starts: tuple[int, ...]
    resubmission_code: int
    cancel_code: int | None = None
    other: int | None = None
