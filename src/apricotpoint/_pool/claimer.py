"""Claims failure domains, and acquires and releases their backend servers accordingly.

See `claims` for the rules by which entry processes choose the claimant.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import logbook

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._pool import claims
from apricotpoint._pool.members import LIVENESS_TIMEOUT_S, STATUS_PERIOD_S, EntryMembers
from apricotpoint._pool.roster import Roster
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._wire.pool import EntryStatus

CLAIM_CHECK_PERIOD_S = 0.1
# After a pause of the process, new claims wait until each live process has sent its status.
PAUSE_OBSERVATION_S = LIVENESS_TIMEOUT_S + STATUS_PERIOD_S
# A process that has just started and learned of the others receives their status within
# two status periods; new claims wait for it.
START_OBSERVATION_S = 2 * STATUS_PERIOD_S + CLAIM_CHECK_PERIOD_S
# A check that is delayed by this much means that the process was paused: other entry
# processes regard it as unreachable and may have acquired its backend servers.
PAUSE_THRESHOLD_S = 0.8
# A failure domain counts as reachable if something was received from it within this time.
# Its backend servers announce themselves every 1.5 s each, spread over that period.
REACHABLE_S = 0.6
# Time before a process that was fenced off makes a new claim.
FENCED_BACKOFF_S = 1.0
# The upper bits of a fencing token are the term of the claim. The lower bits are for the
# increments by which a holder fences off its own earlier starts. Terms follow the wall clock
# in seconds, so tokens stay below 2**53, up to which JSON numbers are exact.
TERM_BITS = 22

_log = logbook.Logger("claims")


class Claimer:
    """Claims of one entry process on failure domains.

    Call `check` every `CLAIM_CHECK_PERIOD_S`: a late call counts as a pause of the process, after
    which all claims are given up. `domains` returns all failure domains of the deployment,
    `suspended_s` the seconds for which the machine was suspended so far, which the monotonic
    clock does not count. Set `draining` to make no more claims and to hand over backend servers.
    """

    def __init__(
        self,
        *,
        domains: Callable[[], Collection[str]],
        scheduler: Scheduler,
        roster: Roster,
        timers: TimerService,
        counters: Counters,
        suspended_s: Callable[[], float],
        max_single_holder_backends: int = claims.MAX_SINGLE_HOLDER_BACKENDS,
    ) -> None:
        self.draining = False
        self._max_single_holder_backends = max_single_holder_backends
        self._domains = domains
        self._scheduler = scheduler
        self._roster = roster
        self._timers = timers
        self._counters = counters
        self._suspended_s = suspended_s
        self._term_by_domain: dict[str, int] = {}
        self._min_term_by_domain: dict[str, int] = {}
        self._no_new_claims_until = self._checked_at = self._checked_suspended_s = 0.0
        roster.subscribe(scheduler.announce)
        scheduler.on_backend_ended = roster.remove_ended

    def start_pause_detection(self) -> None:
        """Start to measure the time between checks; call this before the first `check`."""
        self._checked_at, self._checked_suspended_s = self._timers.now(), self._suspended_s()

    def term_by_claim(self) -> dict[str, int]:
        """Return the term of each claim of this process by failure domain."""
        return dict(self._term_by_domain)

    def held_backend_ids(self) -> list[str]:
        """Return the ids of the backend servers held, which no other process may acquire yet."""
        return list(self._scheduler.held_by_id)

    def responsive_backend_count(self) -> int:
        """Return the number of held backend servers that answer lease renewals."""
        return sum(held.is_responsive for held in self._scheduler.held_by_id.values())

    def has_single_holder(self) -> bool:
        """Return whether the pool is so small that one process holds all failure domains."""
        return len(self._roster.announcement_by_id) <= self._max_single_holder_backends

    def give_up_claim(self, domain: str) -> None:
        """Give up the claim on a failure domain where another holder has a higher fencing token."""
        term = self._term_by_domain.pop(domain, None)
        if term is not None:
            # If that holder turns out to be unreachable, the next claim needs a higher term.
            self._min_term_by_domain[domain] = term + int(2 * FENCED_BACKOFF_S) + 1
            self._counters.add("claims.fenced")
            _log.warning(
                "fenced off in failure domain {}: claim with term {} given up",
                domain,
                term,
            )
        self._no_new_claims_until = max(
            self._no_new_claims_until, self._timers.now() + FENCED_BACKOFF_S
        )

    def check(self, members: EntryMembers) -> None:
        """Update the claims from the status of the live entry processes and act on them.

        Makes no claims until a control process has answered once.
        """
        self._check_pause()
        if members.first_welcome_at is None:
            # While the other entry processes are unknown, a claim could fence off their leases.
            return
        self._no_new_claims_until = max(
            self._no_new_claims_until, members.first_welcome_at + START_OBSERVATION_S
        )
        live = members.live_entries()
        if not self.draining:
            self._update_claims(members, live)
        self._release_backends(members, live)
        self._acquire_backends(members, live)

    def _check_pause(self) -> None:
        now, suspended_s = self._timers.now(), self._suspended_s()
        paused_s = now - self._checked_at + suspended_s - self._checked_suspended_s
        self._checked_at, self._checked_suspended_s = now, suspended_s
        if paused_s < PAUSE_THRESHOLD_S:
            return
        _log.warning("process was paused for {:.1f} s; giving up all claims", paused_s)
        self._counters.add("claims.pauses")
        self._term_by_domain.clear()
        self._no_new_claims_until = now + PAUSE_OBSERVATION_S
        self._scheduler.release_all(f"process was paused for {paused_s:.1f} s")

    def _update_claims(self, members: EntryMembers, live: dict[str, EntryStatus]) -> None:
        own_id, now = members.entry_id, self._timers.now()
        single_holder = self.has_single_holder()
        leads = single_holder and claims.leader(live) == own_id
        for domain in self._domains():
            if single_holder:
                wanted = leads and self._is_reachable(domain, members, live)
            else:
                wanted = claims.should_claim(own_id, domain, live)
            if domain in self._term_by_domain:
                if not wanted:
                    del self._term_by_domain[domain]
                    _log.notice("released the claim on failure domain {}", domain)
                    members.send_status()
            elif (
                wanted
                and now >= self._no_new_claims_until
                and self._may_claim(domain, members, live)
            ):
                min_term = max(
                    int(self._timers.wall_time()), self._min_term_by_domain.get(domain, 0)
                )
                term = claims.next_term(domain, live, min_term)
                self._term_by_domain[domain] = term
                self._counters.add("claims.made")
                _log.notice("claimed failure domain {} with term {}", domain, term)
                members.send_status()

    def _may_claim(self, domain: str, members: EntryMembers, live: dict[str, EntryStatus]) -> bool:
        """Return whether this process may make a new claim on a failure domain.

        A process that receives nothing from other entry processes may itself be cut off. It
        then keeps its claims but makes no new ones, except on its own failure domain while it
        still receives announcements from there, which arrive through a control process: then
        the whole failure domain is cut off and has to serve its callers by itself.
        """
        if members.has_live_peers():
            return True
        is_own = domain == live[members.entry_id].failure_domain
        return is_own and self._in_contact(domain)

    def _is_reachable(
        self, domain: str, members: EntryMembers, live: dict[str, EntryStatus]
    ) -> bool:
        """Return whether a failure domain may be claimed by a single holder of the pool.

        True for the own failure domain, for those already claimed, and for those from which
        something was received within `REACHABLE_S`. Without this check, a process that
        is cut off together with its failure domain would claim all others, and would fence off
        their holder when the partition ends.
        """
        if domain in self._term_by_domain or domain == live[members.entry_id].failure_domain:
            return True
        # Processes that are cut off become unreachable one after another within one status
        # period, so it is not enough that one of them still counts as live.
        ages_s = (
            members.seconds_since_contact(entry_id)
            for entry_id, status in live.items()
            if entry_id != members.entry_id and status.failure_domain == domain
        )
        return min(ages_s, default=REACHABLE_S + 1) <= REACHABLE_S or self._in_contact(domain)

    def _in_contact(self, domain: str) -> bool:
        last_contact_at = self._roster.last_contact_at(domain)
        return last_contact_at is not None and self._timers.now() - last_contact_at <= REACHABLE_S

    def _release_backends(self, members: EntryMembers, live: dict[str, EntryStatus]) -> None:
        others = {
            domain
            for entry_id, status in live.items()
            if entry_id != members.entry_id and not status.draining
            for domain in status.term_by_claim
        }
        handed_over = False
        for backend_id, held in list(self._scheduler.held_by_id.items()):
            announcement = self._roster.announcement_by_id.get(backend_id)
            if announcement is None:
                self._scheduler.release(backend_id, "it was unregistered or is unreachable")
            elif held.is_responsive:
                self._roster.record_contact(backend_id)
            domain = held.announcement.failure_domain
            leaving = self.draining or domain not in self._term_by_domain
            if leaving and not held.run_by_key and domain in others:
                self._scheduler.release(backend_id, "another process claims its failure domain")
                handed_over = True
        if handed_over:
            # The other process acquires them once this status no longer lists them as held.
            members.send_status()

    def _acquire_backends(self, members: EntryMembers, live: dict[str, EntryStatus]) -> None:
        if self.draining:
            return
        held_by_others = {
            backend_id
            for entry_id, status in live.items()
            if entry_id != members.entry_id
            for backend_id in status.held
        }
        for backend_id, announcement in self._roster.announcement_by_id.items():
            term = self._term_by_domain.get(announcement.failure_domain)
            if (
                term is None
                or backend_id in held_by_others
                or backend_id in self._scheduler.held_by_id
            ):
                continue
            speed = members.speed_by_backend.get(backend_id)
            self._scheduler.acquire(announcement, term << TERM_BITS, speed=speed)
