"""Orders to evacuate a failure domain in the replicated state, and through losses of processes."""

from __future__ import annotations

import itertools
from pathlib import Path
from typing import Any

import anyio
import attrs
import msgspec
import pytest
from control_network import IDS, Cluster, with_cluster

from apricotpoint._control.evacuation import make_order
from apricotpoint._control.messages import Entry, StateImage
from apricotpoint._control.replica import Replica
from apricotpoint._control.state import ReplicatedState
from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.configuration import Change, ChangeReply, Configuration, Evacuation

DOMAINS = ["a", "b", "c"]
SENT_AT = 1_800_000_000.0


class State:
    """A replicated state with a configuration, to which orders are applied."""

    def __init__(self) -> None:
        self.replicated = ReplicatedState({})
        self._numbers = itertools.count(1)
        self.apply(Change("first", 0, "set_team", "hem"))

    def order(self, begin: bool, domain: str = "b") -> Change:
        """Return the change for an order that a process with this state receives."""
        command_id = f"order-{next(self._numbers)}"
        names = {"domain": domain, "domains": DOMAINS, "command_id": command_id}
        configuration = self.replicated.configuration
        return make_order(configuration, begin=begin, ordered_at=SENT_AT, **names)  # type: ignore[arg-type]

    def apply(self, change: Change) -> ChangeReply:
        """Apply a committed change and return its reply."""
        reply = self.replicated.apply(Entry(term=1, change=change))
        assert reply is not None
        return reply


def test_orders_take_effect_once_each_and_are_numbered():
    """Guards against a resent order that counts as a new one, or is refused after its effect."""
    state = State()
    begin, again = state.order(True), state.order(True)
    reply = state.apply(begin)
    expected = Evacuation(True, 1, "order-1", SENT_AT)
    assert (reply.code, reply.version, reply.evacuation) == (ResultCode.ACCEPTED, 2, expected)
    # The process that received it did not know the first one yet.
    reply = state.apply(again)
    repeated = Evacuation(True, 2, "order-1", SENT_AT)
    assert (reply.code, reply.version, reply.evacuation) == (ResultCode.ACCEPTED, 3, repeated)
    assert state.replicated.configuration.evacuated_domains() == ["b"]
    reply = state.apply(state.order(False))
    assert (reply.version, reply.evacuation) == (4, Evacuation(False, 3, "order-3", SENT_AT))
    reply = state.apply(state.order(False))
    assert (reply.code, reply.evacuation) == (
        ResultCode.ACCEPTED,
        Evacuation(False, 4, "order-3", SENT_AT),
    )
    first = state.apply(state.order(False, "a"))
    assert first.evacuation == Evacuation(False, 1, "order-5", SENT_AT)
    assert state.replicated.configuration.evacuated_domains() == []


def test_a_delayed_order_does_not_undo_an_opposite_one_without_effect():
    """Guards against a domain that is evacuated after the acknowledgement of the finish."""
    state = State()
    delayed = state.order(True)
    # The operator has given up the order to begin, and finishes what may have begun.
    assert state.apply(state.order(False)).code == ResultCode.ACCEPTED
    assert state.apply(delayed).code == ResultCode.VERSION_CONFLICT
    assert state.replicated.configuration.evacuated_domains() == []
    assert state.apply(state.order(True)).code == ResultCode.ACCEPTED
    delayed = state.order(False)
    assert state.apply(state.order(True)).code == ResultCode.ACCEPTED
    assert state.apply(delayed).code == ResultCode.VERSION_CONFLICT
    assert state.replicated.configuration.evacuated_domains() == ["b"]


def test_of_two_orders_that_cross_the_later_one_is_sent_again():
    """Guards against two operators whose orders undo each other without either knowing."""
    state = State()
    state.apply(state.order(True))
    finish, late = state.order(False), state.order(False)
    state.apply(finish)
    begin = state.order(True)
    assert state.apply(begin).code == ResultCode.ACCEPTED
    refused = state.apply(late)
    assert refused.code == ResultCode.VERSION_CONFLICT
    assert "based on order 1" in refused.message
    assert state.replicated.configuration.evacuation_by_domain["b"].order == 3
    # A copy of a command gets the reply of the first one, and changes nothing.
    assert state.apply(finish).code == ResultCode.ACCEPTED
    assert state.replicated.configuration.evacuated_domains() == ["b"]


def test_the_last_domain_stays_and_unknown_ones_are_not_found():
    """Guards against a deployment without any backend server, and against misspelt names."""
    state = State()
    for domain in ("a", "b"):
        assert state.apply(state.order(True, domain)).code == ResultCode.ACCEPTED
    last = state.apply(state.order(True, "c"))
    assert (last.code, "no failure domain would be left" in last.message) == (4103, True)
    for begin in (True, False):
        unknown = state.apply(state.order(begin, "x"))
        assert (unknown.code, "use one of a, b, c" in unknown.message) == (4104, True)
    # Accepted before, so it is never refused.
    assert state.apply(state.order(True, "b")).code == ResultCode.ACCEPTED
    empty = State()
    empty.replicated = ReplicatedState({})
    refused = empty.apply(empty.order(True))
    assert (refused.code, refused.version) == (ResultCode.INVALID_COMMAND, 0)


@pytest.mark.parametrize(
    ("arguments", "expected_text"),
    [
        ({"known_order": -1}, "got -1"),
        ({"known_order": True}, "got True"),
        ({"ordered_at": float("nan")}, "got nan"),
        ({"domains": "abc"}, "got 'abc'"),
        ({"domains": [["b"]]}, "list of names"),
        ({"reason": "fire"}, "got domains, known_order, ordered_at, reason"),
    ],
)
def test_invalid_arguments_are_named(arguments: dict[str, Any], expected_text: str):
    """Guards against an entry of the log that ends every process which applies it."""
    state = State()
    order = state.order(True)
    reply = state.apply(attrs.evolve(order, arguments=order.arguments | arguments))
    assert reply.code == ResultCode.INVALID_COMMAND
    assert expected_text in reply.message
    assert state.replicated.configuration.evacuation_by_domain == {}


def test_orders_are_in_snapshots_and_unknown_to_older_releases():
    """Guards against a configuration that another release cannot read during an upgrade."""
    state = State()
    state.apply(state.order(True))
    encoded = msgspec.msgpack.encode(state.replicated.image())
    image = msgspec.msgpack.decode(encoded, type=StateImage)
    assert image.configuration == state.replicated.configuration
    former_type = attrs.make_class(
        "Former", {"version": attrs.field(type=int), "drained_vms": attrs.field(type=list[str])}
    )
    content = msgspec.msgpack.encode(state.replicated.configuration)
    assert msgspec.msgpack.decode(content, type=former_type).version == 2
    former = msgspec.msgpack.encode({"version": 7, "drained_vms": ["e1"]})
    assert msgspec.msgpack.decode(former, type=Configuration).evacuation_by_domain == {}


async def send(cluster: Cluster, node_id: str, command_id: str) -> ChangeReply:
    node = cluster.node(node_id)
    configuration = node.replica.state.configuration
    target = {"domain": "c1", "domains": IDS, "ordered_at": SENT_AT}
    return await node.change(
        make_order(configuration, begin=True, command_id=command_id, **target)  # type: ignore[arg-type]
    )


async def send_until_accepted(cluster: Cluster) -> ChangeReply:
    while True:
        reply = await send(cluster, await cluster.leader(), f"again-{anyio.current_time()}")
        if reply.code == ResultCode.ACCEPTED:
            return reply
        await anyio.sleep(0.2)


def test_an_order_without_acknowledgement_is_acknowledged_by_the_next_leader(tmp_path: Path):
    """Guards against a refusal, or a second order, after the leader is lost in between."""

    async def test(cluster: Cluster) -> None:
        def replica(node_id: str) -> Replica:
            return cluster.node(node_id).replica

        leader = await cluster.leader()
        await cluster.change(leader, "first", 0)
        replies: list[ChangeReply] = []

        async def order() -> None:
            replies.append(await send(cluster, follower, "lost-1"))

        follower = next(node_id for node_id in IDS if node_id != leader)
        async with anyio.create_task_group() as group:
            group.start_soon(order)
            with anyio.fail_after(5):
                # The follower has the entry, the leader has not committed it.
                while replica(follower).log.last_index <= replica(leader).commit_index:  # noqa: ASYNC110
                    await anyio.sleep(0.0001)
            await cluster.kill(leader)
        assert replies[0].code == ResultCode.NO_MAJORITY
        reply = await send_until_accepted(cluster)
        # The order that repeats it has a number of its own.
        assert reply.evacuation == Evacuation(True, 2, "lost-1", SENT_AT)

    with_cluster(test, tmp_path)


def test_an_acknowledged_order_survives_power_and_the_disk_of_its_process(tmp_path: Path):
    """Guards against an order that only the process that acknowledged it has kept."""

    async def test(cluster: Cluster) -> None:
        leader = await cluster.leader()
        await cluster.change(leader, "first", 0)
        assert (await send(cluster, leader, "begin")).code == ResultCode.ACCEPTED
        await cluster.kill(*IDS)
        await cluster.replace_disk(leader)
        await cluster.start(*IDS)
        reply = await send_until_accepted(cluster)
        assert reply.evacuation == Evacuation(True, 2, "begin", SENT_AT)
        gauge = cluster.counters_by_id[await cluster.leader()].snapshot()
        assert gauge["configuration.evacuated_domains"] == 1

    with_cluster(test, tmp_path)
