"""The stand-in for backend servers."""

from __future__ import annotations

from apricotpoint._soak.backends import Backend, Order
from apricotpoint._soak.sightings import Sightings

MAX_LEASE_S = 1.0


class Clock(Sightings):
    """Sightings whose time is set by the test; `now` returns `seconds`."""

    seconds = 100.0

    def now(self) -> float:
        """Return the time that the test has set."""
        return self.seconds


def make_backend(clock: Clock) -> Backend:
    return Backend(
        backend_id="backend-1",
        failure_domain="puebla",
        address="127.0.0.1:1",
        sightings=clock,
        max_lease_s=MAX_LEASE_S,
        cpu=32_000,
        on_crash=lambda: None,
        wall_ms=1,
    )


def order(number: int, *, deadline_ms: int, duration_s: float = 0.4) -> Order:
    return Order("aa.0.0.0", number, deadline_ms, 14_000, duration_s, deadly=False)


def test_runs_end_at_their_time_however_late_they_are_looked_at():
    """Guards against overlaps that are seen only because the soak itself was late."""
    clock = Clock()
    backend = make_backend(clock)
    assert backend.start(order(1, deadline_ms=900)) == ""
    clock.seconds += 5.0
    assert backend.start(order(1, deadline_ms=9000)) == "old"
    assert backend.start(order(2, deadline_ms=9000)) == ""
    first, second = clock.runs
    assert (first.ended_at, first.outcome) == (100.4, "done")
    clock.seconds += 0.1
    backend.stop("aa.0.0.0", 2)
    clock.seconds += 0.1
    backend.advance()
    assert second.outcome == "stopped"


def test_leases_lapse_and_ends_before_a_lapse_are_not_noted():
    """Guards against runs that outlive their lease, and false starts after a noted end."""
    clock = Clock()
    backend = make_backend(clock)
    assert backend.start(order(1, deadline_ms=300)) == ""
    clock.seconds += 2.0
    backend.extend_lease(2600)
    backend.acknowledge(1)
    assert clock.runs[0].outcome == "lapsed"
    assert clock.runs[0].noted_at is None
    assert backend.start(order(2, deadline_ms=2900, duration_s=0.1)) == ""
    clock.seconds += 0.2
    backend.acknowledge(2)
    assert clock.runs[1].noted_at == clock.seconds


def test_capacity_and_fencing_tokens_are_guarded():
    """Guards against a stand-in that accepts what real backend servers refuse."""
    backend = make_backend(Clock())
    assert backend.accept_token(7)
    assert not backend.accept_token(6)
    for index, reason in enumerate(("", "", "room")):
        placed = Order(f"aa.0.0.{index}", 1, 900, 14_000, 0.4, deadly=False)
        assert backend.start(placed) == reason
    assert backend.start(order(1, deadline_ms=0)) == "late"
