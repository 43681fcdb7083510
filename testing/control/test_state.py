"""The replicated state: each action, the refusals, and stable replies to repeated commands."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from apricotpoint._control.messages import Entry, StateImage
from apricotpoint._control.state import MAX_KEPT_ANSWERS, ReplicatedState
from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.configuration import Change, ChangeReply


def apply(state: ReplicatedState, action: str, target: str, **arguments: Any) -> ChangeReply:
    change = Change(
        command_id=f"c{len(state.answer_by_command)}",
        base_version=state.configuration.version,
        action=action,
        target=target,
        arguments=arguments,
    )
    reply = state.apply(Entry(term=1, change=change))
    assert reply is not None
    return reply


def test_every_action_changes_the_configuration():
    """Guards against an action that is accepted without the effect that it names."""
    state = ReplicatedState({"c1": "d1", "c2": "d2"})
    steps = [
        ("set_service", "order desk", {"policy": "two_choices", "max_queue_s": 5}),
        ("set_service", "order desk", {"retry_idempotent": True}),
        ("set_team", "hem", {"quota_tasks": 7, "weight": 0.5}),
        ("set_team", "spare", {}),
        ("remove_team", "spare", {}),
        ("set_service", "spare", {}),
        ("remove_service", "spare", {}),
        ("drain_vm", "e1", {}),
        ("stop_vm", "e2", {}),
        ("drain_vm", "e3", {}),
        ("undrain_vm", "e3", {}),
        ("drain_backend", "b1", {}),
        ("drain_backend", "b3", {}),
        ("undrain_backend", "b3", {}),
        ("stop_backend", "b2", {}),
    ]
    for version, (action, target, arguments) in enumerate(steps, start=1):
        reply = apply(state, action, target, **arguments)
        assert (reply.code, reply.version) == (ResultCode.ACCEPTED, version), reply
    configuration = state.configuration
    service = configuration.service_by_name["order desk"]
    assert (service.policy, service.max_queue_s, service.retry_idempotent) == (
        "two_choices",
        5,
        True,
    )
    assert list(configuration.team_by_name) == ["hem"]
    assert (configuration.drained_vms, configuration.stopped_vms) == (["e1"], ["e2"])
    assert (configuration.drained_backends, configuration.stopped_backends) == (["b1"], ["b2"])


@pytest.mark.parametrize(
    ("action", "target", "arguments", "expected_text"),
    [
        ("explode", "x", {}, "'explode' is not known"),
        ("set_service", "s", {"policy": "best"}, "must be one of predicted"),
        ("set_service", "s", {"max_queue_s": -1}, "got -1"),
        ("set_service", "s", {"max_queue_s": float("nan")}, "got nan"),
        ("set_service", "s", {"max_tasks_queued": True}, "got True"),
        ("set_service", "s", {"guards": "yes"}, "true or false, got 'yes'"),
        ("set_service", "s", {"polcy": "random"}, "'polcy' of set_service is not known"),
        ("set_team", "t", {"quota_tasks": 1.5}, "got 1.5"),
        ("drain_vm", "e1", {"now": True}, "it takes none"),
        ("drain_vm", "", {}, "1 to 64"),
        ("drain_vm", "x" * 65, {}, "1 to 64"),
    ],
)
def test_refusal_of_an_invalid_change_names_the_cause(
    action: str, target: str, arguments: dict[str, Any], expected_text: str
):
    """Guards against a refusal that does not tell the operator what to correct."""
    state = ReplicatedState({"c1": "d1"})
    reply = apply(state, action, target, **arguments)
    assert (reply.code, reply.version) == (ResultCode.INVALID_COMMAND, 0)
    assert expected_text in reply.message


@pytest.mark.parametrize(
    "action",
    ["remove_service", "remove_team", "undrain_vm", "undrain_backend", "remove_member"],
)
def test_unknown_target_is_not_found(action: str):
    """Guards against a removal that is accepted although the named object does not exist."""
    reply = apply(ReplicatedState({"c1": "d1"}), action, "nobody")
    assert reply.code == ResultCode.NOT_FOUND
    assert "nobody" in reply.message


def test_answers_are_kept_in_snapshots_and_bounded():
    """Guards against a resent command that is applied again after a snapshot.

    The state of a snapshot must contain the replies to earlier commands, but
    not grow without bound.
    """
    state = ReplicatedState({"c1": "d1"})
    for _ in range(MAX_KEPT_ANSWERS):
        apply(state, "drain_vm", "e1")
    first = state.answer_by_command["c0"]
    image = msgspec.msgpack.decode(msgspec.msgpack.encode(state.image()), type=StateImage)
    restored = ReplicatedState({})
    restored.restore(image)
    again = restored.apply(Entry(term=9, change=Change("c0", 0, "stop_vm", "e9")))
    assert again == first
    assert restored.configuration == state.configuration
    restored.apply(Entry(term=9, change=Change("one more", 0, "stop_vm", "e9")))
    assert len(restored.answer_by_command) == MAX_KEPT_ANSWERS
    assert "c0" not in restored.answer_by_command


def replace_document(state: ReplicatedState, version: int, text: str) -> ChangeReply:
    arguments = {"version": version, "text": text}
    change = Change(f"document-{version}", 0, "replace_document", "document", arguments)
    reply = state.apply(Entry(term=1, change=change))
    assert reply is not None
    return reply


def test_of_two_documents_the_higher_version_wins_whatever_the_order():
    """Guards against a late or repeated document that replaces a newer one."""
    state = ReplicatedState({})
    for version, text in [(7, "seven"), (5, "five"), (7, "other"), (7, "seven")]:
        assert replace_document(state, version, text).code == ResultCode.ACCEPTED
        assert state.configuration.document.text == "seven"
    replace_document(state, 9, "nine")
    assert (state.configuration.document.version, state.configuration.version) == (9, 2)
