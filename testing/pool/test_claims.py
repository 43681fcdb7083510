"""Rules of claims: one claimant for each failure domain, preferably in that domain."""

from __future__ import annotations

import attrs

from apricotpoint._pool import claims
from apricotpoint._wire.pool import EntryStatus, PoolLoad


def status(domain: str, *, draining: bool = False, **terms: int) -> EntryStatus:
    return EntryStatus(
        failure_domain=domain,
        draining=draining,
        config_version=1,
        term_by_claim=terms,
        held=[],
        load=PoolLoad(0.0, 0, 0),
    )


def test_without_claims_one_process_of_the_failure_domain_claims_it():
    """Guards against two claims on a failure domain whose processes start together."""
    live = {"1": status("a"), "2": status("a"), "3": status("b")}
    assert [entry for entry in live if claims.should_claim(entry, "a", live)] == ["1"]
    assert [entry for entry in live if claims.should_claim(entry, "b", live)] == ["3"]


def test_a_claim_stays_when_a_process_with_a_lower_id_joins():
    """Guards against a handover to a process that joins with a lower id."""
    live = {"0": status("a"), "2": status("a", a=7)}
    assert claims.should_claim("2", "a", live)
    assert not claims.should_claim("0", "a", live)


def test_a_failure_domain_without_processes_is_claimed_from_another_one():
    """Guards against idle backend servers while all entry processes of their domain are down."""
    live = {"1": status("b", b=3), "2": status("b")}
    assert claims.should_claim("2", "a", live)
    assert not claims.should_claim("1", "a", live)


def test_a_process_of_the_failure_domain_takes_the_claim_over():
    """Guards against a claim by another failure domain that the next partition cuts off."""
    live = {"1": status("b", b=3, a=9), "2": status("a")}
    assert claims.should_claim("2", "a", live)
    assert not claims.should_claim("1", "a", live)


def test_the_claim_of_a_draining_process_passes_to_another():
    """Guards against tasks scheduled by a process that is shutting down."""
    live = {"1": status("a", draining=True, a=3), "2": status("a")}
    assert claims.should_claim("2", "a", live)
    assert claims.next_term("a", live, 0) == 4


def test_of_two_claims_the_one_with_the_higher_term_is_active():
    """Guards against two active claims after a partition, in which both sides made one."""
    live = {"1": status("a", a=3), "2": status("a", a=5)}
    assert claims.claimant("a", live) == "2"
    assert not claims.should_claim("1", "a", live)


def test_a_small_pool_keeps_its_single_leader():
    """Guards against claims that move whenever a process joins or another claimant is received."""
    live = {
        "1": attrs.evolve(status("a", a=3), answering=8),
        "2": attrs.evolve(status("b", b=9), answering=16),
        "3": attrs.evolve(status("b"), started_at=99.0),
    }
    assert claims.leader(live) == "2"
    assert claims.scheduling_process("a", live, single_holder=True) == "2"
    assert claims.scheduling_process("a", live, single_holder=False) == "1"


def test_without_claims_the_process_that_started_last_leads():
    """Guards against a leader that is stopped next: rolling restarts begin with the oldest."""
    live = {
        "1": attrs.evolve(status("a"), started_at=7.0),
        "2": attrs.evolve(status("b"), started_at=5.0),
        "3": attrs.evolve(status("b", draining=True), started_at=9.0),
    }
    assert claims.leader(live) == "1"
