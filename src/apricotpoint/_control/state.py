"""The replicated state machine: configuration, replies to commands, and members."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from apricotpoint._control.evacuation import EVACUATION_ACTIONS, apply_order
from apricotpoint._control.messages import Entry, StateImage
from apricotpoint._control.refusals import ChangeRefused, invalid
from apricotpoint._core.codes import ResultCode
from apricotpoint._wire.configuration import (
    Change,
    ChangeReply,
    Configuration,
    Document,
    ServiceConfig,
    TeamConfig,
)

# Replies kept for repeated commands; the oldest are discarded first.
MAX_KEPT_ANSWERS = 10_000
MEMBER_ACTIONS = frozenset({"add_member", "remove_member"})
REPLACE_DOCUMENT = "replace_document"
POLICIES = ("predicted", "random", "round_robin", "least_outstanding", "two_choices")

_MAX_NAME_LENGTH = 64


class ReplicatedState:
    """The state that results from the committed entries.

    The same entries must give the same state on every replica, so nothing
    here may depend on the time, on the host or on the order of a dict.
    """

    def __init__(self, disk_by_member: dict[str, str]) -> None:
        self.configuration = Configuration()
        self.disk_by_member = disk_by_member
        self.answer_by_command: dict[str, ChangeReply] = {}

    def image(self) -> StateImage:
        """Return the whole state as it is stored in a snapshot."""
        return StateImage(
            configuration=self.configuration,
            answers=list(self.answer_by_command.items()),
            disk_by_member=self.disk_by_member,
        )

    def restore(self, image: StateImage) -> None:
        """Replace the state by that of a snapshot."""
        self.configuration = image.configuration
        self.answer_by_command = dict(image.answers)
        self.disk_by_member = image.disk_by_member

    def apply(self, entry: Entry) -> ChangeReply | None:
        """Apply one committed entry and return the reply to its change, None without one."""
        # The change is checked against the members that were active before this entry.
        answer = self._answer_entry(entry) if entry.change is not None else None
        if entry.disk_by_member is not None:
            self.disk_by_member = entry.disk_by_member
        return answer

    def preview(self, change: Change) -> ChangeReply:
        """Return the reply that `change` would get now, without changing the state."""
        answer = self.answer_by_command.get(change.command_id)
        if answer is not None:
            return answer
        try:
            self._changed_configuration(change)
        except ChangeRefused as refusal:
            return self._refusal_reply(refusal)
        return ChangeReply(code=ResultCode.ACCEPTED, version=self.configuration.version + 1)

    def _answer_entry(self, entry: Entry) -> ChangeReply:
        assert entry.change is not None
        if entry.change.action == REPLACE_DOCUMENT:
            return self._replace_document(entry.change)
        answer = self.answer_by_command.get(entry.change.command_id)
        if answer is not None:
            return answer
        answer = entry.refusal or self._apply_change(entry.change)
        self.answer_by_command[entry.change.command_id] = answer
        if len(self.answer_by_command) > MAX_KEPT_ANSWERS:
            del self.answer_by_command[next(iter(self.answer_by_command))]
        return answer

    def _apply_change(self, change: Change) -> ChangeReply:
        try:
            if change.action in EVACUATION_ACTIONS:
                return self._apply_evacuation_order(change)
            changed = self._changed_configuration(change)
        except ChangeRefused as refusal:
            return self._refusal_reply(refusal)
        version = self.configuration.version + 1
        self.configuration = attrs.evolve(changed, version=version)
        return ChangeReply(code=ResultCode.ACCEPTED, version=version)

    def _apply_evacuation_order(self, change: Change) -> ChangeReply:
        """Carry out an order, which makes a new version if there is a configuration."""
        _check_names(change)
        evacuation = apply_order(self.configuration, change)
        known = self.configuration.evacuation_by_domain
        if evacuation is not None and evacuation != known.get(change.target):
            self.configuration = attrs.evolve(
                self.configuration,
                version=self.configuration.version + 1,
                evacuation_by_domain={**known, change.target: evacuation},
            )
        return ChangeReply(ResultCode.ACCEPTED, self.configuration.version, evacuation=evacuation)

    def _replace_document(self, change: Change) -> ChangeReply:
        """Store a document with a higher version; any other one is accepted without effect.

        A repeated change therefore needs no stored reply.
        """
        document = Document(change.arguments["version"], change.arguments["text"])
        if document.version > self.configuration.document.version:
            version = self.configuration.version + 1
            self.configuration = attrs.evolve(
                self.configuration, version=version, document=document
            )
        return ChangeReply(code=ResultCode.ACCEPTED, version=self.configuration.version)

    def _refusal_reply(self, refusal: ChangeRefused) -> ChangeReply:
        return ChangeReply(
            code=refusal.code, version=self.configuration.version, message=refusal.message
        )

    def _changed_configuration(self, change: Change) -> Configuration:
        action = _ACTION_BY_NAME.get(change.action)
        if action is None:
            raise invalid(
                f"action {change.action!r} is not known; use one of "
                f"{', '.join(sorted({*_ACTION_BY_NAME, *EVACUATION_ACTIONS}))}"
            )
        _check_names(change)
        if change.base_version != self.configuration.version:
            raise ChangeRefused(
                ResultCode.VERSION_CONFLICT,
                f"base version {change.base_version} is not the current version "
                f"{self.configuration.version}; read the configuration and send the change "
                "again with a new command id",
            )
        if change.action in MEMBER_ACTIONS:
            self._check_member_change(change)
        return action(self.configuration, change)

    def _check_member_change(self, change: Change) -> None:
        if change.action == "remove_member":
            if change.target not in self.disk_by_member:
                raise ChangeRefused(
                    ResultCode.NOT_FOUND, f"{change.target!r} is not a control member"
                )
            if len(self.disk_by_member) == 1:
                raise invalid(f"{change.target!r} is the last control member")


def _check_names(change: Change) -> None:
    if not _is_name(change.command_id):
        raise invalid("command_id must have 1 to 64 printable characters")
    if not _is_name(change.target):
        raise invalid(
            f"target {change.target[:_MAX_NAME_LENGTH]!r} of {change.action} must have "
            "1 to 64 printable characters"
        )


def _is_name(text: str) -> bool:
    return 0 < len(text) <= _MAX_NAME_LENGTH and text.isprintable() and text == text.strip()


def _check_arguments(change: Change, checks: Mapping[str, Callable[[str, Any], None]]) -> None:
    for name, value in change.arguments.items():
        check = checks.get(name)
        if check is None:
            allowed = f"use {', '.join(sorted(checks))}" if checks else "it takes none"
            raise invalid(f"argument {name!r} of {change.action} is not known; {allowed}")
        check(f"argument {name!r} of {change.action}", value)


def _positive_number(name: str, value: Any) -> None:
    if type(value) not in (int, float) or not 0 < value < float("inf"):
        raise invalid(f"{name} must be a number above 0, got {value!r}")


def _non_negative_integer(name: str, value: Any) -> None:
    if type(value) is not int or not 0 <= value < 1 << 53:
        raise invalid(f"{name} must be an integer of 0 or more, got {value!r}")


def _boolean(name: str, value: Any) -> None:
    if type(value) is not bool:
        raise invalid(f"{name} must be true or false, got {value!r}")


def _policy(name: str, value: Any) -> None:
    if value not in POLICIES:
        raise invalid(f"{name} must be one of {', '.join(POLICIES)}, got {value!r}")


_SERVICE_CHECKS = {
    "policy": _policy,
    "max_queue_s": _positive_number,
    "max_tasks_queued": _non_negative_integer,
    "retry_idempotent": _boolean,
    "guards": _boolean,
    "quarantine": _boolean,
}
_TEAM_CHECKS = {"quota_tasks": _non_negative_integer, "weight": _positive_number}


def _set_service(configuration: Configuration, change: Change) -> Configuration:
    _check_arguments(change, _SERVICE_CHECKS)
    known = configuration.service_by_name
    service = attrs.evolve(
        known.get(change.target, ServiceConfig(change.target)), **change.arguments
    )
    return attrs.evolve(configuration, service_by_name={**known, change.target: service})


def _set_team(configuration: Configuration, change: Change) -> Configuration:
    _check_arguments(change, _TEAM_CHECKS)
    known = configuration.team_by_name
    team = attrs.evolve(known.get(change.target, TeamConfig(change.target)), **change.arguments)
    return attrs.evolve(configuration, team_by_name={**known, change.target: team})


def _remove_from_dict(field: str, noun: str) -> Callable[[Configuration, Change], Configuration]:
    def remove(configuration: Configuration, change: Change) -> Configuration:
        _check_arguments(change, {})
        known = dict(getattr(configuration, field))
        if known.pop(change.target, None) is None:
            raise ChangeRefused(ResultCode.NOT_FOUND, f"{noun} {change.target!r} does not exist")
        changed: dict[str, Any] = {field: known}
        return attrs.evolve(configuration, **changed)

    return remove


def _add_to_list(field: str) -> Callable[[Configuration, Change], Configuration]:
    def add(configuration: Configuration, change: Change) -> Configuration:
        _check_arguments(change, {})
        names = {*getattr(configuration, field), change.target}
        changed: dict[str, Any] = {field: sorted(names)}
        return attrs.evolve(configuration, **changed)

    return add


def _remove_from_lists(*fields: str) -> Callable[[Configuration, Change], Configuration]:
    def remove(configuration: Configuration, change: Change) -> Configuration:
        _check_arguments(change, {})
        if not any(change.target in getattr(configuration, field) for field in fields):
            raise ChangeRefused(
                ResultCode.NOT_FOUND, f"{change.target!r} is neither drained nor stopped"
            )
        kept: dict[str, Any] = {
            field: [name for name in getattr(configuration, field) if name != change.target]
            for field in fields
        }
        return attrs.evolve(configuration, **kept)

    return remove


def _change_members(configuration: Configuration, change: Change) -> Configuration:
    # The list of members is in the log entry, because it is active as soon as it is appended.
    _check_arguments(change, {})
    return configuration


_ACTION_BY_NAME: dict[str, Callable[[Configuration, Change], Configuration]] = {
    "set_service": _set_service,
    "set_team": _set_team,
    "remove_service": _remove_from_dict("service_by_name", "service"),
    "remove_team": _remove_from_dict("team_by_name", "team"),
    "drain_vm": _add_to_list("drained_vms"),
    "undrain_vm": _remove_from_lists("drained_vms", "stopped_vms"),
    "stop_vm": _add_to_list("stopped_vms"),
    "drain_backend": _add_to_list("drained_backends"),
    "undrain_backend": _remove_from_lists("drained_backends", "stopped_backends"),
    "stop_backend": _add_to_list("stopped_backends"),
    "add_member": _change_members,
    "remove_member": _change_members,
}
