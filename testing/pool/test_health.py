"""Backend servers that fail some of their runs."""

from __future__ import annotations

import random

from pool_load import (
    VAN_BACKENDS,
    VAN_MIX,
    VAN_SWING,
    JobCounts,
    credit_share,
    make_van_backends,
    replay,
)

from apricotpoint._pool.runs.health import CLEARING_SUCCESSES, INITIAL_BACKOFF_S, Health

BACKENDS, UNSOUND_SHARE, FAILURE_SHARE = 22, 0.18, 0.45


def _replay(seed: int, *, failure_share: float) -> dict[str, JobCounts]:
    source, backends = random.Random(seed), make_van_backends(BACKENDS)
    unsound = backends[: round(UNSOUND_SHARE * BACKENDS)]

    def fail_some(_: float, __: object) -> None:
        for backend in unsound:
            backend.fails = source.random() < failure_share

    # Load at which the sound backend servers have room for all jobs.
    load = 0.6 * BACKENDS / VAN_BACKENDS
    return replay(
        load=load,
        seconds=12.0,
        seed=seed,
        backends=backends,
        inject_faults=fail_some,
        mix=VAN_MIX,
        swing=VAN_SWING,
    )


def test_callers_hardly_notice_backend_servers_that_fail_half_of_their_runs():
    """Guards against starts on unsound backend servers while sound ones have room."""
    seeds = (1, 2, 3)
    sound = sum(credit_share(_replay(seed, failure_share=0.0)) for seed in seeds)
    unsound = sum(credit_share(_replay(seed, failure_share=FAILURE_SHARE)) for seed in seeds)
    # Late answers and failures cost callers at most one job in a hundred.
    assert (sound - unsound) / len(seeds) <= 0.01


def test_a_success_between_failures_does_not_reset_the_backoff():
    """Guards against a backend server that counts as sound after every second run."""
    health = Health()
    health.record_failure(0.0)
    first_s = health.backoff_until
    assert first_s == INITIAL_BACKOFF_S
    health.record_success()
    assert not health.is_sound
    assert health.allows_start(0.0, 0)
    assert not health.allows_start(0.0, 1)
    health.record_failure(10.0)
    assert health.backoff_until - 10.0 > first_s
    for _ in range(CLEARING_SUCCESSES):
        assert not health.is_sound
        health.record_success()
    assert health.is_sound
