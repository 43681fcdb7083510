"""Discovery of the control and entry processes through the control processes."""

from __future__ import annotations

from collections.abc import Callable, Collection
from types import TracebackType

import anyio
import anyio.abc
import logbook

from apricotpoint._core.timers import TimerService
from apricotpoint._link.transport import PeerUnreachable, Sender
from apricotpoint._pool.holders.directory import EntryDirectory
from apricotpoint._pool.holders.roster import Roster
from apricotpoint._pool.transport import DynamicTransport
from apricotpoint._wire.pool import (
    BackendsHeard,
    EntryHello,
    EntrySummary,
    EntryWelcome,
    LostRun,
)

# Period and time-out of the `EntryHello` requests to the control processes. Holders send more of
# them, so that a control process that was restarted soon names all holders.
HELLO_PERIOD_S, HOLDER_HELLO_PERIOD_S = 2.0, 0.2
HELLO_TIMEOUT_S = 0.8
# A holder asks for an answer to one in so many of these, in turn for the control processes, so
# that each of its periods brings an answer as a sign of contact. A control process answers the
# others only if it has something new: with eight of them, answers that changed nothing took a
# quarter of the processor time of a holder.
MAX_HELLOS_PER_REQUEST = 5
# Period of these requests after the start, while the other processes become known.
INITIAL_HELLO_PERIOD_S = 0.15
INITIAL_HELLOS_S = 1.0

_log = logbook.Logger("discovery")


class Discovery:
    """Makes one entry process known to all control processes, and learns of the others.

    Use it as an async context manager. `seeds` returns the ids of the control processes to ask
    first; those that answer name the others. Replace `summary` when it changes. Repeated
    announcements from `watched_domains` arrive with little delay. `first_welcome_at` is the
    monotonic time of the first answer, None before it. `on_welcome` is called after each answer,
    `on_lost_runs` with the id of the control process, the lost runs that it names and the digest of
    the crashes it knows; `crash_digest` returns that of the crashes known here.
    `on_config_version` is called with the version of the configuration of each control process that
    answers.
    """

    def __init__(
        self,
        *,
        summary: EntrySummary,
        seeds: Callable[[], Collection[str]],
        transport: DynamicTransport,
        address_of: Callable[[str], str],
        timers: TimerService,
        roster: Roster,
    ) -> None:
        self.summary = summary
        self.directory = EntryDirectory(now=timers.now)
        self.watched_domains: frozenset[str] = frozenset()
        self.first_welcome_at: float | None = None
        self.on_welcome: Callable[[], None] = lambda: None
        self.on_lost_runs: Callable[[str, list[LostRun], int | None], None] = lambda *_: None
        self.on_config_version: Callable[[int], None] = lambda _: None
        self.crash_digest: Callable[[], int | None] = lambda: None
        self._seeds = seeds
        self._transport = transport
        self._address_of = address_of
        self._timers = timers
        self._roster = roster
        # By each control process that has answered: since when a request has had no answer.
        self._unanswered_since_by_control: dict[str, float | None] = {}
        self._greeted: set[str] = set()
        self._hello_requested = anyio.Event()
        self._needs_backends = True
        self._is_fetching_backends = False
        self._group: anyio.abc.TaskGroup | None = None

    async def __aenter__(self) -> Discovery:
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._transport.handlers_by_type[EntryWelcome] = self._on_welcome_message
        self.greet_new_control_processes()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._group is not None
        self._transport.handlers_by_type.pop(EntryWelcome, None)
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(exc_type, exc, traceback)

    def control_ids(self) -> list[str]:
        """Return the ids of the known control processes, those of the seeds included."""
        return sorted(self.directory.control_ids | set(self._seeds()))

    def control_silences_s(self) -> list[float]:
        """Return for how many seconds requests to known control processes have had no answer.

        Those that have answered their last request, or none ever, are left out.
        """
        known, now = set(self.control_ids()), self._timers.now()
        return [
            now - since
            for control_id, since in self._unanswered_since_by_control.items()
            if since is not None and control_id in known
        ]

    def request_hello(self) -> None:
        """Have an `EntryHello` sent to all control processes now."""
        self._hello_requested.set()
        self._hello_requested = anyio.Event()

    def request_backends(self) -> None:
        """Have the next `EntryHello` ask for all announcements, unless they are on their way."""
        self._needs_backends = self._needs_backends or not self._is_fetching_backends

    def greet_new_control_processes(self) -> None:
        """Start to greet the control processes that have become known."""
        assert self._group is not None
        for control_id in set(self.control_ids()) - self._greeted:
            self._greeted.add(control_id)
            self._transport.add_peer(control_id, self._address_of(control_id))
            self._group.start_soon(self._greet, control_id, len(self._greeted))

    async def _greet(self, control_id: str, position: int) -> None:
        """Send `EntryHello` to a control process from time to time, as long as it is known.

        `position` differs between control processes, so that they are not all asked for an answer
        in the same period.
        """
        needs_answer, hello_count = True, position
        while control_id in self.control_ids():
            summary = self.summary
            hello_count += 1
            hellos_per_request = min(len(self._greeted), MAX_HELLOS_PER_REQUEST)
            is_due = not summary.is_holder or hello_count % hellos_per_request == 0
            if needs_answer or is_due or self._needs_backends:
                await self._send_hello(control_id)
            else:
                self._transport.send(control_id, self._make_hello(control_id))
            if summary is not self.summary:
                needs_answer = True
                continue
            welcome_at, now = self.first_welcome_at, self._timers.now()
            is_new = welcome_at is None or now - welcome_at < INITIAL_HELLOS_S
            period_s = HOLDER_HELLO_PERIOD_S if summary.is_holder else HELLO_PERIOD_S
            with anyio.move_on_after(INITIAL_HELLO_PERIOD_S if is_new else period_s) as pause:
                await self._hello_requested.wait()
            needs_answer = is_new or not pause.cancelled_caught
        self._greeted.discard(control_id)

    def _make_hello(self, control_id: str) -> EntryHello:
        return EntryHello(
            summary=self.summary,
            list_digest=self.directory.digest(control_id),
            needs_backends=self._needs_backends,
            watched_domains=sorted(self.watched_domains),
            crash_digest=self.crash_digest(),
            accepts_changes=True,
        )

    async def _send_hello(self, control_id: str) -> None:
        hello = self._make_hello(control_id)
        if hello.needs_backends:
            self._needs_backends, self._is_fetching_backends = False, True
        if self._unanswered_since_by_control.get(control_id, 0.0) is None:
            self._unanswered_since_by_control[control_id] = self._timers.now()
        try:
            welcome = await self._transport.request(control_id, hello, timeout_s=HELLO_TIMEOUT_S)
        except PeerUnreachable:
            # The announcements that it would have brought are asked for again.
            self._needs_backends = self._needs_backends or hello.needs_backends
            return
        finally:
            if hello.needs_backends:
                self._is_fetching_backends = False
        if not isinstance(welcome, EntryWelcome):
            _log.warning(
                "control process {} answered a hello by {}", control_id, type(welcome).__name__
            )
            return
        self._process_welcome(control_id, welcome)

    def _on_welcome_message(self, sender: Sender, message: object) -> None:
        assert isinstance(message, EntryWelcome)
        self._process_welcome(sender.peer_id, message)

    def _process_welcome(self, control_id: str, welcome: EntryWelcome) -> None:
        self._unanswered_since_by_control[control_id] = None
        if self.first_welcome_at is None:
            self.first_welcome_at = self._timers.now()
        self.directory.update(control_id, welcome)
        self._roster.update(BackendsHeard(welcome.backends))
        self.on_config_version(welcome.config_version)
        self.on_lost_runs(control_id, welcome.lost_runs, welcome.crash_digest)
        self.on_welcome()
