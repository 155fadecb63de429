"""Which keepers relay stored objects to the entries of a failure domain, and how often they do."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from egretford.policy.views import Member

# Active keepers of a region from which on they relay: an entry follows two, and needs another one
# to go on when one of them is lost.
MIN_RELAYS = 3


def compute_watch_seconds(change_limit: float) -> float:
    """Return the wait of a relay's watches of the store, in seconds.

    A relay that is silently cut off from the store detects it after this wait. Entries then have
    the other half of `change_limit`, the time within which they must know a change, to learn it
    from another one.
    """
    return change_limit / 2


def rank_relays(
    active: Iterable[Member], failure_domain: str, regions: Mapping[str, str]
) -> list[Member]:
    """Return the keepers that entries of a failure domain ask for objects, in order.

    The first is in the own domain, and the second is the first of another domain, so that only the
    first keeper of each domain has to watch the store while all are in good order.
    """
    region = regions.get(failure_domain)
    by_domain: dict[str, list[Member]] = {}
    for member in sorted(active, key=lambda member: member.name):
        if regions.get(member.failure_domain) == region:
            by_domain.setdefault(member.failure_domain, []).append(member)
    own = by_domain.pop(failure_domain, [])
    # Domains after the own one come first, so that the load of second relays is spread.
    others = sorted(by_domain, key=lambda domain: (domain < failure_domain, domain))
    first_of_others = [by_domain[domain][0] for domain in others]
    rest = [member for domain in others for member in by_domain[domain][1:]]
    ranked = [*own[:1], *first_of_others, *own[1:], *rest]
    return ranked if len(ranked) >= MIN_RELAYS else []
