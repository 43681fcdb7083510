"""Batches received from one incarnation of a coordinator."""

from __future__ import annotations

from collections import deque

import attrs

from apricotpoint._dispatch.queue import Batch

_MAX_RECORDED_IDS = 65_536


@attrs.define(eq=False)
class ReceivedBatches:
    """Open batches by id, and the ids received, so that no batch is started twice.

    Only the ids received last are kept. An id at or below
    `_highest_evicted_id` counts as received: at worst a late batch gets no
    answer, but none is started twice.
    """

    incarnation: int
    open_batch_by_id: dict[int, Batch] = attrs.Factory(dict)
    _recorded_ids: set[int] = attrs.Factory(set)
    _ids_by_arrival: deque[int] = attrs.Factory(deque)
    _highest_evicted_id: int = -1

    def record(self, batch_id: int) -> bool:
        """Record an id; return False if it was received before or may have been."""
        if batch_id <= self._highest_evicted_id or batch_id in self._recorded_ids:
            return False
        self._recorded_ids.add(batch_id)
        self._ids_by_arrival.append(batch_id)
        if len(self._ids_by_arrival) > _MAX_RECORDED_IDS:
            oldest = self._ids_by_arrival.popleft()
            self._recorded_ids.discard(oldest)
            self._highest_evicted_id = max(self._highest_evicted_id, oldest)
        return True
