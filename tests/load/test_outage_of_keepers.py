"""No quorum of keepers answers for some seconds, and refused turns are retried.

A turn has three tries of two attempts each; between tries its program pauses for 0.1 to 0.4 s.
A turn that uses up all attempts is lost; one that is retried later than necessary is only delayed.
"""

from __future__ import annotations

import random

from egretford.policy.retry_after import RetryAfterAdvice

TRIES, ATTEMPTS, PAUSE_SECONDS = 3, 2, (0.1, 0.4)
CALLERS = 300


def simulate(outage: float, advise, seed: int = 7) -> tuple[float, float, int]:
    """Return the share of lost turns, the mean delay of the others and the largest wave.

    Turns arrive throughout the outage. The delay runs from the end of the outage to the retry that
    succeeds, in seconds; a wave is the number of such retries within 50 ms.
    """
    rng = random.Random(seed)
    arrivals = sorted((rng.uniform(0, outage), turn, 1) for turn in range(CALLERS))
    lost, delays = 0, []
    while arrivals:
        at, turn, attempt = arrivals.pop(0)
        if at >= outage:
            delays.append(at - outage)
            continue
        if attempt == TRIES * ATTEMPTS:
            lost += 1
            continue
        retry_at = at + advise(at, rng)
        if attempt % ATTEMPTS == 0:
            retry_at = at + rng.uniform(*PAUSE_SECONDS)
        arrivals.append((retry_at, turn, attempt + 1))
        arrivals.sort()
    waves: dict[int, int] = {}
    for delay in delays:
        waves[int(delay / 0.05)] = waves.get(int(delay / 0.05), 0) + 1
    return lost / CALLERS, sum(delays) / max(1, len(delays)), max(waves.values(), default=0)


def advise_increasing(seed: int = 3):
    advice = RetryAfterAdvice(random.Random(seed))
    return lambda at, rng: advice.compute_retry_after("keepers", at)


def advise_short(at, rng):
    return rng.uniform(0.1, 0.3)


def test_fewer_turns_are_lost_in_an_outage_of_some_seconds():
    for outage in (2.0, 3.0, 4.0):
        increasing, short = simulate(outage, advise_increasing()), simulate(outage, advise_short)
        assert increasing[0] < 0.75 * short[0], (outage, increasing, short)


def test_a_short_outage_delays_turns_no_longer_than_short_advice_does():
    increasing, short = simulate(0.3, advise_increasing()), simulate(0.3, advise_short)
    assert increasing[0] == short[0] == 0.0
    assert increasing[1] <= short[1] + 0.05


def test_retries_are_spread_after_an_outage():
    for outage in (0.5, 1.0, 2.0, 4.0):
        *_, largest_wave = simulate(outage, advise_increasing())
        assert largest_wave < CALLERS / 4


def test_advice_resets_after_a_successful_request():
    advice = RetryAfterAdvice(random.Random(1))
    advice.compute_retry_after("keepers", 0.0)
    assert advice.compute_retry_after("keepers", 5.0) >= 0.5
    advice.clear("keepers")
    assert advice.compute_retry_after("keepers", 6.0) <= 0.2
    assert advice.compute_retry_after("other", 6.0) <= 0.2
