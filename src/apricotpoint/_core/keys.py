"""Job keys: issued keys, caller keys and their home domain."""

from __future__ import annotations

import re
from collections.abc import Sequence

import attrs
import xxhash

from apricotpoint._core.codes import ResultCode
from apricotpoint._core.errors import ApricotError

MAX_KEY_LENGTH = 64
# How far the expiry of a key may lie in the future.
MAX_VALIDITY_S = 3600
# Difference between the wall clocks of two VMs that the expiry of keys tolerates.
CLOCK_SKEW_ALLOWANCE_S = 5

_CALLER_KEY_PATTERN = re.compile(r"[!-}][!-~]{0,63}")
_ISSUED_KEY_PATTERN = re.compile(r"~([a-z0-9-]+)\.([0-9a-f]+)\.([0-9]+)\.([0-9]+)")


@attrs.frozen
class IssuedKey:
    """A key issued by an entry process; only that incarnation may start a job under it.

    `expires_at` is in unix seconds; `sequence` counts the keys of the incarnation.
    """

    entry_id: str
    incarnation: int
    expires_at: int
    sequence: int

    def __str__(self) -> str:
        return f"~{self.entry_id}.{self.incarnation:x}.{self.expires_at}.{self.sequence}"


def parse_key(key: str) -> IssuedKey | str:
    """Return the parts of an issued key, or a valid caller key unchanged.

    Raises `ApricotError` with code 2101 if the key is neither.
    """
    match = _ISSUED_KEY_PATTERN.fullmatch(key)
    if match and len(key) <= MAX_KEY_LENGTH:
        entry_id, incarnation, expires_at, sequence = match.groups()
        return IssuedKey(entry_id, int(incarnation, 16), int(expires_at), int(sequence))
    if _CALLER_KEY_PATTERN.fullmatch(key):
        return key
    raise ApricotError(
        ResultCode.MALFORMED,
        f"key {key[:MAX_KEY_LENGTH]!r} is not valid",
        remedy="use 1 to 64 printable ASCII characters without spaces, not starting with '~', "
        "or an issued key unchanged",
    )


def home_domain(team: str, key: str, domains: Sequence[str]) -> str:
    """Return the failure domain whose key registry records a caller key.

    Rendezvous hashing gives the same domain on all VMs with the same list of
    domains, in any order.
    """
    return max(domains, key=lambda domain: (_hash_text(f"{domain}\0{team}\0{key}"), domain))


def fingerprint(content: bytes) -> str:
    """Return a digest by which different requests under the same key are detected."""
    return xxhash.xxh3_128_hexdigest(content)


def _hash_text(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
