"""Batches received from one coordinator incarnation."""

from __future__ import annotations

from collections import deque

import attrs

from apricotpoint._dispatch.queue import Batch

_MAX_RECORDED_IDS = 65_536


@attrs.define(eq=False)
class ReceivedBatches:
    """Open batches by id, and the ids received, so that a repeated one starts nothing.

    Ids that are forgotten raise `_highest_evicted_id`: an id at or below it counts as
    received, which at worst leaves a batch unanswered but starts none twice.
    """

    incarnation: int
    open_batch_by_id: dict[int, Batch] = attrs.Factory(dict)
    _recorded_ids: set[int] = attrs.Factory(set)
    _ids_by_arrival: deque[int] = attrs.Factory(deque)
    _highest_evicted_id: int = -1

    def record(self, batch_id: int) -> bool:
        """Record an id; False if it was received before."""
        if batch_id <= self._highest_evicted_id or batch_id in self._recorded_ids:
            return False
        self._recorded_ids.add(batch_id)
        self._ids_by_arrival.append(batch_id)
        if len(self._ids_by_arrival) > _MAX_RECORDED_IDS:
            oldest = self._ids_by_arrival.popleft()
            self._recorded_ids.discard(oldest)
            self._highest_evicted_id = max(self._highest_evicted_id, oldest)
        return True
