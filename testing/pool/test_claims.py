"""Rules of claims: one claimant for each share, preferably in its failure domain."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from apricotpoint._pool.decisions import claims
from apricotpoint._pool.decisions.claims import ShareClaim
from apricotpoint._pool.decisions.shares import BACKENDS_PER_CORE, Layout, Share
from apricotpoint._wire.pool import EntryStatus, EntrySummary, PoolLoad

LAYOUT = Layout((Share(("a",), ("a",), 8), Share(("b",), ("b",), 8)), {"a": 1, "b": 1})
POOLED = Layout((Share(("a", "b"), ("a", "b"), 16),), {"a": 1, "b": 1})
SPLIT = Layout((Share(("a",), ("a",), 8), Share(("a#1",), ("a",), 8)), {"a": 2})


def status(domain: str, *, draining: bool = False, **terms: int) -> EntryStatus:
    return EntryStatus(
        failure_domain=domain,
        draining=draining,
        config_version=1,
        term_by_claim=terms,
        held=[],
        load=PoolLoad(0.0, 0, 0),
        cores=8 / BACKENDS_PER_CORE,
    )


def evaluate(
    status_by_entry: Mapping[str, EntryStatus],
    layout: Layout = LAYOUT,
    cores_by_entry: Mapping[str, float] | None = None,
) -> dict[str, ShareClaim]:
    """Return the claims by first part; all processes are known and started together."""
    summaries = {
        entry_id: EntrySummary(
            entry_id=entry_id,
            failure_domain=item.failure_domain,
            cores=(cores_by_entry or {}).get(entry_id, item.cores),
            started_at=item.started_at,
            draining=item.draining,
            is_holder=bool(item.term_by_claim),
        )
        for entry_id, item in status_by_entry.items()
    }
    result = claims.evaluate(layout, status_by_entry, summaries)
    return {item.share.parts[0]: item for item in result}


def test_without_claims_one_process_of_the_failure_domain_comes_first():
    """Guards against two claims on a failure domain whose processes start together."""
    found = evaluate({"1": status("a"), "2": status("a"), "3": status("b")})
    assert found["a"].claimant is None
    assert set(found["a"].candidates) == {"1", "2"}
    assert found["b"].candidates == ["3"]
    first, second = found["a"].candidates
    assert found["a"].delay_s(first) == 0
    assert found["a"].delay_s(second) == claims.CANDIDATE_DELAY_S
    assert found["a"].delay_s("3") is None


def test_the_largest_vm_comes_first():
    """Guards against a holder whose VM cannot carry its share while larger ones are idle."""
    live = {str(number): status("a") for number in range(9)}
    assert evaluate(live, cores_by_entry={"5": 1.3})["a"].candidates[0] == "5"


def test_two_shares_without_a_claimant_go_to_two_processes():
    """Guards against one process that claims all shares at the start."""
    live = {str(number): status("a") for number in range(3)}
    found = evaluate(live, SPLIT)
    assert found["a"].candidates[0] != found["a#1"].candidates[0]


def test_a_claim_stays_when_another_process_joins():
    """Guards against a handover to a process that joins."""
    found = evaluate({"0": status("a"), "2": status("a", a=7)})
    assert found["a"].claimant == "2"
    assert not found["a"].is_provisional


def test_a_failure_domain_without_processes_is_claimed_from_another_one():
    """Guards against idle backend servers while all entry processes of their domain are down."""
    found = evaluate({"1": status("b", b=3), "2": status("b")})
    assert found["a"].candidates[0] == "2"


def test_holders_of_other_failure_domains_wait_behind_the_candidates_of_the_own_one():
    """Guards against a share that goes to another failure domain while its own is coming back."""
    found = evaluate({"1": status("a"), "2": status("b", b=3), "3": status("b")})
    assert found["a"].candidates == ["1", "2"]
    assert found["a"].delay_s("2") == claims.FOREIGN_DELAY_S + claims.CANDIDATE_DELAY_S


def test_a_process_of_the_failure_domain_takes_the_claim_over():
    """Guards against a claim by another failure domain that the next partition cuts off."""
    live = {"1": status("b", b=3, a=9), "2": status("a")}
    assert evaluate(live)["a"].is_provisional
    assert evaluate(live)["a"].candidates[0] == "2"
    assert evaluate({**live, "2": status("a", a=10)})["a"].claimant == "2"


def test_a_process_without_a_share_takes_over_from_one_with_too_many():
    """Guards against one process with two shares, after the loss of many, for good."""
    live = {"1": status("a", **{"a": 9, "a#1": 9}), "2": status("a")}
    found = evaluate(live, SPLIT)
    assert (found["a"].claimant, found["a"].is_provisional) == ("1", False)
    assert (found["a#1"].claimant, found["a#1"].is_provisional) == ("1", True)
    found = evaluate({**live, "2": status("a", **{"a#1": 10})}, SPLIT)
    assert found["a#1"].claimant == "2"


def test_the_claim_of_a_draining_process_passes_to_another():
    """Guards against tasks scheduled by a process that is shutting down."""
    live = {"1": status("a", draining=True, a=3), "2": status("a")}
    found = evaluate(live)
    assert found["a"].claimant is None
    assert found["a"].candidates == ["2"]
    assert claims.next_term("a", live.values(), 0) == 4


def test_of_two_claims_the_one_with_the_higher_term_is_active():
    """Guards against two active claims after a partition, in which both sides made one."""
    live = {"1": status("a", a=3), "2": status("a", a=5)}
    assert evaluate(live)["a"].claimant == "2"


def test_a_share_of_two_failure_domains_keeps_its_holder():
    """Guards against claims that move whenever a process joins or another claimant is received."""
    live = {
        "1": attrs.evolve(status("a", a=3), answering=8),
        "2": attrs.evolve(status("b", b=9), answering=16),
        "3": attrs.evolve(status("b"), started_at=99.0),
    }
    assert evaluate(live, POOLED)["a"].claimant == "2"
    assert claims.holders("a", live) == ["1"]


def test_without_claims_the_process_that_started_last_comes_first():
    """Guards against a holder that is stopped next: rolling restarts begin with the oldest."""
    live = {
        "1": attrs.evolve(status("a"), started_at=7.0),
        "2": attrs.evolve(status("b"), started_at=5.0),
        "3": attrs.evolve(status("b", draining=True), started_at=9.0),
    }
    assert evaluate(live, POOLED)["a"].candidates == ["1", "2"]


def test_a_vm_that_can_carry_a_share_takes_it_over_from_a_smaller_one():
    """Guards against small holders that stay after a restart in which they came back first."""
    small = attrs.evolve(status("a", a=3), cores=0.1)
    live = {"1": small, "2": status("a")}
    found = evaluate(live)["a"]
    assert (found.claimant, found.is_provisional, found.candidates[0]) == ("1", True, "2")
    found = evaluate({**live, "2": status("a", a=4)})["a"]
    assert (found.claimant, found.is_provisional) == ("2", False)


def test_a_share_that_no_vm_can_carry_keeps_its_holder():
    """Guards against a share that moves on and on between VMs that are all too small."""
    live = {
        key: attrs.evolve(status("a", **({"a": 3} if key == "1" else {})), cores=0.1)
        for key in ("1", "2", "3")
    }
    found = evaluate(live)["a"]
    assert (found.claimant, found.is_provisional) == ("1", False)
