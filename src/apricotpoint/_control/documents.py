"""Division of documents into chunks, of which two versions share all that did not change."""

from __future__ import annotations

import re
from collections.abc import Iterator

import xxhash

from apricotpoint._wire.configuration import (
    ChunkReply,
    ChunkRequest,
    ConfigUpdate,
    Configuration,
    Document,
    DocumentManifest,
)

# Documents that are not longer are sent whole.
MAX_WHOLE_DOCUMENT_CHARS = 8192
# A chunk ends with a piece whose hash is a multiple of this, so that a change in one place moves
# no boundary elsewhere; pieces end at closing braces, that is with an object of a JSON document.
_PIECES_PER_CHUNK = 16
_MAX_CHUNK_CHARS = 16_384
_PIECE = re.compile(r"[^}]{0,8000}\}?", re.DOTALL)
# A reply ends with the chunk that exceeds this, so that other messages to a process with a slow
# link wait for one of them only.
MAX_REPLY_CHARS = 16_384
MAX_CHUNKS_PER_REQUEST = 64
# Versions of which chunks are kept for processes that have begun to fetch them.
_KEPT_VERSIONS = 3


def chunk_digest(text: str) -> bytes:
    """Return the digest that names a chunk; short, as a manifest has one for each chunk."""
    return xxhash.xxh3_64_digest(text.encode())


def text_digest(text: str) -> bytes:
    """Return the digest of a whole document."""
    return xxhash.xxh3_128_digest(text.encode())


def split_text(text: str) -> Iterator[str]:
    """Yield the chunks of a text, in order."""
    start = end = 0
    for match in _PIECE.finditer(text):
        if match.end() == end:
            continue
        end = match.end()
        is_boundary = xxhash.xxh32_intdigest(match[0].encode()) % _PIECES_PER_CHUNK == 0
        if is_boundary or end - start >= _MAX_CHUNK_CHARS:
            yield text[start:end]
            start = end
    if start < len(text):
        yield text[start:]


class DocumentChunks:
    """The chunks of the latest documents of one process, for other processes to fetch."""

    def __init__(self) -> None:
        self._chunks_by_version: dict[int, dict[bytes, str]] = {}
        self._manifest = DocumentManifest(0, b"", [])

    def make_update(
        self, configuration: Configuration, known_version: int, *, current: bool, chunked: bool
    ) -> ConfigUpdate:
        """Return the answer to a poll by a process that has `known_version`.

        A long document is replaced by its manifest if the process accepts that (`chunked`).
        """
        version = configuration.version
        if version <= known_version:
            return ConfigUpdate(version=version, current=current)
        document = configuration.document
        if not chunked or len(document.text) <= MAX_WHOLE_DOCUMENT_CHARS:
            return ConfigUpdate(version=version, current=current, configuration=configuration)
        return ConfigUpdate(
            version=version,
            current=current,
            configuration=configuration.with_document(Document(document.version)),
            manifest=self._make_manifest(document),
        )

    def answer(self, request: ChunkRequest) -> ChunkReply:
        """Return the first of the chunks asked for that are known, up to `MAX_REPLY_CHARS`."""
        reply: list[str] = []
        chars = 0
        for digest in request.digests:
            text = next(
                (chunks[digest] for chunks in self._chunks_by_version.values() if digest in chunks),
                None,
            )
            if text is not None:
                reply.append(text)
                chars += len(text)
            if chars >= MAX_REPLY_CHARS:
                break
        return ChunkReply(reply)

    def _make_manifest(self, document: Document) -> DocumentManifest:
        if document.version != self._manifest.version:
            chunks = list(split_text(document.text))
            digests = [chunk_digest(chunk) for chunk in chunks]
            self._chunks_by_version[document.version] = dict(zip(digests, chunks, strict=True))
            if len(self._chunks_by_version) > _KEPT_VERSIONS:
                del self._chunks_by_version[next(iter(self._chunks_by_version))]
            self._manifest = DocumentManifest(document.version, text_digest(document.text), digests)
        return self._manifest
