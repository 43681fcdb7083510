"""Division of backend servers into shares, by what the VMs can carry."""

from __future__ import annotations

import pytest

from apricotpoint._pool.decisions.shares import Layout, make_layout

DOMAINS = ("a", "b", "c", "d", "e")


def layout(per_domain: int, domains: int, cores: list[float]) -> Layout:
    names = DOMAINS[:domains]
    return make_layout(dict.fromkeys(names, per_domain), dict.fromkeys(names, cores))


@pytest.mark.parametrize(
    ("per_domain", "domains", "cores", "shares"),
    [
        (8, 3, [1.07] * 3, 1),
        (20, 3, [1.07] * 3, 2),
        (54, 5, [1.29] * 4 + [0.387] * 15, 10),
        (54, 5, [0.387] * 15, 15),
        (200, 5, [1.29] * 100, 20),
    ],
)
def test_shares_grow_in_number_with_the_backend_servers(
    per_domain: int, domains: int, cores: list[float], shares: int
):
    """Guards against a holder that cannot carry its share, and against needlessly small shares."""
    assert len(layout(per_domain, domains, cores).shares) == shares


def test_one_more_backend_server_adds_at_most_one_share():
    """Guards against a pool size at which all backend servers change their holder."""
    counts = [len(layout(size, 3, [1.07] * 8).shares) for size in range(1, 200)]
    # Three failure domains grow by one at the same time, so each may add a share.
    assert all(
        0 <= later - earlier <= 3 for earlier, later in zip(counts, counts[1:], strict=False)
    )


def test_another_part_moves_only_the_backend_servers_that_it_gets():
    """Guards against a handover of most backend servers when one failure domain grows."""
    before, after = layout(54, 1, [1.29] * 4), layout(120, 1, [1.29] * 4)
    assert (before.part_count_by_domain, after.part_count_by_domain) == ({"a": 2}, {"a": 3})
    ids = [f"i-{number}" for number in range(54)]
    moved = [key for key in ids if before.part_of(key, "a") != after.part_of(key, "a")]
    assert {after.part_of(key, "a") for key in moved} == {"a#2"}
    assert len(moved) < 30


def test_a_few_large_vms_do_not_hide_the_small_ones():
    """Guards against parts that only one VM of the failure domain can carry."""
    assert layout(54, 1, [1.29] + [0.387] * 14).part_count_by_domain == {"a": 3}


def test_a_failure_domain_without_processes_is_divided_for_the_others():
    """Guards against a domain that nobody can hold after the loss of its processes."""
    found = make_layout({"a": 54, "b": 54}, {"b": [1.29] * 4})
    assert found.part_count_by_domain == {"a": 2, "b": 2}


def test_every_backend_server_is_in_one_share():
    """Guards against backend servers that belong to no share after a change of the division."""
    found = layout(54, 5, [1.29] * 4)
    parts = {part for share in found.shares for part in share.parts}
    for domain in DOMAINS:
        assert {found.part_of(f"i-{number}", domain) for number in range(54)} <= parts
