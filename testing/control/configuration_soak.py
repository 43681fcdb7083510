"""Random faults of control and entry processes while the configuration changes, on virtual time.

To play more seeds than the tests do: `python testing/control/configuration_soak.py FIRST LAST`.
"""

from __future__ import annotations

import random
import sys
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import attrs
from control_network import IDS, Cluster, Endpoint, with_cluster

from apricotpoint._control.feed import ConfigurationFeed
from apricotpoint._control.state import REPLACE_DOCUMENT
from apricotpoint._core.codes import ResultCode
from apricotpoint._core.counters import Counters

# Bounds of the users' smallest deployments. A change is in force after `APPLY_S`, with a fault of a
# control process in the last `CONTACT_S` seconds `EXTENSION_S` later. An entry process that was cut
# off in the last `CONTACT_S` seconds is not judged.
APPLY_S, EXTENSION_S, CONTACT_S = 2.0, 5.0, 3.0
LENGTH_S = 40.0
FEEDS = 6


@attrs.define(eq=False)
class Soak:
    """One series of faults; `broken` has what a feed lacked, `events` what was done when."""

    seed: int
    cluster: Cluster
    feeds: list[ConfigurationFeed]
    generator: random.Random
    events: list[str] = attrs.Factory(list)
    broken: list[str] = attrs.Factory(list)
    acked: list[tuple[float, int]] = attrs.Factory(list)
    control_fault_until: float = float("-inf")
    cut_until_by_feed: dict[int, float] = attrs.Factory(dict)

    async def play(self) -> None:
        """Change the configuration and inject faults for `LENGTH_S` seconds, and judge."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._inject, self._control_fault, 2.0)
            group.start_soon(self._inject, self._cut_entry, 1.0)
            group.start_soon(self._judge)
            await self._change()
            await anyio.sleep(APPLY_S + EXTENSION_S)
            group.cancel_scope.cancel()

    def log(self, event: str) -> None:
        """Record what happens."""
        self.events.append(f"{anyio.current_time():7.2f} {event}")

    async def _change(self) -> None:
        end_at = anyio.current_time() + LENGTH_S
        version = 0
        while anyio.current_time() < end_at:
            version += 1
            for _ in range(20):
                reply = await self.cluster.change(
                    self.generator.choice(IDS),
                    f"document-{version}",
                    0,
                    action=REPLACE_DOCUMENT,
                    target="document",
                    version=version,
                    text=f"text {version}",
                )
                if reply.code == ResultCode.ACCEPTED:
                    self.acked.append((anyio.current_time(), version))
                    break
            # Bursts outrun a replica whose disk stalls.
            await anyio.sleep(self.generator.choice([0.01, 0.01, 0.3, 0.7]))

    async def _inject(self, fault: Callable[[], Awaitable[None]], longest_pause_s: float) -> None:
        while True:
            await anyio.sleep(self.generator.uniform(0.0, longest_pause_s))
            await fault()

    async def _control_fault(self) -> None:
        """Disturb one control process for some seconds; the majority is never disturbed."""
        control_id, for_s = self.generator.choice(IDS), self.generator.uniform(0.3, 9.0)
        others = [key for key in IDS if key != control_id]
        kind = self.generator.choice(["stall", "slow", "split", "isolate", "in", "out", "kill"])
        self.log(f"{kind} {control_id} for {for_s:.2f} s")
        self.control_fault_until = anyio.current_time() + for_s
        disk, blocked = self.cluster.disk_by_id[control_id], self.cluster.network.blocked_links
        links: set[tuple[str, str]] = set()
        if kind in ("split", "in", "isolate"):
            links |= {(other, control_id) for other in others}
        if kind in ("split", "out", "isolate"):
            links |= {(control_id, other) for other in others}
        if kind == "isolate":
            links |= {(control_id, feed) for feed in self._feed_ids()}
            links |= {(feed, control_id) for feed in self._feed_ids()}
        if kind == "kill":
            await self.cluster.kill(control_id)
        blocked |= links
        disk.sync_s = {"stall": for_s, "slow": 0.4}.get(kind, disk.sync_s)
        await anyio.sleep(for_s)
        disk.sync_s = 0.009
        blocked -= links
        if kind == "kill":
            await self.cluster.start(control_id)
        self.control_fault_until = anyio.current_time()

    async def _cut_entry(self) -> None:
        number, for_s = self.generator.randrange(FEEDS), self.generator.uniform(0.1, 3.0)
        self.log(f"cut off e{number} for {for_s:.2f} s")
        self.cut_until_by_feed[number] = anyio.current_time() + for_s
        blocked, name = self.cluster.network.blocked_links, f"e{number}"
        links = {(name, key) for key in IDS} | {(key, name) for key in IDS}
        blocked |= links
        await anyio.sleep(for_s)
        blocked -= links

    def _feed_ids(self) -> list[str]:
        return [f"e{number}" for number in range(FEEDS)]

    async def _judge(self) -> None:
        while True:
            await anyio.sleep(0.1)
            now = anyio.current_time()
            is_calm = now - self.control_fault_until > CONTACT_S
            bound_s = APPLY_S if is_calm else APPLY_S + EXTENSION_S
            due = max((version for at, version in self.acked if at <= now - bound_s), default=0)
            for number, feed in enumerate(self.feeds):
                is_judged = now - self.cut_until_by_feed.get(number, float("-inf")) > CONTACT_S
                held = feed.configuration().document.version
                if is_judged and held < due:
                    self.broken.append(
                        f"{now:7.2f} e{number} has version {held} {bound_s} s after {due} was "
                        f"acknowledged; it polls {feed.polled_id}"
                    )


def play(seed: int, folder: Path) -> Soak:
    """Play one seed and return what happened."""
    soaks: list[Soak] = []

    async def test(cluster: Cluster) -> None:
        async with AsyncExitStack() as stack:
            feeds = [
                await stack.enter_async_context(
                    ConfigurationFeed(
                        transport=Endpoint(cluster.network, f"e{number}"),
                        control_ids=IDS,
                        timers=cluster.timers,
                        counters=Counters(),
                        random=random.Random(f"{seed} {number}"),
                    )
                )
                for number in range(FEEDS)
            ]
            soak = Soak(seed, cluster, feeds, random.Random(seed))
            soaks.append(soak)
            await soak.play()

    with_cluster(test, folder, seed=seed)
    return soaks[0]


def main() -> int:
    """Play the seeds of the command line; return 1 if a feed lacked a version."""
    first, last = map(int, sys.argv[1:3])
    failed = 0
    for seed in range(first, last + 1):
        with tempfile.TemporaryDirectory() as folder:
            soak = play(seed, Path(folder))
        failed += bool(soak.broken)
        print(f"seed {seed}: {len(soak.acked)} changes acknowledged, {len(soak.broken)} times late")
        for line in [*soak.events, *soak.broken[:3]] if soak.broken else ():
            print("   ", line)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
