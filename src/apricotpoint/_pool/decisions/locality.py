"""Choice between a start elsewhere now and a wait for the preferred location (delay scheduling).

Load pattern: tasks take a multiple of their time away from the location of their
data or of their group, while the backend servers of that location are in use and
others are free. Where that makes a job late, a short wait pays; a long one makes it
late as well. A fixed wait is wrong for one or the other, so the wait is weighed
anew, each time tasks are dispatched, against the predicted ends of the runs there.

`waiting_pays` is the decision; `_pool.decisions.locations` finds what it is asked about.
"""

from __future__ import annotations

import math
import statistics

import attrs

# Standard deviation of the logarithm of a run time: of the estimate for a kind of jobs, which is
# wrong by a factor of 1.35, and of the tasks of one job, which differ by 15%.
ESTIMATE_SPREAD, REFINED_SPREAD = 0.3, 0.15
# Worth to its caller of an answer after the objective and before the deadline, relative to one in
# time.
LATE_VALUE = 0.2
# A wait has to gain at least this share of the value of the job: it may make the caller wait
# longer, and predicted ends are uncertain.
MIN_GAIN = 0.02
# Quantiles of the end of the run that is waited for, in standard deviations. Runs that take much
# longer than expected are more frequent than much shorter ones.
END_QUANTILES = (-1.0, 0.0, 1.0, 2.0)
# Probability below which a job counts as late.
LATE_PROBABILITY = 0.05
_NORMAL = statistics.NormalDist()


@attrs.frozen
class Objective:
    """What the caller of a job needs; times are seconds.

    `age_s` has passed since the job was sent. `base_s` plus `stretch` times the work of the longest
    task is the objective, and `deadline_s` the deadline. `work_s` is the estimate of that work at
    speed 1, `spread` the standard deviation of its logarithm.
    """

    age_s: float
    base_s: float
    stretch: float
    deadline_s: float
    work_s: float
    spread: float

    def in_time_probability(self, wait_s: float, speed: float) -> float:
        """Return the probability that a start after `wait_s` at this speed meets the objective.

        The objective grows with the work as the run time does, so an error of the estimate matters
        only as far as the two differ.
        """
        margin_s = self.base_s - self.age_s - wait_s
        growth = self.stretch - 1 / speed
        if margin_s >= 0 and growth >= 0:
            return 1.0
        if margin_s <= 0 and growth <= 0:
            return 0.0
        least_work_s = abs(margin_s / growth)
        if math.isinf(least_work_s):
            return 0.0
        sigmas = math.log(self.work_s / least_work_s) / self.spread
        return _NORMAL.cdf(sigmas if growth > 0 else -sigmas)

    def deadline_probability(self, wait_s: float, speed: float) -> float:
        """Return the probability that a start after `wait_s` at this speed meets the deadline."""
        left_s = self.deadline_s - self.age_s - wait_s
        if left_s <= 0:
            return 0.0
        return _NORMAL.cdf(math.log(left_s * speed / self.work_s) / self.spread)

    def value(self, wait_s: float, speed: float) -> float:
        """Return the expected worth of the answer, relative to one in time."""
        served = self.deadline_probability(wait_s, speed)
        in_time = min(self.in_time_probability(wait_s, speed), served)
        return in_time + LATE_VALUE * (served - in_time)


@attrs.frozen
class Choice:
    """The two places in which a task can run, for `waiting_pays`.

    `near_wait_s` is the expected time until the task can start in the preferred location, with
    those that wait there before it; the logarithm of the time has the standard deviation
    `near_wait_spread`. `near_speed` is the speed there, `remote_speed` the one elsewhere, with the
    penalty, where the run takes `remote_factor` times as long. `price` is the probability that
    another task has to wait for what this one occupies. `waited_s` is the wait so far.
    """

    objective: Objective
    near_wait_s: float
    near_wait_spread: float
    near_speed: float
    remote_speed: float
    remote_factor: float
    price: float
    waited_s: float


def waiting_pays(choice: Choice) -> bool:
    """Return whether a task should wait for its preferred location instead of starting elsewhere.

    It is weighed again at each dispatch, so a wait ends as soon as it no longer pays. A job that
    is late in both places does not wait.
    """
    objective = choice.objective
    waits_s = [
        choice.near_wait_s * math.exp(sigmas * choice.near_wait_spread) for sigmas in END_QUANTILES
    ]
    best_in_time = objective.in_time_probability(waits_s[0], choice.near_speed)
    remote_in_time = objective.in_time_probability(0.0, choice.remote_speed)
    if max(best_in_time, remote_in_time) < LATE_PROBABILITY:
        return False
    # What the remote run occupies beyond a near one is taken from others if they need it.
    cost = choice.price * (choice.remote_factor - 1)
    least_value = objective.value(0.0, choice.remote_speed) - cost + MIN_GAIN
    if least_value >= 1.0:
        return False
    near = statistics.fmean(objective.value(wait_s, choice.near_speed) for wait_s in waits_s)
    return near > least_value


def price(free: int, capacity: int) -> float:
    """Return about the probability that a task has to wait, with `free` of `capacity` slots free.

    By the square-root rule of staffing, waits are rare while more slots than the square root of
    their number are free.
    """
    if capacity <= 0:
        return 1.0
    return max(0.0, 1.0 - max(free, 0) / math.sqrt(capacity))
