"""Choice of the holders that may schedule a job whose data is in one location.

Load pattern: the backend servers of a location are divided among several holders, and a
job that reaches a holder without any of them runs far from its data. A holder without
free room is not preferred, so that jobs which name one location do not crowd its holders
while others are idle.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from apricotpoint._wire.pool import EntryStatus, PoolJob


@attrs.frozen
class HolderChoice:
    """Holders of which one gets a job at random, by `weights` or equally, if there are several.

    With `any_of` one is drawn although there may be only one.
    """

    ids: list[str]
    weights: list[float] | None = None
    any_of: bool = False

    def share_by_holder(self) -> dict[str, float]:
        """Return the probability of each holder."""
        weights = self.weights or [1.0] * len(self.ids)
        return {key: weight / sum(weights) for key, weight in zip(self.ids, weights, strict=True)}


def prefer_near(
    request: PoolJob,
    status_by_entry: Mapping[str, EntryStatus],
    location_of: Callable[[str], str],
) -> dict[str, EntryStatus]:
    """Return the holders of backend servers in the location of the job that have free room.

    These are all holders if there is none, or if the job names no location. `location_of` returns
    the announced location of a backend server, empty if it is not known, as of one whose
    announcement is missing here.
    """
    locality = request.locality
    if locality is None or not locality.location:
        return dict(status_by_entry)
    near = {
        entry_id: status
        for entry_id, status in status_by_entry.items()
        if status.load.free > 0
        and any(location_of(backend_id) == locality.location for backend_id in status.held)
    }
    return near or dict(status_by_entry)
