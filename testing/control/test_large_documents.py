"""Many versions of a large document: logs and messages are bounded by size, not only by number."""

from __future__ import annotations

from pathlib import Path

import msgspec
from control_network import Cluster, with_cluster

from apricotpoint._control.log import COMPACT_AFTER_BYTES
from apricotpoint._control.messages import Append
from apricotpoint._control.replica import MAX_BYTES_PER_APPEND
from apricotpoint._control.state import REPLACE_DOCUMENT
from apricotpoint._core.codes import ResultCode

TEXT_BYTES = 600_000
VERSIONS = 60


async def replace_documents(cluster: Cluster, node_id: str) -> None:
    for version in range(1, VERSIONS + 1):
        reply = await cluster.change(
            node_id,
            f"document-{version}",
            0,
            action=REPLACE_DOCUMENT,
            target="document",
            version=version,
            text=f"{version:06}" * (TEXT_BYTES // 6),
        )
        assert reply.code == ResultCode.ACCEPTED


def test_a_replica_far_behind_is_sent_no_more_than_its_memory_holds(tmp_path: Path):
    """Guards against a leader that sends a hundred documents in one message, again and again.

    It and the receiver ran out of memory after the loss of a disk.
    """

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        behind = next(node.node_id for node in cluster.nodes() if node.node_id != leader)
        await cluster.kill(behind)
        await replace_documents(cluster, leader)
        sizes: list[int] = []
        deliver = cluster.network.deliver

        def record(peer_id: str, envelope: object) -> None:
            if isinstance(envelope.message, Append):  # type: ignore[attr-defined]
                sizes.append(len(msgspec.msgpack.encode(envelope.message)))  # type: ignore[attr-defined]
            deliver(peer_id, envelope)  # type: ignore[arg-type]

        cluster.network.deliver = record  # type: ignore[method-assign,assignment]
        await cluster.start(behind)
        while True:
            await cluster.timers.sleep(0.1)
            replica = getattr(cluster.node(behind), "replica", None)
            if replica and replica.state.configuration.document.version == VERSIONS:
                break
        assert max(sizes) <= MAX_BYTES_PER_APPEND + 2 * TEXT_BYTES

    with_cluster(test, tmp_path)


def test_the_log_of_large_documents_is_compacted_by_size(tmp_path: Path):
    """Guards against a log that fills memory and disk before it has a thousand entries."""

    async def test(cluster: Cluster) -> None:
        await replace_documents(cluster, await cluster.leader())
        await cluster.timers.sleep(1.0)
        limit = 2 * COMPACT_AFTER_BYTES
        assert 2 * limit < VERSIONS * TEXT_BYTES
        assert all(node.dump()["log_bytes"] < limit for node in cluster.nodes())

    with_cluster(test, tmp_path)
