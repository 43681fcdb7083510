"""Job keys: only well-formed keys are accepted, and all VMs agree on the home."""

from __future__ import annotations

import pytest

from apricotpoint._core.errors import ApricotError
from apricotpoint._core.keys import IssuedKey, home_domain, parse_key

DOMAINS = ["puebla", "queretaro", "toluca"]


def test_issued_key_survives_the_round_trip():
    key = IssuedKey("puebla-1", 0xABC, 1_800_000_000, 7)
    assert parse_key(str(key)) == key


@pytest.mark.parametrize("text", ["", "a b", "~made.up", "x" * 65, "ä", "~e.1.2.3 "])
def test_malformed_key_is_refused(text: str):
    with pytest.raises(ApricotError, match="2101"):
        parse_key(text)


def test_home_does_not_depend_on_the_order_of_domains():
    for number in range(200):
        key = f"order-{number}"
        assert home_domain("hem", key, DOMAINS) == home_domain("hem", key, DOMAINS[::-1])


def test_homes_are_spread_over_all_domains():
    homes = [home_domain("hem", f"order-{number}", DOMAINS) for number in range(3000)]
    assert all(800 < homes.count(domain) < 1200 for domain in DOMAINS)
