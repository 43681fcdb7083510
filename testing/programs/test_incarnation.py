"""Random numbers of the incarnations of processes."""

from __future__ import annotations

from apricotpoint._programs.incarnation import make_random


def test_processes_that_start_in_the_same_microsecond_draw_different_numbers():
    """Guards against equal numbers of attempts, by which one cancellation ends two jobs."""
    first, second = make_random("10.1.0.13", 7), make_random("10.2.0.13", 7)
    assert first.getrandbits(62) != second.getrandbits(62)
    assert make_random("10.1.0.13", 8).getrandbits(62) != make_random("10.1.0.13", 7).getrandbits(
        62
    )
