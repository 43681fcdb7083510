"""Random faults anywhere in the system, at any time, break none of the guarantees P1 to P8.

The rules only collect a plan of timed steps (see `fuzz_system.py`); `teardown` runs it on
virtual time. A failed example prints its rules; add the same steps to `test_fault_plans.py`.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import hypothesis
import pytest
from fuzz_system import BACKENDS, CONTROLS, DOMAINS, ENTRIES, Plan, play
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from apricotpoint._wire.announce import GuardState

WAITS = st.sampled_from([0.0, 0.003, 0.06, 0.3, 1.0, 2.7])
ENTRY = st.sampled_from(ENTRIES)
CONTROL = st.sampled_from(CONTROLS)
BACKEND = st.sampled_from(BACKENDS)
DOMAIN = st.sampled_from(DOMAINS)
# Which of the latest jobs or commands to use; 0 is the last one.
BACK = st.integers(0, 3)
PROCESS = st.sampled_from(ENTRIES + CONTROLS)
JOB = st.fixed_dictionaries(
    {
        "tasks": st.integers(1, 4),
        "run_s": st.sampled_from([0.05, 0.6, 2.5]),
        "deadline_s": st.sampled_from([6.0, 0.4, 2.0]),
    }
)

# Numbers of answers by result code, and of examples run and failed, over all examples.
CODES: Counter[int] = Counter()
EXAMPLES = Counter[str]()


# With `derandomize`, hypothesis derives the seed from the source text of this class without its
# comments, and the choice of rules depends on their names. A changed text or name plays other
# examples. "Promise" means the guarantees P1 to P8 of `fuzz_oracle.py`.
class PromiseMachine(RuleBasedStateMachine):
    """Collects a plan and plays it."""

    def __init__(self) -> None:
        super().__init__()
        self.plan: Plan = []

    def _add(self, wait_s: float, step: str, **arguments: Any) -> None:
        self.plan.append((wait_s, step, arguments))

    @rule(wait_s=WAITS, entry=ENTRY, job=JOB, issued=st.booleans())
    def submit(self, wait_s: float, entry: str, job: dict[str, Any], issued: bool) -> None:
        """Submit a job with an issued key or a caller key."""
        self._add(wait_s, "submit", entry=entry, issued=issued, **job)

    @rule(wait_s=WAITS, entries=st.tuples(ENTRY, ENTRY, ENTRY), job=JOB, issued=st.booleans())
    def submit_again(
        self, wait_s: float, entries: tuple[str, ...], job: dict[str, Any], issued: bool
    ) -> None:
        """Submit a job, soon again at another entry process, and another job at a third."""
        self._add(wait_s, "submit", entry=entries[0], issued=issued, **job)
        self._add(0.003, "resubmit", entry=entries[1], back=0, other=False)
        self._add(0.0, "submit", entry=entries[2], issued=not issued, **job)

    @rule(wait_s=WAITS, entry=ENTRY, back=BACK, other=st.booleans())
    def resubmit(self, wait_s: float, entry: str, back: int, other: bool) -> None:
        """Submit an earlier key again, with the same or other content."""
        self._add(wait_s, "resubmit", entry=entry, back=back, other=other)

    @rule(wait_s=WAITS, entry=ENTRY, back=BACK)
    def cancel(self, wait_s: float, entry: str, back: int) -> None:
        """Cancel an earlier job."""
        self._add(wait_s, "cancel", entry=entry, back=back)

    @rule(
        wait_s=WAITS,
        backend=BACKEND,
        lag_s=st.sampled_from([0.0, 0.4, 3.0]),
        request_lag_s=st.sampled_from([0.0, 0.0, 0.0, 3.0]),
        twice=st.booleans(),
        in_reverse=st.booleans(),
        fails=st.sampled_from([False, False, False, True]),
    )
    def behave(self, wait_s: float, backend: str, **more: Any) -> None:
        """Answer late, twice, in reverse order or with failures."""
        self._add(wait_s, "behave", backend=backend, **more)

    @rule(
        wait_s=WAITS,
        backend=BACKEND,
        step=st.sampled_from(["go_silent", "leave", "kill_backend"]),
    )
    def disturb_backend(self, wait_s: float, backend: str, step: str) -> None:
        """Lose connections or the backend server, or let it leave."""
        self._add(wait_s, step, backend=backend)

    @rule(wait_s=WAITS, backend=BACKEND, guard=st.sampled_from(GuardState))
    def guard(self, wait_s: float, backend: str, guard: GuardState) -> None:
        """Change the guards of a backend server."""
        self._add(wait_s, "set_guard", backend=backend, guard=guard)

    @rule(
        wait_s=WAITS,
        entry=ENTRY,
        step=st.sampled_from(["kill_entry", "start_entry", "stop_entry"]),
    )
    def restart_entry(self, wait_s: float, entry: str, step: str) -> None:
        """Kill, stop gracefully or start an entry process."""
        self._add(wait_s, step, entry=entry)

    @rule(wait_s=WAITS, control=CONTROL, step=st.sampled_from(["kill_control", "fail_sync"]))
    def end_control(self, wait_s: float, control: str, step: str) -> None:
        """Kill a control process or let its disk fail."""
        self._add(wait_s, step, control=control)

    @rule(wait_s=WAITS, control=CONTROL, lost_disk=st.booleans())
    def start_control(self, wait_s: float, control: str, lost_disk: bool) -> None:
        """Start a control process, perhaps without its disk."""
        self._add(wait_s, "start_control", control=control, lost_disk=lost_disk)

    @rule(wait_s=WAITS, process=PROCESS, step=st.sampled_from(["pause", "wake"]))
    def pause(self, wait_s: float, process: str, step: str) -> None:
        """Pause or wake a process."""
        self._add(wait_s, step, process=process)

    @rule(
        wait_s=WAITS,
        entry=ENTRY,
        issued=st.booleans(),
        lost=st.sets(BACKEND, min_size=1),
        step=st.sampled_from(["go_silent", "kill_backend"]),
    )
    def lose_answers(
        self, wait_s: float, entry: str, issued: bool, lost: set[str], step: str
    ) -> None:
        """Lose backend servers, or their connections, while they run tasks."""
        job = {"tasks": 4, "run_s": 0.6, "deadline_s": 6.0}
        self._add(wait_s, "submit", entry=entry, issued=issued, **job)
        for number, backend in enumerate(sorted(lost)):
            self._add(0.0 if number else 0.06, step, backend=backend)

    @rule(wait_s=WAITS, entry=ENTRY, via=ENTRY, issued=st.booleans())
    def lose_coordinator(self, wait_s: float, entry: str, via: str, issued: bool) -> None:
        """Replace the coordinator of a job and submit the job again, also there."""
        job = {"tasks": 2, "run_s": 0.05, "deadline_s": 2.0}
        self._add(wait_s, "submit", entry=entry, issued=issued, **job)
        self._add(0.06, "kill_entry", entry=entry)
        self._add(0.3, "start_entry", entry=entry)
        for target in (entry, via):
            self._add(1.0, "resubmit", entry=target, back=0, other=False)

    @rule(
        wait_s=WAITS,
        process=PROCESS,
        busy=ENTRY,
        seconds=st.sampled_from([0.3, 1.5, 2.7, 6.0]),
    )
    def pause_for(self, wait_s: float, process: str, busy: str, seconds: float) -> None:
        """Pause a process while jobs are submitted at another, and wake it."""
        job = {"tasks": 4, "run_s": 0.6, "deadline_s": 6.0, "issued": True}
        self._add(wait_s, "submit", entry=process if process in ENTRIES else busy, **job)
        self._add(0.003, "pause", process=process)
        self._add(seconds, "submit", entry=busy, **job)
        self._add(0.0, "wake", process=process)

    @rule(wait_s=WAITS, sender=DOMAIN, receiver=DOMAIN, both=st.booleans())
    def cut(self, wait_s: float, sender: str, receiver: str, both: bool) -> None:
        """Cut two failure domains apart in one or both directions."""
        self._add(wait_s, "cut", sender=sender, receiver=receiver, both=both)

    @rule(wait_s=WAITS)
    def heal(self, wait_s: float) -> None:
        """End all cuts."""
        self._add(wait_s, "heal")

    @rule(
        wait_s=WAITS,
        drop=st.sampled_from([0.0, 0.2]),
        repeat=st.sampled_from([0.0, 0.3]),
        jitter_s=st.sampled_from([0.0, 0.02, 1.0]),
    )
    def disturb(self, wait_s: float, drop: float, repeat: float, jitter_s: float) -> None:
        """Lose, repeat and delay messages."""
        self._add(wait_s, "disturb", drop=drop, repeat=repeat, jitter_s=jitter_s)

    @rule(
        wait_s=WAITS,
        control=CONTROL,
        action=st.sampled_from(["drain_backend", "undrain_backend", "stop_backend"]),
        drained=BACKEND,
        behind=st.integers(0, 1),
    )
    def change_backend(
        self, wait_s: float, control: str, action: str, drained: str, behind: int
    ) -> None:
        """Drain or stop a backend server, perhaps with an outdated base version."""
        arguments = {"action": action, "target": drained, "behind": behind}
        self._add(wait_s, "change", control=control, **arguments)

    @rule(
        wait_s=WAITS,
        controls=st.tuples(CONTROL, CONTROL),
        action=st.sampled_from(["drain_vm", "undrain_vm", "stop_vm"]),
        drained=ENTRY,
    )
    def two_changes(
        self, wait_s: float, controls: tuple[str, ...], action: str, drained: str
    ) -> None:
        """Let two operators send changes with equal base versions."""
        arguments = {"action": action, "target": drained, "behind": 0}
        self._add(wait_s, "change", control=controls[0], **arguments)
        self._add(0.0, "change", control=controls[1], **arguments)

    @rule(wait_s=WAITS, control=CONTROL, back=BACK)
    def resend(self, wait_s: float, control: str, back: int) -> None:
        """Send an earlier command again."""
        self._add(wait_s, "resend", control=control, back=back)

    def teardown(self) -> None:
        """Play the plan; the oracle checks on the way and at the end."""
        EXAMPLES["run"] += 1
        try:
            CODES.update(play(self.plan).codes)
        except BaseException as error:
            if not EXAMPLES["failed"]:
                # Shrinking takes minutes, so the plan is printed before it starts.
                print(f"\n{error!r}\nfails with this plan, before shrinking:", flush=True)
                print("\n".join(f"    {step}," for step in self.plan), flush=True)
            EXAMPLES["failed"] += 1
            raise


def test_random_faults_keep_the_guarantees(request: pytest.FixtureRequest):
    """Guards against a broken guarantee P1 to P8 in random combinations of faults.

    Also fails if too few jobs complete for the run to show anything.
    """
    long = request.config.getoption("--fuzz-profile") == "long"
    common: dict[str, Any] = {
        "deadline": None,
        "database": None,
        "report_multiple_bugs": False,
        "suppress_health_check": list(HealthCheck),
    }
    if long:
        seed = request.config.getoption("--fuzz-seed")
        seed = random.SystemRandom().getrandbits(32) if seed is None else seed
        count = request.config.getoption("--fuzz-examples")
        print(f"\nfuzz seed {seed}, {count} examples (--fuzz-seed, --fuzz-examples)", flush=True)
        hypothesis.seed(seed)(PromiseMachine)
        more = {"max_examples": count, "stateful_step_count": 40}
    else:
        more = {
            "max_examples": 8,
            "stateful_step_count": 30,
            "derandomize": True,
            "phases": [Phase.generate],
        }
    try:
        run_state_machine_as_test(PromiseMachine, settings=settings(**common, **more))
    finally:
        print(f"\n{EXAMPLES['run']} examples, answers by code: {dict(sorted(CODES.items()))}")
    assert CODES[1000] > 20
