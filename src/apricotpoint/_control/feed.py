"""The latest configuration in a process that is no control process, fetched by long polls."""

from __future__ import annotations

import enum
import random as random_module
from collections.abc import Callable, Sequence
from pathlib import Path
from types import TracebackType

import anyio
import anyio.abc
import logbook
import msgspec
import xxhash

from apricotpoint._control.documents import DocumentChunks
from apricotpoint._control.download import DocumentDownload
from apricotpoint._control.storage import DiskFullError, Storage
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters
from apricotpoint._core.errors import DECODE_ERRORS, ApricotError
from apricotpoint._core.timers import TimerService
from apricotpoint._link.transport import PeerUnreachable, Sender, Transport
from apricotpoint._wire.configuration import (
    ChunkRequest,
    ConfigPoll,
    ConfigUpdate,
    Configuration,
    Document,
)

_POLL_WAIT_S = 1.0
_REPLY_TIMEOUT_S = 1.0
_RETRY_INTERVAL_S, _MAX_RETRY_INTERVAL_S = 0.25, 1.0
# While no control process answers, all of them are asked again after this time.
_SEARCH_INTERVAL_S = 0.5
# A configuration counts as current for this long after the latest confirmation.
_CURRENT_FOR_S = 3.0
# Until there is a first version, all control processes are asked with this time-out: one that
# has just started does not answer before it knows that its disk is not an outdated copy.
_FIRST_FETCH_S = 0.4
_DIGEST_BYTES = 8
# Number of processes other than control processes that are asked for a version. Asking all of
# hundreds would cost more than all their other messages.
_ASKED_PEERS = 4
_DECODER = msgspec.msgpack.Decoder(Configuration)

_log = logbook.Logger("configuration")


class _Answer(enum.Enum):
    """What a poll brought: `CURRENT` if the process confirms that it has the latest version."""

    CURRENT = enum.auto()
    OUTDATED = enum.auto()
    NONE = enum.auto()


class ConfigurationFeed:
    """Keeps the latest configuration by long polls; its version never decreases.

    Use as an async context manager. With a `cache_path` a version is synced
    there before it becomes active, so a restart never returns to an older
    one. Other processes without a disk may ask this one at their start.
    `control_ids` are the control processes, or a function that returns those
    known at the time; `polled_id` is the one polled now. `storage` is for tests. Long
    documents are fetched in chunks (`DocumentDownload`), so that several answers with the same
    version cost little.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        control_ids: Sequence[str] | Callable[[], Sequence[str]],
        timers: TimerService,
        counters: Counters,
        cache_path: Path | None = None,
        storage: Storage | None = None,
        random: random_module.Random | None = None,
    ) -> None:
        self.polled_id = ""
        self._transport = transport
        self._random = random or random_module.Random()
        self._control_ids = control_ids if callable(control_ids) else lambda: control_ids
        self._timers = timers
        self._counters = counters
        self._cache_path = cache_path
        if storage is None and cache_path is not None:
            storage = Storage(cache_path.parent)
        self._storage = storage
        self._configuration = Configuration()
        self._confirmed_at = float("-inf")
        self._known_version = 0
        self._newer_version_known = anyio.Event()
        self._lock = anyio.Lock()
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._document_chunks = DocumentChunks()
        self._download = DocumentDownload(
            transport=transport,
            counters=counters,
            other_sources=lambda: [*self._control_ids(), *self._other_peer_ids()],
        )
        self._group: anyio.abc.TaskGroup | None = None

    def configuration(self) -> Configuration:
        """Return the active configuration of this process, version 0 before the first fetch."""
        return self._configuration

    def current(self) -> bool:
        """Return whether a replica in contact with a majority answered within the last 3 s."""
        return self._timers.now() - self._confirmed_at <= _CURRENT_FOR_S

    def unconfirmed_s(self) -> float:
        """Return the seconds since the last confirmation, infinity if there was none.

        While the callbacks of `subscribe` run, that of the former configuration.
        """
        return self._timers.now() - self._confirmed_at

    def subscribe(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` with each new configuration when it becomes active."""
        self._callbacks.append(callback)

    def fetch_if_newer(self, version: int) -> None:
        """Fetch from all processes at once if `version` is newer than any known so far.

        They are asked again until it has arrived. For versions that other processes name in their
        load reports.
        """
        if version > max(self._known_version, self._configuration.version):
            self._known_version = version
            self._newer_version_known.set()

    async def __aenter__(self) -> ConfigurationFeed:
        self._read_cache()
        self._transport.request_handlers_by_type.setdefault(ConfigPoll, self._on_config_poll)
        self._transport.request_handlers_by_type.setdefault(ChunkRequest, self._on_chunk_request)
        self._download.accept_late_replies()
        await self._fetch_first()
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        self._group.start_soon(self._run_polls)
        self._group.start_soon(self._fetch_known_version)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self._group is not None
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(exc_type, exc, traceback)

    def _other_peer_ids(self) -> list[str]:
        """Return some processes other than control processes, to ask when those are lost."""
        control_ids = set(self._control_ids())
        others = [peer for peer in self._transport.peers() if peer not in control_ids]
        return self._random.sample(others, min(_ASKED_PEERS, len(others)))

    async def _on_config_poll(self, _: Sender, message: object) -> object:
        assert isinstance(message, ConfigPoll)
        # Only control processes can know whether a version is the latest, hence current=False.
        return self._document_chunks.make_update(
            self._configuration, message.version, current=False, chunked=message.chunked
        )

    async def _on_chunk_request(self, _: Sender, message: object) -> object:
        assert isinstance(message, ChunkRequest)
        return self._document_chunks.answer(message)

    async def _run_polls(self) -> None:
        while True:
            control_ids = self._control_ids()
            if not self._configuration.version:
                with anyio.move_on_after(_FIRST_FETCH_S):
                    await self._poll_all(control_ids)
                await self._timers.sleep(_FIRST_FETCH_S / 2)
                continue
            if not control_ids:
                await self._timers.sleep(_RETRY_INTERVAL_S)
                continue
            if self.polled_id not in control_ids:
                # At random, as otherwise all processes would depend on the same one.
                self._poll_from(self._random.choice(control_ids))
            asked_at = self._timers.now()
            answer = await self._poll_peer(self.polled_id, wait_s=_POLL_WAIT_S)
            if answer is _Answer.CURRENT:
                continue
            if answer is _Answer.NONE:
                self._poll_from(await self._find_answering())
            else:
                position = control_ids.index(self.polled_id)
                self._poll_from(control_ids[(position + 1) % len(control_ids)])
            # An unreachable replica may refuse at once: pause before asking the next one.
            await self._timers.sleep(max(0.0, asked_at + _RETRY_INTERVAL_S - self._timers.now()))

    async def _find_answering(self) -> str:
        """Ask all control processes at once until one answers, and return its id.

        One that is current is preferred. Asked in turn, several silent ones would take seconds.
        """
        answer_by_control: dict[str, _Answer] = {}
        is_found = anyio.Event()
        while True:
            for control_id in self._control_ids():
                self._start_poll(control_id, answer_by_control, is_found)
            with anyio.move_on_after(_SEARCH_INTERVAL_S):
                await is_found.wait()
            for wanted in (_Answer.CURRENT, _Answer.OUTDATED):
                for control_id, answer in answer_by_control.items():
                    if answer is wanted:
                        return control_id

    def _start_poll(
        self, control_id: str, answer_by_control: dict[str, _Answer], is_found: anyio.Event
    ) -> None:
        async def poll() -> None:
            answer_by_control[control_id] = await self._poll_peer(control_id)
            if answer_by_control[control_id] is _Answer.CURRENT:
                is_found.set()

        assert self._group is not None
        self._group.start_soon(poll)

    def _poll_from(self, control_id: str) -> None:
        _log.info("configuration polled from {}, before from {}", control_id, self.polled_id)
        self.polled_id = control_id

    async def _fetch_first(self) -> None:
        """Ask all processes until there is a version, for at most about one reply time-out."""
        give_up_at = self._timers.now() + _REPLY_TIMEOUT_S
        while True:
            with anyio.move_on_after(max(_FIRST_FETCH_S, _REPLY_TIMEOUT_S / 2)):
                await self._poll_all([*self._control_ids(), *self._other_peer_ids()])
            if self._configuration.version or self._timers.now() >= give_up_at:
                return
            await self._timers.sleep(_FIRST_FETCH_S / 4)

    async def _fetch_known_version(self) -> None:
        while True:
            await self._newer_version_known.wait()
            self._newer_version_known = anyio.Event()
            delay_s = _RETRY_INTERVAL_S
            while self._known_version > self._configuration.version:
                self._counters.add("configuration.fetched_heard")
                await self._poll_all([*self._control_ids(), *self._other_peer_ids()])
                if self._known_version > self._configuration.version:
                    await self._timers.sleep(delay_s)
                    delay_s = min(2 * delay_s, _MAX_RETRY_INTERVAL_S)

    async def _poll_all(self, peer_ids: Sequence[str]) -> None:
        async with anyio.create_task_group() as group:
            for peer_id in peer_ids:
                group.start_soon(self._poll_peer, peer_id)

    async def _poll_peer(self, peer_id: str, wait_s: float = 0.0) -> _Answer:
        """Ask for a newer version, and accept it."""
        poll = ConfigPoll(version=self._configuration.version, wait_s=wait_s, chunked=True)
        try:
            reply = await self._transport.request(
                peer_id, poll, timeout_s=wait_s + _REPLY_TIMEOUT_S
            )
        except PeerUnreachable:
            self._counters.add("configuration.polls_unanswered")
            return _Answer.NONE
        if not isinstance(reply, ConfigUpdate):
            return _Answer.NONE
        if not reply.current:
            self._counters.add("configuration.polls_not_current")
        if reply.configuration is not None and not await self._take(peer_id, reply):
            return _Answer.OUTDATED
        if reply.current:
            self._confirmed_at = self._timers.now()
        return _Answer.CURRENT if reply.current else _Answer.OUTDATED

    async def _take(self, peer_id: str, update: ConfigUpdate) -> bool:
        """Accept the configuration of an update; False if its document cannot be fetched now."""
        configuration, manifest = update.configuration, update.manifest
        assert configuration is not None
        if manifest is not None and configuration.version > self._configuration.version:
            held = self._configuration.document
            text = await self._download.fetch(manifest, peer_id, held.text)
            if text is None:
                return False
            configuration = configuration.with_document(Document(manifest.version, text))
        if configuration.version > self._configuration.version:
            _log.info("configuration {} received from {}", configuration.version, peer_id)
        await self._accept(configuration)
        return True

    async def _accept(self, configuration: Configuration) -> None:
        async with self._lock:
            if configuration.version <= self._configuration.version:
                self._counters.add("configuration.refused_older")
                return
            if self._storage is not None and self._cache_path is not None:
                content = msgspec.msgpack.encode(configuration)
                # Without a checksum a flipped bit could raise the cached version, and every
                # later configuration would be refused as older.
                try:
                    await self._storage.replace_file(
                        self._cache_path.name, xxhash.xxh3_64_digest(content) + content
                    )
                except DiskFullError as error:
                    # The cache only serves a start without contact; a start with it fetches.
                    self._counters.add("configuration.not_cached")
                    _log.warning("configuration {} not cached: {}", configuration.version, error)
            self._configuration = configuration
            self._counters.set_gauge("configuration.version", configuration.version)
            self._counters.set_gauge(
                "configuration.evacuated_domains", len(configuration.evacuated_domains())
            )
        for callback in self._callbacks:
            self._notify(callback, configuration)

    def _notify(
        self, callback: Callable[[Configuration], None], configuration: Configuration
    ) -> None:
        """Call a callback; its error must not end one process after the other at each start."""
        try:
            callback(configuration)
        except Exception:
            self._counters.add("configuration.callback_errors")
            _log.exception(
                "configuration version {} cannot be applied; the former one stays in force here",
                configuration.version,
            )

    def _read_cache(self) -> None:
        if self._cache_path is None or not self._cache_path.exists():
            return
        data = self._cache_path.read_bytes()
        try:
            if xxhash.xxh3_64_digest(data[_DIGEST_BYTES:]) != data[:_DIGEST_BYTES]:
                raise msgspec.DecodeError("the checksum does not match")
            self._configuration = _DECODER.decode(data[_DIGEST_BYTES:])
        except DECODE_ERRORS as error:
            raise ApricotError(
                ResultCode.LOG_CHECKSUM,
                f"configuration cache {self._cache_path} cannot be read: {error}",
                remedy="delete the file; the configuration is fetched again",
            ) from error
