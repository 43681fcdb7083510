"""Claims of caller keys at the key registry of their home."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence

from apricotpoint._core.keys import home_domain
from apricotpoint._link.transport import PeerUnreachable, Transport
from apricotpoint._wire.jobs import Claim, ClaimReply

_CLAIM_TIMEOUT_S = 1.0


def make_claim_sender(
    transport: Transport, control_by_domain: Mapping[str, str], domains: Sequence[str]
) -> Callable[[Claim], Awaitable[ClaimReply]]:
    """Return a function that sends a claim to its home.

    The function raises `PeerUnreachable` if there is no reply within 1 s; the
    claim may or may not have been recorded then.
    """

    async def claim(request: Claim) -> ClaimReply:
        domain = home_domain(request.team, request.key, domains)
        control_id = control_by_domain.get(domain)
        if control_id is None:
            raise PeerUnreachable(f"failure domain {domain!r} has no control process")
        reply = await transport.request(control_id, request, timeout_s=_CLAIM_TIMEOUT_S)
        if not isinstance(reply, ClaimReply):
            raise PeerUnreachable(f"{control_id} answered a claim with {type(reply).__name__}")
        return reply

    return claim
