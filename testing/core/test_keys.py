"""Parsing of job keys, and the choice of the home domain of a caller key."""

from __future__ import annotations

import pytest

from apricotpoint._core.errors import ApricotError
from apricotpoint._core.keys import IssuedKey, home_domain, parse_key

DOMAINS = ["puebla", "queretaro", "toluca"]


def test_issued_key_is_parsed_back_from_its_text():
    """Guards against a format of issued keys that their own entry process cannot parse."""
    key = IssuedKey("puebla-1", 0xABC, 1_800_000_000, 7)
    assert parse_key(str(key)) == key


@pytest.mark.parametrize("text", ["", "a b", "~made.up", "x" * 65, "ä", "~e.1.2.3 "])
def test_malformed_key_is_refused(text: str):
    """Guards against keys that pass for issued keys or break log lines, paths and records."""
    with pytest.raises(ApricotError, match="2101"):
        parse_key(text)


def test_home_domain_does_not_depend_on_the_order_of_domains():
    """Guards against VMs that claim the same key in different registries.

    That happens if their settings list the domains in a different order.
    """
    for number in range(200):
        key = f"order-{number}"
        assert home_domain("hem", key, DOMAINS) == home_domain("hem", key, DOMAINS[::-1])


def test_home_domains_are_spread_over_all_domains():
    """Guards against a hash that overloads the key registry of one domain."""
    homes = [home_domain("hem", f"order-{number}", DOMAINS) for number in range(3000)]
    assert all(800 < homes.count(domain) < 1200 for domain in DOMAINS)
