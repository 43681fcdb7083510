"""Long documents on slow links: what a change costs is bounded by its size."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import anyio
import attrs
import hypothesis.strategies as st
import pytest
import trio.testing
from hypothesis import given, settings
from slow_link import HolderTransport, SlowLinkTransport

from apricotpoint._control.documents import DocumentChunks, chunk_digest, split_text
from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._link.transport import Sender
from apricotpoint._wire.configuration import (
    ChunkRequest,
    ConfigPoll,
    Configuration,
    Document,
)

CONTROL_IDS = ["c1", "c2", "c3"]
OTHER_IDS = ["e1", "e2", "e3", "e4", "e5"]
# A link of 9.5 Mbit/s, and the bound on the time until a change is in force.
BYTES_PER_S, APPLY_S = 9.5e6 / 8, 2.5


def make_text(routes: int) -> str:
    rows = [
        {
            "name": f"r-{number}",
            "host": "desk.example",
            "path_prefix": f"/more{number:05}/",
            "timeout_ms": 1500,
            "target_latency_ms": 60,
            "priority": 0,
            "service": "desk",
            "kind": "non_idempotent",
            "max_attempts": 2,
            "stretch_factor": 1.6,
        }
        for number in range(routes)
    ]
    return json.dumps({"routes": rows, "services": [{"name": "desk"}]}, separators=(",", ":"))


class Holders:
    """Control and other processes that all hold the latest configuration."""

    def __init__(self) -> None:
        self.transport_by_id = {key: HolderTransport() for key in [*CONTROL_IDS, *OTHER_IDS]}
        self.configuration = Configuration()
        self._changed = anyio.Event()
        for key, transport in self.transport_by_id.items():
            self._serve(transport, waits=key in CONTROL_IDS)

    def publish(self, text: str) -> None:
        """Make a text the latest version of the document."""
        version = self.configuration.version + 1
        self.configuration = attrs.evolve(
            self.configuration, version=version, document=Document(version, text)
        )
        self._changed.set()
        self._changed = anyio.Event()

    def _serve(self, transport: HolderTransport, *, waits: bool) -> None:
        chunks = DocumentChunks()

        async def on_poll(_: Sender, message: object) -> object:
            assert isinstance(message, ConfigPoll)
            with anyio.move_on_after(message.wait_s if waits else 0.0):
                while self.configuration.version <= message.version:
                    await self._changed.wait()
            return chunks.make_update(
                self.configuration, message.version, current=waits, chunked=message.chunked
            )

        async def on_chunk_request(_: Sender, message: object) -> object:
            assert isinstance(message, ChunkRequest)
            return chunks.answer(message)

        transport.request_handlers_by_type[ConfigPoll] = on_poll
        transport.request_handlers_by_type[ChunkRequest] = on_chunk_request


def run_with_feed(
    test: Callable[[Holders, SlowLinkTransport, ConfigurationFeed], Awaitable[None]],
    *,
    bytes_per_s: float = BYTES_PER_S,
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group, TimerService() as timers:
            holders = Holders()
            holders.publish(make_text(1))
            transport = SlowLinkTransport(holders.transport_by_id, group, bytes_per_s=bytes_per_s)
            feed = ConfigurationFeed(
                transport=transport,  # type: ignore[arg-type]
                control_ids=CONTROL_IDS,
                timers=timers,
                counters=Counters(),
            )
            async with feed:
                await test(holders, transport, feed)
            group.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})


def test_long_documents_in_quick_succession_are_in_force_in_time():
    """Guards against versions that are late as copies of the whole document fill a slow link."""

    async def test(holders: Holders, transport: SlowLinkTransport, feed: ConfigurationFeed) -> None:
        size = len(make_text(1724))
        for change in range(4):
            holders.publish(make_text(1724 + change))
            version = holders.configuration.version
            # Statuses of other processes name the version while the poll brings it, too.
            for _ in range(14):
                feed.fetch_if_newer(version)
                await anyio.sleep(0.1)
            assert feed.configuration().version == version
            assert feed.configuration().document.text == make_text(1724 + change)
        assert transport.received_bytes < 1.3 * size

    run_with_feed(test)


def test_a_document_that_takes_longer_than_a_time_out_arrives_in_the_end():
    """Guards against downloads that begin anew after each time-out."""

    async def test(holders: Holders, transport: SlowLinkTransport, feed: ConfigurationFeed) -> None:
        size = len(make_text(1724))
        holders.publish(make_text(1724))
        await anyio.sleep(1.5 * size / 25_000)
        assert feed.configuration().version == 2
        assert transport.received_bytes < 1.3 * size

    run_with_feed(test, bytes_per_s=25_000)


def test_a_download_goes_on_with_another_process():
    """Guards against a download that waits for the process that has offered the version."""

    async def test(holders: Holders, transport: SlowLinkTransport, feed: ConfigurationFeed) -> None:
        holders.publish(make_text(1724))
        feed.fetch_if_newer(2)
        await anyio.sleep(0.15)
        assert feed.configuration().version == 1
        transport.silent |= {"c1", "c2"}
        await anyio.sleep(4.0)
        assert feed.configuration().version == 2

    run_with_feed(test)


@pytest.mark.parametrize("at", [0, 800, 1723])
def test_a_change_costs_the_chunks_around_it(at: int):
    """Guards against boundaries that move with each change, by which everything is sent again."""
    rows = make_text(1724).split("},")
    changed = "},".join([*rows[:at], rows[at].replace("1500", "2500"), *rows[at + 1 :]])
    known = {chunk_digest(chunk) for chunk in split_text(make_text(1724))}
    new = [chunk for chunk in split_text(changed) if chunk_digest(chunk) not in known]
    assert 0 < sum(len(chunk) for chunk in new) <= 2 * 16_384


@settings(max_examples=200, deadline=None)
@given(st.text(alphabet="{}a,é\n", max_size=200), st.integers(1, 2000))
def test_the_chunks_of_a_text_are_the_text(text: str, times: int):
    """Guards against a document that changes on the way."""
    chunks = list(split_text(text * times))
    assert "".join(chunks) == text * times
    assert all(0 < len(chunk) <= 16_384 + 8_001 for chunk in chunks)
