"""Random series of losses of control processes that the platform allows, on virtual time.

To play more seeds than the tests do: `python testing/control/membership_soak.py FIRST LAST`.
"""

from __future__ import annotations

import random
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import attrs
from control_network import IDS, Cluster, run

from apricotpoint._control.membership import FaultTolerance
from apricotpoint._control.state import REPLACE_DOCUMENT
from apricotpoint._core.codes import ResultCode

# A process counts as lost for this long after it is back or, if it is new, after its start.
CATCH_UP_S = 6.0
# After losses beyond the tolerance, service may be suspended for this long.
RECOVERY_S = 15.0
# A member is known to be gone for good only after some silence.
REMOVAL_S = 2.5
MAX_UNCOUNTED = 4
MAX_ACTIONS_PER_ROUND = 7


@attrs.frozen
class Layout:
    """The processes that count, two or one in each failure domain, and what they tolerate."""

    counted_ids: tuple[str, ...]
    tolerance: FaultTolerance

    @property
    def domains(self) -> list[str]:
        """The failure domains."""
        return sorted({domain_of(key) for key in self.counted_ids})

    @property
    def max_counted(self) -> int:
        """Up to how many run at the same time while some are replaced."""
        return len(self.counted_ids) + 2


TWO_DISKS, ONE_DISK = FaultTolerance(2, 1), FaultTolerance(1, 1)
THREE_PAIRS = (*IDS, "c1-b", "c2-b", "c3-b")
# Of the platform: three or four failure domains, with one process or two in each.
LAYOUTS = [
    Layout(THREE_PAIRS, TWO_DISKS),
    Layout((*THREE_PAIRS, "c4", "c4-b"), TWO_DISKS),
    Layout(THREE_PAIRS, TWO_DISKS),
    Layout(tuple(IDS), ONE_DISK),
    Layout(THREE_PAIRS, ONE_DISK),
]


@attrs.define
class Losses:
    """Which processes count as lost, so that no series loses more disks than is allowed.

    A lost disk, or a process that is gone for good, counts until its successor had
    `CATCH_UP_S`. If the losses together exceeded the tolerance in that time, it counts until
    `RECOVERY_S` after all others were back.
    """

    tolerance: FaultTolerance
    dark_ids: set[str] = attrs.Factory(set)
    disk_free_at_by_id: dict[str, float] = attrs.Factory(dict)
    suspended: bool = False
    suspended_until: float = 0.0

    def update(self, now: float) -> None:
        """Note whether the losses exceed the tolerance; call it after each change of them."""
        lost = self.dark_ids | self._lost_disk_ids(now)
        if len(lost) > self.tolerance.members and len({domain_of(key) for key in lost}) > 1:
            self.suspended = True
        if self.suspended:
            self.suspended_until = now + RECOVERY_S
            self.suspended = bool(self.dark_ids)

    def free_disks(self, now: float) -> int:
        """Return how many more disks may be lost."""
        return self.tolerance.members - len(self._lost_disk_ids(now))

    def _lost_disk_ids(self, now: float) -> set[str]:
        is_suspended = self.suspended or now < self.suspended_until
        return {key for key, at in self.disk_free_at_by_id.items() if now < at or is_suspended}

    def end_suspension(self, now: float) -> None:
        """Forget the lost disks that count no more."""
        lost = self._lost_disk_ids(now)
        self.disk_free_at_by_id = {
            key: at for key, at in self.disk_free_at_by_id.items() if key in lost
        }


def domain_of(node_id: str) -> str:
    """Return the failure domain of a control process."""
    return node_id.partition("-")[0]


class Soak:
    """One cluster, an operator that changes and reads, and random losses.

    `broken` has what the operator must never see; `events` is what was done, with its time.
    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self._cluster = cluster
        self._random = random.Random(seed)
        self._layout = LAYOUTS[seed % len(LAYOUTS)]
        self._losses = Losses(self._layout.tolerance)
        self._counted_ids = set(self._layout.counted_ids)
        self._uncounted_ids: set[str] = set()
        self._started_at_by_id: dict[str, float] = {}
        self._new_count = 0
        self._version = 0
        self._acknowledged = 0
        self.events: list[str] = []
        self.broken: list[str] = []
        self.slowest_recovery_s = 0.0

    async def play(self, rounds: int) -> None:
        """Play rounds of losses; after each, the operator must be able to read and change."""
        cluster = self._cluster
        cluster.tolerance = self._layout.tolerance
        await cluster.start_new_deployment()
        for node_id in self._layout.counted_ids[3:]:
            await self._start_new(node_id)
        await anyio.sleep(CATCH_UP_S)
        async with anyio.create_task_group() as group:
            group.start_soon(self._operate)
            for _ in range(rounds):
                await self._play_round()
                if self.broken:
                    break
                # What was lost in this round counts no more in the next one.
                await anyio.sleep(RECOVERY_S + self._random.uniform(0.0, 2.0))
                self._losses = Losses(self._layout.tolerance)
            group.cancel_scope.cancel()

    def _actions(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the losses from which a round draws."""
        return [
            self._lose_power,
            self._kill_for_a_time,
            self._kill_for_a_time,
            self._lose_disk,
            self._lose_disk,
            self._freeze,
            self._freeze,
            self._cut_domain,
            self._replace,
            self._replace,
            self._add_uncounted,
            self._remove_uncounted,
        ]

    async def _play_round(self) -> None:
        actions = self._actions()
        async with anyio.create_task_group() as group:
            for _ in range(self._random.randint(2, MAX_ACTIONS_PER_ROUND)):
                group.start_soon(self._random.choice(actions))
                await anyio.sleep(self._random.choice([0.3, 1.0, 2.0, 4.0, 7.0]))
        # After this pause all disks that are allowed may be lost at once.
        await anyio.sleep(self._random.choice([0.0, CATCH_UP_S + 0.5, RECOVERY_S + 2.5]))
        await self._final_fault()
        await self._check_recovery()

    # Losses

    def _note(self, text: str) -> None:
        self.events.append(f"{anyio.current_time():8.2f} {text}")
        self._losses.update(anyio.current_time())

    def _pick(self, node_ids: set[str]) -> str | None:
        """Return a running process that no other loss has affected."""
        free = sorted(key for key in node_ids - self._losses.dark_ids if self._is_running(key))
        return self._random.choice(free) if free else None

    def _is_running(self, node_id: str) -> bool:
        return self._cluster.is_running(node_id)

    async def _kill(self, *node_ids: str) -> list[str]:
        killed = [key for key in node_ids if self._is_running(key)]
        await self._cluster.kill(*killed)
        return killed

    async def _start_new(self, node_id: str, *, counted: bool = True) -> None:
        listed = sorted(key for key in self._counted_ids if self._is_running(key))
        # Without any address it could never find the others; the list may name dead ones.
        listed = listed or sorted(self._counted_ids)
        self._cluster.seeds_by_id[node_id] = self._random.sample(listed, min(3, len(listed)))
        if not counted:
            self._cluster.ids_without_vote.add(node_id)
        await self._cluster.initialise(node_id, first=False)
        await self._start(node_id)
        self._note(f"new {node_id}, seeds {self._cluster.seeds_by_id[node_id]}")

    async def _start(self, *node_ids: str) -> None:
        for node_id in node_ids:
            self._started_at_by_id[node_id] = anyio.current_time()
        await self._cluster.start(*node_ids)

    async def _lose_power(self) -> None:
        """Cut the power of all processes for a short time; their disks are kept."""
        names = {
            key
            for key in self._counted_ids | self._uncounted_ids
            if self._is_running(key) and key not in self._losses.dark_ids
        }
        self._losses.dark_ids |= names
        self._note("all lose power")
        killed = await self._kill(*sorted(names))
        await anyio.sleep(self._random.uniform(0.2, 1.5))
        await self._start(*killed)
        self._losses.dark_ids -= names
        self._note("all are back")

    async def _kill_for_a_time(self) -> None:
        node_id = self._pick(self._counted_ids)
        if node_id is None:
            return
        self._losses.dark_ids.add(node_id)
        self._note(f"killed {node_id}")
        await self._kill(node_id)
        await anyio.sleep(self._random.choice([0.3, 1.0, 2.0, 5.0, 9.0]))
        await self._start(node_id)
        self._losses.dark_ids.discard(node_id)
        self._note(f"back {node_id}")

    def _take_disk(self, node_id: str) -> bool:
        """Return whether the loss of this disk is allowed now, and count it."""
        now = anyio.current_time()
        self._losses.end_suspension(now)
        if self._losses.free_disks(now) <= 0 or node_id in self._losses.disk_free_at_by_id:
            return False
        self._losses.disk_free_at_by_id[node_id] = float("inf")
        return True

    async def _lose_disk(self) -> None:
        """Kill a process; it is back at its address with an empty disk."""
        node_id = self._pick(self._counted_ids)
        if node_id is None or not self._take_disk(node_id):
            return
        self._losses.dark_ids.add(node_id)
        self._note(f"disk of {node_id} lost")
        await self._kill(node_id)
        await self._cluster.replace_disk(node_id)
        await anyio.sleep(self._random.choice([0.3, 1.0, 2.0, 4.0]))
        await self._start(node_id)
        self._losses.dark_ids.discard(node_id)
        self._losses.disk_free_at_by_id[node_id] = anyio.current_time() + CATCH_UP_S
        self._note(f"back {node_id} with an empty disk")

    async def _freeze(self) -> None:
        node_id = self._pick(self._counted_ids | self._uncounted_ids)
        if node_id is None:
            return
        self._losses.dark_ids.add(node_id)
        self._note(f"frozen {node_id}")
        links = self._links({node_id})
        self._cluster.network.blocked_links |= links
        await anyio.sleep(self._random.choice([0.7, 1.3, 2.0, 4.0, 8.0]))
        self._cluster.network.blocked_links -= links
        self._losses.dark_ids.discard(node_id)
        self._note(f"thawed {node_id}")

    async def _cut_domain(self) -> None:
        """Cut a failure domain off from the others that count."""
        domain = self._random.choice(self._layout.domains)
        inside = {key for key in self._counted_ids if domain_of(key) == domain}
        if inside & self._losses.dark_ids:
            return
        self._losses.dark_ids |= inside
        self._note(f"cut off {domain}")
        links = self._links(inside, self._counted_ids - inside)
        self._cluster.network.blocked_links |= links
        await anyio.sleep(self._random.choice([1.5, 4.0, 10.0]))
        self._cluster.network.blocked_links -= links
        self._losses.dark_ids -= inside
        self._note(f"joined {domain}")

    def _links(self, inside: set[str], outside: set[str] | None = None) -> set[tuple[str, str]]:
        others = outside or (self._counted_ids | self._uncounted_ids | {"client"}) - inside
        pairs = {(one, other) for one in inside for other in others}
        links = pairs | {(other, one) for one, other in pairs}
        return links - self._cluster.network.blocked_links

    async def _replace(self) -> None:
        """Remove a process for good; its successor starts before or after that."""
        node_id = self._pick(self._counted_ids)
        if node_id is None or not self._take_disk(node_id):
            return
        self._losses.dark_ids.add(node_id)
        self._new_count += 1
        new_id = f"{domain_of(node_id)}-{self._new_count}"
        is_planned = (
            len(self._counted_ids) < self._layout.max_counted and self._random.random() < 0.5
        )
        self._note(f"{node_id} is to be replaced by {new_id}, planned: {is_planned}")
        if is_planned:
            await self._start_new(new_id)
            self._counted_ids.add(new_id)
            started_at = anyio.current_time()
            await anyio.sleep(self._random.choice([0.5, 2.0, 6.0]))
        await self._kill(node_id)
        self._counted_ids.discard(node_id)
        removed_at = anyio.current_time()
        self._note(f"gone {node_id}")
        if not is_planned:
            await anyio.sleep(self._random.choice([0.3, 1.0, 3.0]))
            await self._start_new(new_id)
            self._counted_ids.add(new_id)
            started_at = anyio.current_time()
        self._losses.dark_ids.discard(node_id)
        self._losses.disk_free_at_by_id[node_id] = max(
            started_at + CATCH_UP_S, removed_at + REMOVAL_S
        )
        self._note(f"{node_id} was replaced")

    async def _add_uncounted(self) -> None:
        for _ in range(self._random.choice([1, 4])):
            if len(self._uncounted_ids) >= MAX_UNCOUNTED:
                return
            self._new_count += 1
            new_id = f"{self._random.choice(self._layout.domains)}-u{self._new_count}"
            self._uncounted_ids.add(new_id)
            await self._start_new(new_id, counted=False)

    async def _remove_uncounted(self) -> None:
        for node_id in sorted(self._uncounted_ids - self._losses.dark_ids):
            if self._is_running(node_id):
                self._uncounted_ids.discard(node_id)
                self._note(f"gone for good {node_id}, not counted")
                await self._kill(node_id)

    async def _final_fault(self) -> None:
        """After an acknowledgement as many disks as allowed are lost, mostly with all power.

        Others may be dark since before it, and keep their disks.
        """
        dark = self._random.sample(sorted(self._counted_ids), self._random.choice([0, 1, 2, 2]))
        self._losses.dark_ids |= set(dark)
        self._note(f"dark before the final fault: {dark}")
        await self._kill(*dark)
        await anyio.sleep(self._random.choice([0.5, 4.5, 4.5]))
        await self._change_until_acknowledged(within_s=1.0)
        if self._random.random() < 0.5:
            await self._remove_uncounted()
        others = sorted(self._counted_ids - set(dark))
        self._random.shuffle(others)
        lost = [key for key in others if self._take_disk(key)]
        self._note(f"final fault, disks lost: {lost}")
        names = sorted(self._counted_ids | self._uncounted_ids)
        await self._kill(*(names if self._random.random() < 0.6 else lost))
        for node_id in lost:
            await self._cluster.replace_disk(node_id)
        await anyio.sleep(self._random.uniform(0.2, 1.5))
        ended = [key for key in names if not self._is_running(key)]
        # The platform writes the seeds anew at each start, from a list that may lag.
        for node_id in ended:
            if self._random.random() < 0.5:
                listed = sorted(self._counted_ids)
                self._cluster.seeds_by_id[node_id] = self._random.sample(
                    listed, min(3, len(listed))
                )
        await self._start(*ended)
        self._losses.dark_ids -= set(dark)
        self._note("all are back after the final fault")

    # Operator

    async def _operate(self) -> None:
        while True:
            await self._change_until_acknowledged(within_s=60.0)
            await anyio.sleep(self._random.uniform(0.5, 2.0))
            node_id = self._pick(self._counted_ids | self._uncounted_ids)
            if node_id is not None:
                await self._read(node_id)

    async def _change_until_acknowledged(self, *, within_s: float) -> bool:
        self._version += self._random.randint(1, 3)
        version = self._version
        with anyio.move_on_after(within_s):
            while True:
                node_id = self._pick(self._counted_ids | self._uncounted_ids)
                if node_id is not None and await self._change(node_id, version):
                    return True
                await anyio.sleep(0.1)
        return False

    async def _change(self, node_id: str, version: int) -> bool:
        """Send a change as the platform does, which waits for a second."""
        with anyio.move_on_after(1.0):
            reply = await self._cluster.change(
                node_id,
                f"document-{version}",
                0,
                action=REPLACE_DOCUMENT,
                target="document",
                version=version,
                text=str(version),
            )
            if reply.code == ResultCode.ACCEPTED:
                self._acknowledged = max(self._acknowledged, version)
                return True
        return False

    async def _read(self, node_id: str) -> bool:
        """Read the configuration; note it if it is older than what was acknowledged before."""
        due = self._acknowledged
        document = None
        if not self._cluster.is_serving(node_id):
            return False
        with anyio.move_on_after(1.0):
            document = await self._cluster.node(node_id).document()
        if document is None:
            return False
        if document.version < due:
            self.broken.append(f"{node_id} reads {document.version}, acknowledged {due}")
        return True

    async def _check_recovery(self) -> None:
        """Check that each process answers a read and takes a change in time."""
        began_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            for node_id in sorted(self._counted_ids | self._uncounted_ids):
                group.start_soon(self._check_process, node_id, began_at)
        self._note("recovered" if not self.broken else "not recovered")

    async def _check_process(self, node_id: str, began_at: float) -> None:
        for name, is_done in (("read", self._read), ("change", self._change_once)):
            while not await self._try(node_id, is_done):
                if anyio.current_time() - began_at > RECOVERY_S:
                    code = self._cluster.exit_code_by_id.get(node_id)
                    self.broken.append(f"{node_id} answers no {name}; ended with {code}")
                    return
                await anyio.sleep(0.2)
        recovery_s = anyio.current_time() - began_at
        self.slowest_recovery_s = max(self.slowest_recovery_s, recovery_s)

    async def _try(self, node_id: str, action: Callable[[str], Awaitable[bool]]) -> bool:
        return self._is_running(node_id) and await action(node_id)

    async def _change_once(self, node_id: str) -> bool:
        self._version += 1
        return await self._change(node_id, self._version)


def play(seed: int, folder: Path, *, rounds: int, kind: type[Soak] = Soak) -> Soak:
    """Play the series of one seed and return it."""
    soaks = []

    async def main() -> None:
        async with anyio.create_task_group() as group:
            cluster = Cluster(group, folder, seed)
            soaks.append(kind(cluster, seed))
            await soaks[0].play(rounds)
            group.cancel_scope.cancel()

    run(main)
    return soaks[0]


def main(first: int, last: int, rounds: int = 3, *, kind: type[Soak] = Soak) -> int:
    """Play the seeds from `first` to `last`; return how many were broken."""
    broken = 0
    for seed in range(first, last + 1):
        began_at = time.process_time()
        with tempfile.TemporaryDirectory() as folder:
            soak = play(seed, Path(folder), rounds=rounds, kind=kind)
        used_s = time.process_time() - began_at
        recovery_s = soak.slowest_recovery_s
        sys.stdout.write(f"seed {seed}: recovery {recovery_s:.1f} s, {used_s:.1f} s used\n")
        if soak.broken:
            broken += 1
            sys.stdout.write("\n".join([*soak.events, *soak.broken, ""]))
        sys.stdout.flush()
    sys.stdout.write(f"{broken} broken\n")
    return broken


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:])) > 0)
