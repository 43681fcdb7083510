"""Claims on failure domains: one claimant, the own failure domain first."""

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
    """Guards against two claims after a common start."""
    live = {"1": status("a"), "2": status("a"), "3": status("b")}
    assert [entry for entry in live if claims.should_claim(entry, "a", live)] == ["1"]
    assert [entry for entry in live if claims.should_claim(entry, "b", live)] == ["3"]


def test_a_claim_stays_when_a_process_with_a_lower_id_joins():
    """Guards against handovers that nobody needs."""
    live = {"0": status("a"), "2": status("a", a=7)}
    assert claims.should_claim("2", "a", live)
    assert not claims.should_claim("0", "a", live)


def test_a_failure_domain_without_processes_is_claimed_from_outside():
    """Guards against backend servers that nobody uses."""
    live = {"1": status("b", b=3), "2": status("b")}
    assert claims.should_claim("2", "a", live)
    assert not claims.should_claim("1", "a", live)


def test_a_process_of_the_failure_domain_takes_it_back():
    """Guards against a holder that loses the backend servers in the next partition."""
    live = {"1": status("b", b=3, a=9), "2": status("a")}
    assert claims.should_claim("2", "a", live)
    assert not claims.should_claim("1", "a", live)


def test_a_draining_process_is_followed_by_another():
    """Guards against new work at a process that is about to end."""
    live = {"1": status("a", draining=True, a=3), "2": status("a")}
    assert claims.should_claim("2", "a", live)
    assert claims.next_term("a", live, 0) == 4


def test_of_two_claims_the_newer_one_counts():
    """Guards against two claimants after a partition."""
    live = {"1": status("a", a=3), "2": status("a", a=5)}
    assert claims.claimant("a", live) == "2"
    assert not claims.should_claim("1", "a", live)


def test_a_small_pool_has_one_leader_which_stays():
    """Guards against a claim that moves each time a process joins or another claimant is heard."""
    live = {
        "1": attrs.evolve(status("a", a=3), answering=8),
        "2": attrs.evolve(status("b", b=9), answering=16),
        "3": attrs.evolve(status("b"), started_at=99.0),
    }
    assert claims.leader(live) == "2"
    assert claims.scheduling_process("a", live, single_holder=True) == "2"
    assert claims.scheduling_process("a", live, single_holder=False) == "1"


def test_without_claims_the_process_that_started_last_leads():
    """Guards against a holder that is the next to be stopped in a rolling restart."""
    live = {
        "1": attrs.evolve(status("a"), started_at=7.0),
        "2": attrs.evolve(status("b"), started_at=5.0),
        "3": attrs.evolve(status("b", draining=True), started_at=9.0),
    }
    assert claims.leader(live) == "1"
