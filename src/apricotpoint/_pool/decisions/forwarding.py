"""Choice of another holder for a job that a holder has refused.

The load pattern behind it is load that swings with a different phase in each failure domain: while
the holders of one domain refuse jobs, those of another have free room.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from apricotpoint._wire.pool import PoolJob, PoolLoad

# A job goes to a process whose expected wait is below this share of the own one.
FORWARD_WAIT_SHARE = 0.5
# A job is forwarded at most this often: each time costs it a message both ways, and a third holder
# rarely has room when two had none.
MAX_FORWARDS = 2
# Free room reported this long ago is counted half: other holders have forwarded jobs there since.
# Holders of the same domain report every 0.2 s, distant ones less often.
HALVING_AGE_S = 1.0


@attrs.frozen
class Holder:
    """A holder of backend servers with its last load report and the age of that in seconds."""

    entry_id: str
    load: PoolLoad
    age_s: float


def expected_wait_s(load: PoolLoad, request: PoolJob) -> float:
    """Return a rough wait of a job at a holder, in seconds, for the choice among holders.

    A job with many tasks waits for some of them even without a backlog, if they find no room
    at once. Without any capacity the wait is infinite.
    """
    if not load.capacity:
        return math.inf
    waiting_tasks = max(request.count - load.free, 0)
    return load.backlog_s + request.estimate_s * waiting_tasks / load.capacity


def choose_holder(
    request: PoolJob, own: PoolLoad, others: Iterable[Holder]
) -> tuple[Holder, float, float] | None:
    """Return the holder to which to forward a job, with its and the own expected wait in seconds.

    None if none can start the job now or much sooner, if the job was forwarded `MAX_FORWARDS`
    times, or if the only such holders have refused it. Among several, the free room of a report
    counts less the older it is; a holder without a report has an infinite age.
    """
    if request.forwarded or len(request.refused_by) >= MAX_FORWARDS:
        return None
    own_s = expected_wait_s(own, request)

    def rank(holder: Holder) -> tuple[float, int, str]:
        recent_share = 0.5 ** (max(holder.age_s, 0.0) / HALVING_AGE_S)
        load = attrs.evolve(holder.load, free=int(holder.load.free * recent_share))
        # Of holders with the same wait, the one with the most room is the safest.
        return expected_wait_s(load, request), -load.free, holder.entry_id

    candidates = [
        (holder, wait_s)
        for holder in others
        if holder.entry_id not in request.refused_by
        and math.isfinite(holder.age_s)
        # Reports of distant holders are usually 0.3 s old, so age alone rules none out.
        and (
            (wait_s := expected_wait_s(holder.load, request)) == 0
            or wait_s < own_s * FORWARD_WAIT_SHARE
        )
    ]
    if not candidates:
        return None
    best, best_s = min(candidates, key=lambda candidate: rank(candidate[0]))
    return best, best_s, own_s
