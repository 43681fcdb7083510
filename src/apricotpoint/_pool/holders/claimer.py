"""Claims shares, and acquires and releases their backend servers accordingly.

See `claims` for the rules by which entry processes choose the claimant, and `shares` for the
division of the backend servers.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import logbook

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._link.peer import MAX_RECONNECT_S
from apricotpoint._pool.decisions import claims
from apricotpoint._pool.decisions.claims import ShareClaim
from apricotpoint._pool.decisions.shares import Layout, make_layout
from apricotpoint._pool.holders.discovery import HOLDER_HELLO_PERIOD_S, INITIAL_HELLO_PERIOD_S
from apricotpoint._pool.holders.domaincontacts import REACHABLE_S, DomainContacts
from apricotpoint._pool.holders.members import (
    HOLDER_OBSERVATION_S,
    LIVENESS_TIMEOUT_S,
    STATUS_PERIOD_S,
    EntryMembers,
)
from apricotpoint._pool.holders.roster import Roster
from apricotpoint._pool.scheduler import Scheduler
from apricotpoint._wire.pool import EntryStatus, PoolBackend

CLAIM_CHECK_PERIOD_S = 0.1
# After a pause of the process, new claims wait until each live holder has sent its status.
PAUSE_OBSERVATION_S = LIVENESS_TIMEOUT_S + STATUS_PERIOD_S
# A process that has just started waits for this long with new claims. The control process that
# answered first may have been restarted, too: it names the holders after their next `EntryHello`
# has arrived over a new connection, and is asked again then.
START_OBSERVATION_S = HOLDER_HELLO_PERIOD_S + INITIAL_HELLO_PERIOD_S + MAX_RECONNECT_S
# A check that is delayed by this much means that the process was paused: other entry
# processes regard it as unreachable and may have acquired its backend servers.
PAUSE_THRESHOLD_S = 0.8
# A new claim needs a message from any other process that is not older than this. It is shorter
# than the silence after which a holder counts as lost: a process that was cut off at the same
# moment as it lost the holder has received nothing since then.
CONTACT_EVIDENCE_S = 0.45
# Delay of a claim on a share of other failure domains for which no claim was ever received:
# its holder may not have learned yet that this process needs its status.
UNSEEN_DELAY_S = 3.0
# Time before a process that was fenced off makes a new claim.
FENCED_BACKOFF_S = 1.0
# By how much the term of the next claim exceeds one that was fenced off. Terms follow the wall
# clock in seconds, so the first step is more than the backoff; each further one is twice as large.
FIRST_FENCED_STEP, MAX_FENCED_STEP = int(2 * FENCED_BACKOFF_S) + 1, 64

_log = logbook.Logger("claims")


class Claimer:
    """Claims of one entry process on the parts of failure domains that form the shares.

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
    ) -> None:
        self.draining = False
        self._domains = domains
        self._scheduler = scheduler
        self._roster = roster
        self._timers = timers
        self._counters = counters
        self._suspended_s = suspended_s
        self._layout = Layout()
        self._layout_revisions: tuple[int, int] | None = None
        self._evaluated_basis: object = None
        self._evaluated_claims: list[ShareClaim] = []
        self._term_by_part: dict[str, int] = {}
        self._min_term_by_part: dict[str, int] = {}
        self._fenced_step_by_part: dict[str, int] = {}
        # By the parts of a share, as the number of its backend servers changes at any time: since
        # when it has had no claimant, and whether it ever had one.
        self._unclaimed_since_by_parts: dict[tuple[str, ...], float] = {}
        self._claimed_parts: set[tuple[str, ...]] = set()
        self._no_new_claims_until = self._checked_at = self._checked_suspended_s = 0.0
        self._contacts = DomainContacts(roster=roster, timers=timers)
        roster.subscribe(scheduler.announce)
        scheduler.on_backend_ended = roster.remove_ended
        scheduler.may_start = self.is_current

    def start_pause_detection(self) -> None:
        """Start to measure the time between checks; call this before the first `check`."""
        self._checked_at, self._checked_suspended_s = self._timers.now(), self._suspended_s()

    def is_current(self) -> bool:
        """Return whether this process was not paused since the last check.

        After a pause its claims may have passed to others, until the next check has given them up.
        """
        return self._seconds_since_check() < PAUSE_THRESHOLD_S

    def _seconds_since_check(self) -> float:
        suspended_s = self._suspended_s() - self._checked_suspended_s
        return self._timers.now() - self._checked_at + suspended_s

    def term_by_claim(self) -> dict[str, int]:
        """Return the term of each claim of this process by part of a failure domain."""
        return dict(self._term_by_part)

    def held_backend_ids(self) -> list[str]:
        """Return the ids of the backend servers held.

        No other process acquires them while the status of this one lists them.
        """
        return list(self._scheduler.held_by_id)

    def responsive_backend_count(self) -> int:
        """Return the number of held backend servers that answered their last lease renewal."""
        return sum(held.is_responsive for held in self._scheduler.held_by_id.values())

    def give_up_claim(self, announcement: PoolBackend) -> None:
        """Give up the claim on a part after a backend server showed a higher fencing token."""
        part = self._layout.part_of(announcement.backend_id, announcement.failure_domain)
        term = self._term_by_part.pop(part, None)
        if term is None:
            return
        self._counters.add("claims.fenced")
        # If that holder turns out to be unreachable, the next claim needs a higher term. Its term
        # may be far ahead, as the wall clocks of machines differ, so the steps grow.
        step = self._fenced_step_by_part.get(part, FIRST_FENCED_STEP)
        self._fenced_step_by_part[part] = min(2 * step, MAX_FENCED_STEP)
        self._min_term_by_part[part] = term + step
        _log.warning(
            "fenced off on backend server {}: claim on {} with term {} given up",
            announcement.backend_id,
            part,
            term,
        )
        self._no_new_claims_until = max(
            self._no_new_claims_until, self._timers.now() + FENCED_BACKOFF_S
        )

    def check(self, members: EntryMembers) -> None:
        """Update the claims from the status of the live holders and act on them.

        Makes no claims until a control process has answered once.
        """
        self._check_pause()
        if members.discovery.first_welcome_at is None:
            # While the other entry processes are unknown, a claim could fence off their leases.
            return
        self._no_new_claims_until = max(
            self._no_new_claims_until, members.discovery.first_welcome_at + START_OBSERVATION_S
        )
        self._update_layout(members)
        live = members.live_entries()
        self._contacts.update(members, self._domains())
        terms_before, held_before = self.term_by_claim(), set(self._scheduler.held_by_id)
        if not self.draining:
            self._update_claims(members, live)
        self._release_backends(members, live)
        self._acquire_backends(members, live)
        if self._term_by_part != terms_before or self._scheduler.held_by_id.keys() != held_before:
            # Jobs wait for a new holder, and a new holder for what this process has released.
            members.send_status()

    def _update_layout(self, members: EntryMembers) -> None:
        revisions = (self._roster.revision, members.discovery.directory.revision)
        if revisions == self._layout_revisions:
            return
        self._layout_revisions = revisions
        cores_by_domain: dict[str, list[float]] = {}
        for summary in members.summaries().values():
            cores_by_domain.setdefault(summary.failure_domain, []).append(summary.cores)
        count_by_domain = {**dict.fromkeys(self._domains(), 0), **self._roster.count_by_domain()}
        layout = make_layout(count_by_domain, cores_by_domain)
        if layout.part_count_by_domain != self._layout.part_count_by_domain:
            _log.notice("failure domains have these parts: {}", dict(layout.part_count_by_domain))
        groups = [share.domains for share in layout.shares if len(share.domains) > 1]
        if groups != [share.domains for share in self._layout.shares if len(share.domains) > 1]:
            _log.notice("failure domains that share a holder: {}", groups)
        self._layout = layout
        own_domain = members.summaries()[members.entry_id].failure_domain
        members.shared_domains = frozenset(
            domain
            for share in layout.shares
            if own_domain in share.domains
            for domain in share.domains
        )

    def _check_pause(self) -> None:
        now, paused_s = self._timers.now(), self._seconds_since_check()
        self._checked_at, self._checked_suspended_s = now, self._suspended_s()
        if paused_s < PAUSE_THRESHOLD_S:
            return
        _log.warning("process was paused for {:.1f} s; giving up all claims", paused_s)
        self._counters.add("claims.pauses")
        self._term_by_part.clear()
        self._no_new_claims_until = now + PAUSE_OBSERVATION_S
        self._scheduler.release_all(f"process was paused for {paused_s:.1f} s")

    def _update_claims(self, members: EntryMembers, live: dict[str, EntryStatus]) -> None:
        own_id, now = members.entry_id, self._timers.now()
        share_claims = self._evaluate_claims(members, live)
        all_parts = {part for share in self._layout.shares for part in share.parts}
        for part in self._term_by_part.keys() - all_parts:
            self._release_claim(part, "its failure domain has fewer parts now")
        watched: set[str] = set()
        for share_claim in share_claims:
            share = share_claim.share
            if len(share.domains) > 1:
                watched |= set(share.domains)
            if share_claim.claimant is not None:
                self._unclaimed_since_by_parts.pop(share.parts, None)
                self._claimed_parts.add(share.parts)
            wanted = self._is_wanted(share_claim, members, now)
            if wanted and share_claim.claimant is None:
                watched |= set(share.domains)
            for part, domain in zip(share.parts, share.domains, strict=True):
                if part in self._term_by_part:
                    if not wanted:
                        self._release_claim(part, "another process should claim it")
                elif (
                    wanted
                    and now >= self._no_new_claims_until
                    and self._is_reachable(domain, members, live)
                    and self._has_contact(members)
                ):
                    self._claim(part, members)
        watched.discard(live[own_id].failure_domain)
        if not watched <= members.discovery.watched_domains:
            members.discovery.request_hello()
        members.discovery.watched_domains = frozenset(watched)
        members.audience_domains = frozenset(
            domain
            for share in self._layout.shares
            if any(part in self._term_by_part for part in share.parts)
            for domain in share.domains
        ) | {held.announcement.failure_domain for held in self._scheduler.held_by_id.values()}

    def _evaluate_claims(
        self, members: EntryMembers, live: dict[str, EntryStatus]
    ) -> list[ShareClaim]:
        """Return the claims on all shares; they are evaluated anew only when something changed.

        With a hundred processes an evaluation takes 2 ms, and there are ten checks a second.
        """
        summaries = members.available_summaries()
        basis = (
            self._layout,
            [
                (key, status.draining, status.answering, status.term_by_claim)
                for key, status in live.items()
            ],
            summaries,
        )
        if basis != self._evaluated_basis:
            self._evaluated_basis = basis
            self._evaluated_claims = claims.evaluate(self._layout, live, summaries)
        return self._evaluated_claims

    def _is_wanted(self, share_claim: ShareClaim, members: EntryMembers, now: float) -> bool:
        """Return whether this process should claim a share, or keep its claim on it."""
        own_id, share = members.entry_id, share_claim.share
        if share_claim.claimant is not None:
            if share_claim.is_provisional and share_claim.candidates[0] == own_id:
                return True
            return share_claim.claimant == own_id
        since = self._unclaimed_since_by_parts.setdefault(share.parts, now)
        delay_s = share_claim.delay_s(own_id)
        if delay_s is None:
            return False
        is_foreign = share_claim.candidates.index(own_id) >= share_claim.local_count
        if is_foreign and members.holder_since is not None:
            # Before that, holders of other failure domains sent no status to this process.
            since = max(since, members.holder_since + HOLDER_OBSERVATION_S)
        if is_foreign and share.parts not in self._claimed_parts:
            delay_s += UNSEEN_DELAY_S
        # Time in which this process could not claim anyway leaves the others no time to claim.
        return now - max(since, self._no_new_claims_until) >= delay_s

    def _claim(self, part: str, members: EntryMembers) -> None:
        # The wall clock is only a start: it may be behind that of an earlier claimant, whose status
        # counts although it is gone.
        min_term = max(int(self._timers.wall_time()), self._min_term_by_part.get(part, 0))
        term = claims.next_term(part, members.known_statuses(), min_term)
        self._term_by_part[part] = term
        self._counters.add("claims.made")
        _log.notice("claimed {} with term {}", part, term)

    def _release_claim(self, part: str, reason: str) -> None:
        del self._term_by_part[part]
        run_count = sum(len(held.run_by_key) for held in self._scheduler.held_by_id.values())
        _log.notice(
            "released the claim on {}: {}; {} runs are active on all held backend servers",
            part,
            reason,
            run_count,
        )

    def _has_contact(self, members: EntryMembers) -> bool:
        """Return whether another process was heard from just now, and ask for a sign if not.

        A process that receives nothing may itself be cut off. It then keeps its claims but makes
        no new ones, by which it would fence off the other holders later.
        """
        last_contact_at = members.last_contact_at
        if (
            last_contact_at is not None
            and self._timers.now() - last_contact_at <= CONTACT_EVIDENCE_S
        ):
            return True
        members.probe()
        return False

    def _is_reachable(
        self, domain: str, members: EntryMembers, live: dict[str, EntryStatus]
    ) -> bool:
        """Return whether this process may claim parts of a failure domain.

        True for the own failure domain, and for those from which something was received within
        `REACHABLE_S`. Without this check, a process that is cut off together with its failure
        domain would claim all others, and would fence off their holders when the partition ends.
        On both sides the same would happen just after the end, so a failure domain that was cut off
        has to be settled again, see `DomainContacts`.
        """
        if domain == live[members.entry_id].failure_domain:
            return True
        if not self._contacts.is_settled(domain):
            return False
        if self._contacts.is_announced(domain):
            return True
        # Processes that are cut off become unreachable one after another within one status
        # period, so it is not enough that one of them still counts as live.
        ages_s = (
            members.seconds_since_contact(entry_id)
            for entry_id, status in live.items()
            if entry_id != members.entry_id and status.failure_domain == domain
        )
        return min(ages_s, default=REACHABLE_S + 1) <= REACHABLE_S

    def _release_backends(self, members: EntryMembers, live: dict[str, EntryStatus]) -> None:
        claimed_by_others = {
            part
            for entry_id, status in live.items()
            if entry_id != members.entry_id and not status.draining
            for part in status.term_by_claim
        }
        for backend_id, held in list(self._scheduler.held_by_id.items()):
            announcement = self._roster.announcement_by_id.get(backend_id)
            if announcement is None:
                self._scheduler.release(backend_id, "it was unregistered or is unreachable")
                continue
            if held.is_responsive:
                self._roster.record_contact(backend_id)
            part = self._layout.part_of(backend_id, held.announcement.failure_domain)
            must_hand_over = self.draining or part not in self._term_by_part
            held.handing_over = must_hand_over and part in claimed_by_others
            if held.handing_over and not held.run_by_key:
                self._scheduler.release(backend_id, f"another process claims {part}")
        held_backends = self._scheduler.held_by_id.values()
        if held_backends and all(held.handing_over for held in held_backends):
            self._scheduler.return_unstarted_jobs("another process claims all its backend servers")

    def _acquire_backends(self, members: EntryMembers, live: dict[str, EntryStatus]) -> None:
        if self.draining or not self._term_by_part:
            return
        held_by_others = {
            backend_id
            for entry_id, status in live.items()
            if entry_id != members.entry_id
            for backend_id in status.held
        }
        for backend_id, announcement in self._roster.announcement_by_id.items():
            if backend_id in held_by_others or backend_id in self._scheduler.held_by_id:
                continue
            part = self._layout.part_of(backend_id, announcement.failure_domain)
            term = self._term_by_part.get(part)
            if term is None:
                continue
            speed = members.speed_by_backend.get(backend_id)
            token = claims.first_token(term, members.discovery.summary)
            try:
                self._scheduler.acquire(announcement, token, speed=speed)
            except Exception:
                self._counters.add("claims.acquire_errors")
                _log.exception("backend server {} cannot be acquired; the others are", backend_id)
