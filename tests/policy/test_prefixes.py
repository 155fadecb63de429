"""The model of the prompt parts that a worker has cached."""

from egretford.entry.models import PromptPart
from egretford.policy.prefixes import PrefixCache

A, B, C = PromptPart("a", 10), PromptPart("b", 20), PromptPart("c", 30)


def test_a_part_counts_only_if_all_before_it_are_cached():
    cache = PrefixCache(100)
    cache.note_prompt((A, B))
    assert cache.count_cached((A, B, C)) == 30
    assert cache.count_cached((C, A)) == 0


def test_the_least_recently_used_part_goes_first():
    cache = PrefixCache(45)
    cache.note_prompt((A, B))
    cache.note_prompt((A,))
    cache.note_prompt((C,))
    assert cache.count_cached((A,)) == 10
    assert cache.count_cached((B,)) == 0
