"""Pattern: no quorum of keepers answers for a while, and refused turns come back.

A turn has three tries of two attempts each; between tries its program pauses for 0.1 to 0.4 s.
A program that uses them up is lost, one that comes back later than it had to is only slower.
"""

from __future__ import annotations

import random

from egretford.policy.comeback import ComebackAdvice

TRIES, ATTEMPTS, PAUSE_SECONDS = 3, 2, (0.1, 0.4)
CALLERS = 300


def play(outage: float, advise, seed: int = 7) -> tuple[float, float, int]:
    """Return the share of turns lost, the mean delay after the outage, and the largest wave.

    Turns arrive all through the outage; a wave is what comes back within 50 ms.
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
        back = at + advise(at, rng)
        if attempt % ATTEMPTS == 0:
            back = at + rng.uniform(*PAUSE_SECONDS)
        arrivals.append((back, turn, attempt + 1))
        arrivals.sort()
    waves: dict[int, int] = {}
    for delay in delays:
        waves[int(delay / 0.05)] = waves.get(int(delay / 0.05), 0) + 1
    return lost / CALLERS, sum(delays) / max(1, len(delays)), max(waves.values(), default=0)


def advise_by_age(seed: int = 3):
    advice = ComebackAdvice(random.Random(seed))
    return lambda at, rng: advice.advise("keepers", at)


def advise_shortly(at, rng):
    return rng.uniform(0.1, 0.3)


def test_fewer_turns_are_lost_in_an_outage_of_some_seconds():
    for outage in (2.0, 3.0, 4.0):
        by_age, shortly = play(outage, advise_by_age()), play(outage, advise_shortly)
        assert by_age[0] < 0.75 * shortly[0], (outage, by_age, shortly)


def test_a_short_outage_delays_turns_no_longer_than_short_advice_does():
    by_age, shortly = play(0.3, advise_by_age()), play(0.3, advise_shortly)
    assert by_age[0] == shortly[0] == 0.0
    assert by_age[1] <= shortly[1] + 0.05


def test_turns_do_not_come_back_as_one():
    for outage in (0.5, 1.0, 2.0, 4.0):
        *_, wave = play(outage, advise_by_age())
        assert wave < CALLERS / 4


def test_advice_starts_anew_once_a_request_passed():
    advice = ComebackAdvice(random.Random(1))
    advice.advise("keepers", 0.0)
    assert advice.advise("keepers", 5.0) >= 0.5
    advice.note_passed("keepers")
    assert advice.advise("keepers", 6.0) <= 0.2
    assert advice.advise("other", 6.0) <= 0.2
