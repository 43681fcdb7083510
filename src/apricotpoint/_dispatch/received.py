"""Batches received from one coordinator incarnation."""

from __future__ import annotations

from collections import deque

import attrs

from apricotpoint._dispatch.queue import Batch

_MAX_REMEMBERED = 65_536


@attrs.define(eq=False)
class ReceivedBatches:
    """Open batches by id, and the ids received, so that a repeated one starts nothing.

    Ids that are forgotten raise `_floor`: an id at or below it counts as
    received, which at worst leaves a batch unanswered but starts none twice.
    """

    incarnation: int
    open_by_id: dict[int, Batch] = attrs.Factory(dict)
    _ids: set[int] = attrs.Factory(set)
    _order: deque[int] = attrs.Factory(deque)
    _floor: int = -1

    def remember(self, batch_id: int) -> bool:
        """Record an id; False if it was received before."""
        if batch_id <= self._floor or batch_id in self._ids:
            return False
        self._ids.add(batch_id)
        self._order.append(batch_id)
        if len(self._order) > _MAX_REMEMBERED:
            oldest = self._order.popleft()
            self._ids.discard(oldest)
            self._floor = max(self._floor, oldest)
        return True
