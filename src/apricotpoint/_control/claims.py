"""Claims of caller keys, sent to the key registry of the key's home domain."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence

from apricotpoint._core.keys import home_domain
from apricotpoint._link.transport import PeerUnreachable, Transport
from apricotpoint._wire.jobs import Claim, ClaimReply

_CLAIM_TIMEOUT_S = 1.0


def make_claim_sender(
    transport: Transport, control_by_domain: Mapping[str, str], domains: Sequence[str]
) -> Callable[[Claim], Awaitable[ClaimReply]]:
    """Return a function that sends a claim to the control process of its home domain.

    `control_by_domain` has the id of the control process of each failure
    domain. The function raises `PeerUnreachable` if there is no reply within
    1 s; the claim may or may not have been recorded then.
    """

    async def claim(request: Claim) -> ClaimReply:
        domain = home_domain(request.team, request.key, domains)
        control_id = control_by_domain.get(domain)
        if control_id is None:
            raise PeerUnreachable(
                f"home domain {domain!r} of the claimed key has no control process"
            )
        reply = await transport.request(control_id, request, timeout_s=_CLAIM_TIMEOUT_S)
        if not isinstance(reply, ClaimReply):
            raise PeerUnreachable(
                f"control process {control_id!r} answered a claim with "
                f"{type(reply).__name__} instead of ClaimReply"
            )
        return reply

    return claim
