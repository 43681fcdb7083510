"""Takes over and releases backend servers according to the claims on failure domains."""

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
# A process that was paused first listens to the others, in seconds.
PAUSE_OBSERVATION_S = LIVENESS_TIMEOUT_S + STATUS_PERIOD_S
# A process that starts and has just learned of the others gets their status
# within two periods of it.
START_OBSERVATION_S = 2 * STATUS_PERIOD_S + CLAIM_CHECK_PERIOD_S
# A check that is later than this, in seconds, means that the process was
# paused: others regard it as lost and may have taken over.
PAUSE_THRESHOLD_S = 0.8
# News of a failure domain, in seconds, that show that it can be reached. Its backend
# servers announce themselves each 1.5 s, one after the other.
CONTACT_MAX_AGE_S = 0.6
# Time in seconds before a process that was fenced off tries to take over again.
FENCED_BACKOFF_S = 1.0
# The fencing token is the term of the claim with room below it for the steps
# that a holder takes by itself. Terms follow the wall clock in seconds, so the
# result stays below 2**53, the largest integer that JSON numbers carry exactly.
TERM_BITS = 22

_log = logbook.Logger("claims")


class Claimer:
    """Claims of one entry process; `check` is to be called every `CLAIM_CHECK_PERIOD_S`."""

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
        scheduler.on_backend_ended = roster.end

    def start_pause_detection(self) -> None:
        """Start to watch the time; to be called before the first check."""
        self._checked_at, self._checked_suspended_s = self._timers.now(), self._suspended_s()

    def term_by_claim(self) -> dict[str, int]:
        """Return the claims of this process."""
        return dict(self._term_by_domain)

    def held(self) -> list[str]:
        """Return the backend servers that no other process may take over yet."""
        return list(self._scheduler.held_by_id)

    def answering(self) -> int:
        """Return the number of backend servers held that answer."""
        return sum(held.is_responsive for held in self._scheduler.held_by_id.values())

    def has_single_holder(self) -> bool:
        """Return whether the pool is small enough for one holder of all failure domains."""
        return len(self._roster.announcement_by_id) <= self._max_single_holder_backends

    def fenced(self, domain: str) -> None:
        """Note that another holder with a higher token was found in a failure domain."""
        term = self._term_by_domain.pop(domain, None)
        if term is not None:
            # Should the other one turn out to be gone, the next claim has to be higher.
            self._min_term_by_domain[domain] = term + int(2 * FENCED_BACKOFF_S) + 1
            self._counters.add("claims.fenced")
            _log.warning("claim on {} with term {} was fenced off", domain, term)
        self._no_new_claims_until = max(
            self._no_new_claims_until, self._timers.now() + FENCED_BACKOFF_S
        )

    def check(self, members: EntryMembers) -> None:
        """Compare claims with those of the other entry processes and act on them."""
        self._check_pause()
        if members.first_welcome_at is None:
            # Without news of the others a claim could take their backend servers away.
            return
        self._no_new_claims_until = max(
            self._no_new_claims_until, members.first_welcome_at + START_OBSERVATION_S
        )
        live = members.live()
        if not self.draining:
            self._update_claims(members, live)
        self._release_backends(members, live)
        self._acquire_backends(members, live)

    def _check_pause(self) -> None:
        now, suspended_s = self._timers.now(), self._suspended_s()
        late_s = now - self._checked_at + suspended_s - self._checked_suspended_s
        self._checked_at, self._checked_suspended_s = now, suspended_s
        if late_s < PAUSE_THRESHOLD_S:
            return
        _log.warning("the process did not run for {:.1f} s and gives up its claims", late_s)
        self._counters.add("claims.pauses")
        self._term_by_domain.clear()
        self._no_new_claims_until = now + PAUSE_OBSERVATION_S
        self._scheduler.release_all(f"the process did not run for {late_s:.1f} s")

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
                    _log.notice("claim on {} is given up", domain)
                    members.send_status()
            elif (
                wanted
                and now >= self._no_new_claims_until
                and self._may_claim(domain, members, live)
            ):
                min_term = max(int(self._timers.wall()), self._min_term_by_domain.get(domain, 0))
                term = claims.next_term(domain, live, min_term)
                self._term_by_domain[domain] = term
                self._counters.add("claims.made")
                _log.notice("claim {} with term {}", domain, term)
                members.send_status()

    def _may_claim(self, domain: str, members: EntryMembers, live: dict[str, EntryStatus]) -> bool:
        """Return whether a new claim cannot take backend servers away from others.

        Whoever hears no other entry process may be the one that is cut off. It keeps
        what it claims. If it still hears the backend servers of its failure domain,
        which reach it through a control process, the whole failure domain is cut off
        and has to serve by itself.
        """
        if members.has_live_peers():
            return True
        is_own = domain == live[members.entry_id].failure_domain
        return is_own and self._has_backend_contact(domain)

    def _is_reachable(
        self, domain: str, members: EntryMembers, live: dict[str, EntryStatus]
    ) -> bool:
        """Return whether a failure domain is not cut off from this process.

        Otherwise a process that is cut off with its failure domain would fence
        off the holder of all others when the partition ends.
        """
        if domain in self._term_by_domain or domain == live[members.entry_id].failure_domain:
            return True
        # The processes of a failure domain that is cut off fall silent one after the other
        # within a period of their status, so being live is not enough.
        contact_ages_s = (
            members.last_contact_age_s(entry_id)
            for entry_id, status in live.items()
            if entry_id != members.entry_id and status.failure_domain == domain
        )
        return min(
            contact_ages_s, default=CONTACT_MAX_AGE_S + 1
        ) <= CONTACT_MAX_AGE_S or self._has_backend_contact(domain)

    def _has_backend_contact(self, domain: str) -> bool:
        last_contact_at = self._roster.last_contact_at(domain)
        return (
            last_contact_at is not None
            and self._timers.now() - last_contact_at <= CONTACT_MAX_AGE_S
        )

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
                self._scheduler.release(backend_id, "it is gone")
            elif held.is_responsive:
                self._roster.record_contact(backend_id)
            domain = held.announcement.failure_domain
            leaving = self.draining or domain not in self._term_by_domain
            if leaving and not held.run_by_key and domain in others:
                self._scheduler.release(backend_id, "another process claims it")
                handed_over = True
        if handed_over:
            # The successor waits for this word before it takes them over.
            members.send_status()

    def _acquire_backends(self, members: EntryMembers, live: dict[str, EntryStatus]) -> None:
        if self.draining:
            return
        held_elsewhere = {
            backend_id
            for entry_id, status in live.items()
            if entry_id != members.entry_id
            for backend_id in status.held
        }
        for backend_id, announcement in self._roster.announcement_by_id.items():
            term = self._term_by_domain.get(announcement.failure_domain)
            if (
                term is None
                or backend_id in held_elsewhere
                or backend_id in self._scheduler.held_by_id
            ):
                continue
            speed = members.speed_by_backend.get(backend_id)
            self._scheduler.acquire(announcement, term << TERM_BITS, speed=speed)
