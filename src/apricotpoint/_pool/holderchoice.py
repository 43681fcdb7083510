"""Choice of the entry process that schedules a job."""

from __future__ import annotations

import random as random_module

import logbook

from apricotpoint._core.counters import Counters
from apricotpoint._pool.decisions import claims, evacuation, forwarding, nearholders
from apricotpoint._pool.holders.members import EntryMembers
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._wire.pool import PoolJob, PoolLoad

# Backlog that halves the jobs which a holder without free room gets.
BACKLOG_HALVING_S = 0.1

_log = logbook.Logger("jobs")


def routing_weight(load: PoolLoad) -> float:
    """Return the relative share of the jobs that a holder with this load gets.

    Free room counts most; without any, holders with a short backlog get more.
    """
    return max(load.free, 0) + 1 / (1 + max(load.backlog_s, 0.0) / BACKLOG_HALVING_S)


class HolderChooser:
    """Chooses among the known holders of backend servers, for the jobs that reach this process.

    `own_domain` is the failure domain of this process, whose holders are preferred.
    """

    def __init__(
        self,
        *,
        own_domain: str,
        members: EntryMembers,
        scheduler: Scheduler,
        counters: Counters,
        random: random_module.Random,
    ) -> None:
        self._own_domain = own_domain
        self._members = members
        self._scheduler = scheduler
        self._counters = counters
        self._random = random

    def scheduling_process(self, excluded: set[str], request: PoolJob) -> str | None:
        """Return one of the processes of `holder_choice` at random, None if there is none."""
        choice = self.holder_choice(excluded, request)
        if choice.weights is not None:
            return self._random.choices(choice.ids, choice.weights)[0]
        if choice.any_of and choice.ids:
            return self._random.choice(choice.ids)
        return choice.ids[0] if choice.ids else None

    def holder_choice(self, excluded: set[str], request: PoolJob) -> nearholders.HolderChoice:
        """Return the processes of which one schedules a job: those of the own domain, if any.

        Of several holders one is chosen at random by its free room, so that the entry processes
        do not all send their jobs to the same one until its next status arrives. Holders in the
        location of its data go first while they have free room. Holders of evacuated failure
        domains only are left out.
        """
        evacuated = self._scheduler.evacuations.domains
        live = {
            entry_id: status
            for entry_id, status in self._members.live_entries().items()
            if entry_id not in excluded and not status.draining and status.held
        }
        usable = evacuation.usable_holders(live, evacuated)
        live = nearholders.prefer_near(request, usable, self._members.location_of)
        is_evacuated = self._own_domain in evacuated
        local_ids = [] if is_evacuated else claims.holders(self._own_domain, live)
        if not local_ids and (is_evacuated or len(live) < len(usable)):
            local_ids = list(live)
        if is_evacuated and local_ids:
            self._counters.add("jobs.routed_elsewhere_evacuated")
        if local_ids:
            own_id = self._members.entry_id
            if own_id in local_ids and live[own_id].load.free:
                return nearholders.HolderChoice([own_id])
            weights = [routing_weight(live[entry_id].load) for entry_id in local_ids]
            return nearholders.HolderChoice(local_ids, weights)
        if live:
            best = min(live, key=lambda entry_id: (live[entry_id].load.backlog_s, entry_id))
            return nearholders.HolderChoice([best])
        # Holders of other failure domains send their status to holders only.
        distant = {
            entry_id: summary
            for entry_id, summary in self._members.available_summaries().items()
            if summary.is_holder
            and not summary.draining
            and entry_id not in excluded
            and entry_id != self._members.entry_id
            and summary.failure_domain != self._own_domain
        }
        distant_ids = evacuation.prefer_usable(distant, evacuated)
        if is_evacuated and distant_ids:
            self._counters.add("jobs.routed_elsewhere_evacuated")
        return nearholders.HolderChoice(distant_ids, any_of=True)

    def less_loaded_process(self, request: PoolJob) -> str | None:
        """Return another holder that can run the job now or much sooner, None if there is none.

        A job that a process which is shutting down refuses is routed anew by its origin.
        """
        if self._scheduler.draining:
            return None
        evacuated = self._scheduler.evacuations.domains
        live = evacuation.usable_holders(self._members.live_entries(), evacuated)
        others = [
            forwarding.Holder(entry_id, status.load, self._members.seconds_since_contact(entry_id))
            for entry_id, status in live.items()
            if entry_id != self._members.entry_id and not status.draining and status.held
        ]
        choice = forwarding.choose_holder(request, self._scheduler.load(), others)
        if choice is None:
            return None
        holder, other_s, own_s = choice
        _log.info(
            "job {} is moved to {}: expected wait {:.3f} s there, {:.3f} s here",
            request.job_id,
            holder.entry_id,
            other_s,
            own_s,
        )
        return holder.entry_id
