"""The backend servers that have announced themselves."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from apricotpoint._wire.pool import BackendsHeard, PoolBackend

# A backend server that neither announces itself nor answers renewals for this
# long, in seconds, is forgotten. It is several announcement periods.
FORGET_S = 10.0
# Ids of backend servers that have signed off are kept this long, in seconds,
# because an announcement of theirs may still be on its way.
KEEP_GONE_S = 30.0

_log = logbook.Logger("roster")


class Roster:
    """Backend servers by id, as last announced.

    An announcement counts if its life is the newest one heard of under its id
    and its sequence is the highest of that life, so late ones change nothing.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self.backend_by_id: dict[str, PoolBackend] = {}
        self._heard_at_by_id: dict[str, float] = {}
        self._gone_at_by_id: dict[str, float] = {}
        self._heard_at_by_domain: dict[str, float] = {}
        self._now = now
        self._callbacks: list[Callable[[PoolBackend], None]] = []

    def subscribe(self, callback: Callable[[PoolBackend], None]) -> None:
        """Call `callback` with each announcement that says something new."""
        self._callbacks.append(callback)

    def hear(self, message: BackendsHeard) -> None:
        """Take over announcements and sign-offs."""
        for backend_id in message.gone:
            self._remove(backend_id)
        for said in message.heard:
            self._hear(said)

    def heard_at(self, domain: str) -> float | None:
        """Return when a backend server of a failure domain last announced itself."""
        return self._heard_at_by_domain.get(domain)

    def confirm(self, backend_id: str) -> None:
        """Note that a backend server answers its holder."""
        if backend_id in self._heard_at_by_id:
            self._heard_at_by_id[backend_id] = self._now()

    def end(self, backend_id: str) -> None:
        """Forget a backend server whose life is over, until it announces itself again."""
        self._remove(backend_id)

    def remove_unreachable(self) -> list[str]:
        """Forget backend servers that were silent for long and return their ids."""
        now = self._now()
        silent = [key for key, at in self._heard_at_by_id.items() if now - at > FORGET_S]
        for backend_id in silent:
            self._remove(backend_id)
        for backend_id, gone_at in list(self._gone_at_by_id.items()):
            if now - gone_at > KEEP_GONE_S:
                del self._gone_at_by_id[backend_id]
        return silent

    def _hear(self, said: PoolBackend) -> None:
        known = self.backend_by_id.get(said.backend_id)
        if known is not None and (said.born_ms, said.sequence) <= (known.born_ms, known.sequence):
            return
        if known is None and said.backend_id in self._gone_at_by_id and not said.born_ms:
            return
        if known is None:
            _log.info("backend {} in {} has announced itself", said.backend_id, said.failure_domain)
        self.backend_by_id[said.backend_id] = said
        self._heard_at_by_id[said.backend_id] = self._now()
        self._heard_at_by_domain[said.failure_domain] = self._now()
        for callback in self._callbacks:
            callback(said)

    def _remove(self, backend_id: str) -> None:
        if self.backend_by_id.pop(backend_id, None) is not None:
            _log.info("backend {} is gone", backend_id)
        self._heard_at_by_id.pop(backend_id, None)
        self._gone_at_by_id[backend_id] = self._now()
