"""Generates series of faults that the users' pages allow."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable

import attrs

from apricotpoint._soak import rules
from apricotpoint._soak.series import SIZES, Fault, FaultKind, Series
from apricotpoint._soak.settings import SoakSettings

BEYOND_SHARE, LINKS_SHARE, FINAL_SHARE = 0.3, 0.4, 0.6
MAX_ADDED_CONTROLS = 2
# Share of the entry processes that are disturbed at the same time, at most.
MAX_ENTRIES_SHARE = 0.5
MIN_GAP_S = 0.1


def names_by_domain(settings: SoakSettings, prefix: str, count: int) -> dict[str, str]:
    """Return the failure domain by name of `count` processes that are spread evenly."""
    domains = settings.failure_domains
    return {f"{prefix}-{index + 1}": domains[index % len(domains)] for index in range(count)}


# As in the bounds of the users' sites; time in which the service comes back after losses beyond
# the tolerated ones. Disks that were lost count as lost until then.
RECOVERY_S = 15.0


@attrs.define
class _Loss:
    control_id: str
    since: float
    until: float
    loses_disk: bool


class _Generator:
    """Draws faults and keeps account of what is lost."""

    def __init__(self, settings: SoakSettings, seed: int, catch_up_s: float) -> None:
        self._settings, self._catch_up_s = settings, catch_up_s
        self._random = random_module.Random(seed)
        self._beyond = self._random.random() < BEYOND_SHARE
        self.uses_links = settings.with_links and self._random.random() < LINKS_SHARE
        self._entries = names_by_domain(settings, "entry", settings.entries)
        self._controls = names_by_domain(settings, "control", settings.controls)
        self._slots = list(names_by_domain(settings, "backend", settings.backends))
        self._uncounted: list[str] = []
        self._next_control = settings.controls + 1
        self._added = 0
        self._busy_until: dict[str, float] = {}
        self._losses: list[_Loss] = []
        # Until then the service may be suspended, so that no lost disk is replaced.
        self._suspended_until = 0.0
        self._draw_by_kind: dict[FaultKind, Callable[[float, FaultKind], Fault | None]] = {
            FaultKind.FREEZE: self._any_process,
            FaultKind.KILL: self._any_process,
            FaultKind.STOP: self._any_process,
            FaultKind.HANG_UP: self._any_process,
            FaultKind.POWER_LOSS: self._power_loss,
            FaultKind.LOSE_DISK: self._control,
            FaultKind.REPLACE: self._replacement,
            FaultKind.REPLACE_PLANNED: self._replacement,
            FaultKind.ADD: self._addition,
            FaultKind.ADD_UNCOUNTED: self._uncounted_addition,
            FaultKind.LOSE_UNCOUNTED: self._uncounted_loss,
            FaultKind.CUT: self._cut,
            FaultKind.SPLIT: self._split,
            FaultKind.SILENCE: self._links_of_one,
            FaultKind.DELAY: self._links_of_one,
            FaultKind.RESET: self._links_of_one,
            FaultKind.NARROW: self._links_of_one,
            FaultKind.ODD_ANNOUNCEMENTS: self._backend,
            FaultKind.BURST: self._load,
            FaultKind.DEADLY_JOB: self._load,
            FaultKind.BACKEND_LEAVES: self._backend,
            FaultKind.BACKEND_FLAPS: self._backend,
            FaultKind.BACKEND_SHRINKS: self._backend,
        }

    def draw(self, at_s: float) -> Fault | None:
        """Return a fault at a time, numbered 0; None if the drawn kind is not allowed then."""
        kinds = list(rules.WEIGHT_BY_KIND)
        kind = self._random.choices(kinds, weights=list(rules.WEIGHT_BY_KIND.values()))[0]
        return self._draw_by_kind[kind](at_s, kind)

    def next_at(self, at_s: float) -> float:
        """Return the time of the next draw."""
        return at_s + max(MIN_GAP_S, self._random.expovariate(1 / self._settings.fault_interval_s))

    def final(self, at_s: float) -> Fault | None:
        """Return the final fault of some series: disks are lost with the power of all others."""
        if self._random.random() > FINAL_SHARE or not self._controls:
            return None
        open_losses = len(self._disks_lost(at_s, at_s))
        count = max(0, self._settings.tolerated_processes - open_losses)
        targets = self._random.sample(
            list(self._controls), self._random.randint(0, min(count, len(self._controls)))
        )
        return Fault(0, at_s, FaultKind.FINAL, targets, 1.0, rules.FINAL_FAULT)

    def _any_process(self, at_s: float, kind: FaultKind) -> Fault | None:
        if self._random.random() < 0.35:
            return self._control(at_s, kind)
        busy = sum(1 for entry in self._entries if self._is_busy(entry, at_s))
        free = [entry for entry in self._entries if not self._is_busy(entry, at_s)]
        if busy + 1 > max(1, MAX_ENTRIES_SHARE * len(self._entries)):
            return None
        target = self._random.choice(free)
        duration_s = self._duration(kind)
        self._busy_until[target] = at_s + duration_s + self._settling_s(kind)
        rule = {FaultKind.STOP: rules.STOPPED, FaultKind.HANG_UP: rules.HANG_UP}.get(
            kind, rules.UNCOUNTED
        )
        return Fault(0, at_s, kind, [target], duration_s, rule)

    def _control(self, at_s: float, kind: FaultKind) -> Fault | None:
        free = [control for control in self._controls if not self._is_busy(control, at_s)]
        if not free:
            return None
        target = self._random.choice(free)
        duration_s = self._duration(kind)
        loses_disk = kind is FaultKind.LOSE_DISK
        rule = rules.HANG_UP
        if kind is not FaultKind.HANG_UP:
            rule = self._lose([target], at_s, duration_s + self._settling_s(kind), loses_disk)
        if not rule:
            return None
        self._busy_until[target] = at_s + duration_s + self._settling_s(kind)
        return Fault(0, at_s, kind, [target], duration_s, rules.EMPTY_DISK if loses_disk else rule)

    def _power_loss(self, at_s: float, kind: FaultKind) -> Fault | None:
        duration_s = self._random.uniform(0.3, 1.0)
        self._suspended_until = at_s + duration_s + RECOVERY_S
        return Fault(0, at_s, kind, list(self._controls), duration_s, rules.ALL_KILLED)

    def _replacement(self, at_s: float, kind: FaultKind) -> Fault | None:
        free = [control for control in self._controls if not self._is_busy(control, at_s)]
        if not free:
            return None
        old = self._random.choice(free)
        duration_s = self._random.uniform(0.5, 2.0)
        if not self._lose([old], at_s, duration_s, loses_disk=True):
            return None
        new = self._new_control(self._controls.pop(old))
        self._busy_until[new] = at_s + duration_s + self._catch_up_s
        return Fault(0, at_s, kind, [old, new], duration_s, rules.REMOVED)

    def _addition(self, at_s: float, kind: FaultKind) -> Fault | None:
        if self._added >= MAX_ADDED_CONTROLS:
            return None
        self._added += 1
        new = self._new_control(self._random.choice(self._settings.failure_domains))
        self._busy_until[new] = at_s + self._catch_up_s
        return Fault(0, at_s, kind, [new], 0.0, rules.ADDED)

    def _uncounted_addition(self, at_s: float, kind: FaultKind) -> Fault | None:
        if len(self._uncounted) > MAX_ADDED_CONTROLS:
            return None
        new = self._new_control(self._random.choice(self._settings.failure_domains))
        del self._controls[new]
        self._uncounted.append(new)
        return Fault(0, at_s, kind, [new], 0.0, rules.ADDED)

    def _uncounted_loss(self, at_s: float, kind: FaultKind) -> Fault | None:
        if not self._uncounted:
            return None
        lost = self._random.sample(self._uncounted, self._random.randint(1, len(self._uncounted)))
        self._uncounted = [name for name in self._uncounted if name not in lost]
        return Fault(0, at_s, kind, lost, 0.0, rules.UNCOUNTED)

    def _cut(self, at_s: float, kind: FaultKind) -> Fault | None:
        if not self.uses_links:
            return None
        domain = self._random.choice(self._settings.failure_domains)
        controls = [name for name, place in self._controls.items() if place == domain]
        duration_s = self._random.uniform(1.0, 4.0)
        rule = self._lose(controls, at_s, duration_s, loses_disk=False)
        if not rule:
            return None
        entries = [name for name, place in self._entries.items() if place == domain]
        return Fault(0, at_s, kind, controls + entries, duration_s, rule)

    def _split(self, at_s: float, kind: FaultKind) -> Fault | None:
        if not self.uses_links or len(self._controls) < 2:
            return None
        half = self._random.sample(list(self._controls), len(self._controls) // 2)
        return Fault(0, at_s, kind, half, self._random.uniform(1.0, 4.0), rules.HALVES)

    def _links_of_one(self, at_s: float, kind: FaultKind) -> Fault | None:
        if not self.uses_links:
            return None
        target = self._random.choice([*self._entries, *self._controls])
        rule = {FaultKind.RESET: rules.RESET_ALL, FaultKind.SILENCE: rules.SILENT}.get(
            kind, rules.NARROWED
        )
        lasts = kind in {FaultKind.DELAY, FaultKind.NARROW}
        duration_s = self._random.uniform(1.0, 4.0) if lasts else 0.0
        if lasts:
            lost = [target] if target in self._controls else []
            rule = self._lose(lost, at_s, duration_s, loses_disk=False)
        return Fault(0, at_s, kind, [target], duration_s, rule) if rule else None

    def _load(self, at_s: float, kind: FaultKind) -> Fault | None:
        if kind is FaultKind.BURST:
            return Fault(0, at_s, kind, [], self._random.uniform(1.0, 3.0), rules.LOADED)
        return Fault(0, at_s, kind, [], 0.0, rules.DEADLY)

    def _backend(self, at_s: float, kind: FaultKind) -> Fault | None:
        free = [slot for slot in self._slots if not self._is_busy(slot, at_s)]
        if len(free) < len(self._slots) / 2:
            return None
        target = self._random.choice(free)
        duration_s = self._random.uniform(2.0, 6.0)
        self._busy_until[target] = at_s + duration_s + 2.0
        rule_by_kind = {
            FaultKind.BACKEND_LEAVES: rules.LEAVES,
            FaultKind.BACKEND_FLAPS: rules.FLAPS,
            FaultKind.ODD_ANNOUNCEMENTS: rules.ODD,
        }
        return Fault(0, at_s, kind, [target], duration_s, rule_by_kind.get(kind, rules.SHRINKS))

    def _lose(self, targets: list[str], at_s: float, duration_s: float, loses_disk: bool) -> str:
        """Take account of lost control processes; returns the rule that allows it, or nothing."""
        until = at_s + duration_s + self._catch_up_s
        lost = {loss.control_id for loss in self._overlapping(at_s, until)} | set(targets)
        # A process that was replaced counts in the failure domain that it had.
        domains = {self._controls.get(name, name) for name in lost}
        tolerated = (
            len(lost) <= self._settings.tolerated_processes
            or len(domains) <= self._settings.tolerated_domains
        )
        disks = len(self._disks_lost(at_s, until)) + loses_disk * len(targets)
        if disks > self._settings.tolerated_processes and (loses_disk or not tolerated):
            return ""
        if not tolerated and not self._beyond:
            return ""
        self._losses += [_Loss(target, at_s, until, loses_disk) for target in targets]
        if not tolerated:
            self._suspended_until = max(self._suspended_until, at_s + duration_s + RECOVERY_S)
        return rules.TOLERATED if tolerated else rules.OVERLAP

    def _overlapping(self, since: float, until: float) -> list[_Loss]:
        return [loss for loss in self._losses if loss.since < until and loss.until > since]

    def _disks_lost(self, since: float, until: float) -> list[_Loss]:
        """Return the lost disks that may not be replaced by copies yet."""
        if since < self._suspended_until:
            return [loss for loss in self._losses if loss.loses_disk]
        return [loss for loss in self._overlapping(since, until) if loss.loses_disk]

    def _new_control(self, domain: str) -> str:
        name = f"control-{self._next_control}"
        self._next_control += 1
        self._controls[name] = domain
        return name

    def _is_busy(self, name: str, at_s: float) -> bool:
        return self._busy_until.get(name, 0.0) > at_s

    def _duration(self, kind: FaultKind) -> float:
        low, high = {FaultKind.FREEZE: (0.5, 4.0), FaultKind.HANG_UP: (0.0, 0.0)}.get(
            kind, (0.3, 2.0)
        )
        return self._random.uniform(low, high)

    def _settling_s(self, kind: FaultKind) -> float:
        # A process that is stopped may use its grace period.
        return 6.0 if kind is FaultKind.STOP else 0.5


def make_series(settings: SoakSettings, *, seed: int, catch_up_s: float) -> Series:
    """Return the series of a seed; `catch_up_s` is how long a process counts as lost once back."""
    generator = _Generator(settings, seed, catch_up_s)
    faults: list[Fault] = []
    at_s = generator.next_at(0.0)
    while at_s < settings.seconds:
        fault = generator.draw(at_s)
        if fault is None:
            # Drawn again a moment later, so that forbidden kinds do not thin out the series.
            at_s += MIN_GAP_S
            continue
        faults.append(fault)
        at_s = generator.next_at(at_s)
    final = generator.final(settings.seconds + catch_up_s)
    faults += [final] if final is not None else []
    numbered = [
        attrs.evolve(
            fault,
            number=number,
            at_s=round(fault.at_s, 3),
            duration_s=round(fault.duration_s, 3),
        )
        for number, fault in enumerate(faults, 1)
    ]
    sizes = {name: getattr(settings, name) for name in SIZES}
    return Series(seed, settings.seconds, numbered, sizes)
