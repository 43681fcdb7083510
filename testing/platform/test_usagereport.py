"""The log lines about what a process on the platform uses."""

from __future__ import annotations

import anyio
import logbook
import trio.testing

from apricotpoint._core.counters import Counters
from apricotpoint._core.timers import TimerService
from apricotpoint._link.traffic import Traffic
from apricotpoint.platform.usagereport import USAGE_REPORT_PERIOD_S, report_usage


def test_a_process_logs_its_messages_by_type_and_its_counters():
    """Guards against days on the platform whose processor time cannot be explained."""

    async def main() -> None:
        async with TimerService() as timers:
            counters, traffic = Counters(), Traffic()
            report_usage(timers, counters, traffic)
            counters.add("jobs.forwarded", 2)
            for size in (100, 50):
                traffic.sent_by_type["EntryHello"].record(size)
            await anyio.sleep(2.5 * USAGE_REPORT_PERIOD_S)

    with logbook.TestHandler() as handler:
        anyio.run(
            main,
            backend="trio",
            backend_options={"clock": trio.testing.MockClock(autojump_threshold=0)},
        )
    messages = [record.message for record in handler.records if record.channel == "usage"]
    assert len(messages) == 2
    for part in ("'sent EntryHello': '2/150'", "'jobs.forwarded': 2", "process.cpu_s"):
        assert part in messages[-1]
