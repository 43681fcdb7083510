"""Download of long documents in chunks, from one process at a time."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import anyio
import logbook

from apricotpoint._control.documents import (
    MAX_CHUNKS_PER_REQUEST,
    chunk_digest,
    split_text,
    text_digest,
)
from apricotpoint._core.counters import Counters
from apricotpoint._link.transport import PeerUnreachable, Sender, Transport
from apricotpoint._wire.configuration import ChunkReply, ChunkRequest, DocumentManifest

# Time-out of one request, doubled and the request halved after each one that times out. A reply
# that arrives later is of use as well.
CHUNK_TIMEOUT_S, MAX_CHUNK_TIMEOUT_S = 1.0, 8.0
# A download ends after this many requests in a row that brought nothing new.
MAX_FRUITLESS_REQUESTS = 4

_log = logbook.Logger("configuration")


class DocumentDownload:
    """Fetches documents, and keeps the chunks that have arrived until they are of no use.

    What a new version costs on the link of this process is the size of its changed chunks, however
    many processes have offered it, and whatever time-outs passed meanwhile. `other_sources`
    returns processes to ask when the one that offered a version does not answer.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        counters: Counters,
        other_sources: Callable[[], Sequence[str]],
    ) -> None:
        self._transport = transport
        self._counters = counters
        self._other_sources = other_sources
        self._text_by_digest: dict[bytes, str] = {}
        self._lock = anyio.Lock()
        self._newest_version = 0
        self._fetched: tuple[int, str] = (0, "")

    def accept_late_replies(self) -> None:
        """Register for replies that arrive after their time-out; call this once."""
        self._transport.handlers_by_type[ChunkReply] = self._on_late_reply

    async def fetch(self, manifest: DocumentManifest, source_id: str, held_text: str) -> str | None:
        """Return the text of a document, None if it is superseded or cannot be fetched now.

        `source_id` is the process that has offered it, `held_text` the document held.
        """
        self._newest_version = max(self._newest_version, manifest.version)
        async with self._lock:
            if self._fetched[0] == manifest.version:
                return self._fetched[1]
            for chunk in split_text(held_text):
                self._text_by_digest.setdefault(chunk_digest(chunk), chunk)
            if not await self._fetch_chunks(manifest, source_id):
                return None
            text = "".join(self._text_by_digest[digest] for digest in manifest.chunk_digests)
            wanted = set(manifest.chunk_digests)
            self._text_by_digest = {
                digest: chunk for digest, chunk in self._text_by_digest.items() if digest in wanted
            }
            if text_digest(text) != manifest.digest:
                self._counters.add("configuration.download_errors")
                _log.error("document version {} does not match its digest", manifest.version)
                self._text_by_digest.clear()
                return None
            self._fetched = (manifest.version, text)
            return text

    async def _fetch_chunks(self, manifest: DocumentManifest, source_id: str) -> bool:
        sources = [source_id, *(item for item in self._other_sources() if item != source_id)]
        fruitless = 0
        timeout_s, chunk_count = CHUNK_TIMEOUT_S, MAX_CHUNKS_PER_REQUEST
        while missing := self._missing(manifest):
            if self._newest_version > manifest.version:
                # A download of the newer version waits; it uses what has arrived.
                return False
            if fruitless >= MAX_FRUITLESS_REQUESTS:
                _log.warning(
                    "{} chunks of document version {} could not be fetched from {}",
                    len(missing),
                    manifest.version,
                    sources[0],
                )
                return False
            request = ChunkRequest(missing[:chunk_count])
            try:
                reply = await self._transport.request(sources[0], request, timeout_s=timeout_s)
            except PeerUnreachable:
                reply = None
                timeout_s = min(2 * timeout_s, MAX_CHUNK_TIMEOUT_S)
                chunk_count = max(chunk_count // 2, 1)
            if isinstance(reply, ChunkReply):
                self._add(reply)
            if len(self._missing(manifest)) < len(missing):
                fruitless = 0
            else:
                fruitless += 1
                sources.append(sources.pop(0))
        return True

    def _missing(self, manifest: DocumentManifest) -> list[bytes]:
        return [item for item in manifest.chunk_digests if item not in self._text_by_digest]

    def _add(self, reply: ChunkReply) -> None:
        self._counters.add("configuration.chunks", len(reply.chunks))
        for chunk in reply.chunks:
            self._text_by_digest[chunk_digest(chunk)] = chunk

    def _on_late_reply(self, _: Sender, message: object) -> None:
        assert isinstance(message, ChunkReply)
        self._counters.add("configuration.late_chunks", len(message.chunks))
        if self._lock.locked():
            self._add(message)
