"""What the fakes of a cell counted."""

from __future__ import annotations

import attrs


@attrs.frozen
class Seen:
    """What the caller or operator and the backend servers saw.

    `starts` has the numbers of starts of the tasks, or how often the change was
    in force, before `again`: the code of the same request sent again through
    another entry process. `other` is the code of a second operator.
    """

    code: int
    starts: tuple[int, ...]
    again: int
    cancel_code: int | None = None
    other: int | None = None
