"""Tells a failed zone from a scheduler that is cut off, from a few bad workers, and from a zone that is only
full.

Guarantees: pure. The rule (docs/design/zones.md has the reasons): the observers of one zone that count have
one vote on a worker; it is down if more zones call it bad than good; a zone has failed if two thirds of its
workers are down, a sixth at most is seen good, and enough observers agree, of two zones where schedulers of
two are in contact. An observer that is itself cut off does not count.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Collection, Mapping
from typing import Literal, NamedTuple

from spanwing.zones.evidence import Words

DOWN, GOOD, INSIDE = 2 / 3, 1 / 6, 1 / 3  # parts of a zone's workers
MOST_AGREE = 5
SAMPLE = 3  # workers of a zone that stand for all, where nobody sees more
Finding = Literal["failed", "cut", "well", "unknown"]


class Observer(NamedTuple):
    """A scheduler in contact, and what it saw."""

    zone: str
    words: Mapping[str, Words]


class Verdict(NamedTuple):
    """On one zone."""

    finding: Finding
    down: int  # workers
    good: int
    of: int
    agree: int  # observers that see it as down

    def __str__(self) -> str:
        return f"{self.down} of {self.of} workers down, {self.good} good, {self.agree} observers"


def counts(zone: str, observer: Observer) -> bool:
    """Whether its word on the zone counts: it sees others as good, also some that are not its own."""
    others = {
        name: words for name, words in observer.words.items() if name != zone and (words.good or words.bad)
    }
    if not any(words.good for words in others.values()):
        return False
    far = [words for name, words in others.items() if name != observer.zone]
    return not far or any(words.good for words in far)


def enough(schedulers: int, observers: int) -> int:
    """How many have to agree: one alone is never enough where there are more than two, and of many a third,
    up to MOST_AGREE; but no more than all but one of those that are in contact."""
    least = max(1, min(2, schedulers - 1))
    return max(least, min(MOST_AGREE, math.ceil(schedulers / 3), observers - 1))


def judge(
    zone: str,
    observers: Collection[Observer],
    workers: Collection[int],
    schedulers: int,
    sampled: bool = False,
) -> Verdict:
    """workers: all of the zone, by their short numbers; schedulers: that there are, up or down: where there
    are more than two, one alone is never enough. sampled: the observers cannot know all workers, and those
    that they know something of stand for all, if they are SAMPLE."""
    known, inside = set(workers), Counter[int]()
    votes: dict[str, Counter[int]] = defaultdict(Counter)  # by the observers' zone: good less bad words
    speakers, agree, from_zones = 0, 0, set[str]()
    for each in observers:
        words = each.words.get(zone)
        if words is None or not (words.good or words.bad):
            continue
        if each.zone == zone:
            inside.update(known.intersection(words.good))
        if not counts(zone, each):
            continue
        votes[each.zone].subtract(known.intersection(words.bad))
        votes[each.zone].update(known.intersection(words.good))
        speakers += 1
        if len(words.bad) > len(words.good):
            agree += 1
            from_zones.add(each.zone)
    # A cut link between two zones gives one zone's many bad words, which last for longer than the good
    # ones of all others: so zones are counted, not schedulers.
    bad, good = Counter[int](), Counter[int]()
    for vote in votes.values():
        bad.update(worker for worker, count in vote.items() if count < 0)
        good.update(worker for worker, count in vote.items() if count >= 0)
    if sampled:
        known = {each for each in known if each in bad or each in good or each in inside}
        if len(known) < min(SAMPLE, len(workers)):
            return Verdict("unknown", 0, 0, len(known), agree)
    of = len(known)
    down = sum(bad[worker] > good[worker] for worker in known)
    well = sum(good[worker] >= max(1, bad[worker]) for worker in known)
    # Those of one zone may be cut off together, and what they last saw of others may be older than that.
    zones = min(2, len({each.zone for each in observers}))
    agreed = (
        agree >= enough(schedulers, len(observers)) and 2 * agree >= speakers and len(from_zones) >= zones
    )
    most = of > 0 and down >= max(min(2, of), math.ceil(DOWN * of - 1e-9))
    if most and agreed:
        if len(inside) >= INSIDE * of:
            cut = len(from_zones - {zone}) >= 2
            return Verdict("cut" if cut else "unknown", down, len(inside), of, agree)
        if well <= GOOD * of:
            return Verdict("failed", down, well, of, agree)
    if of and well >= math.ceil(DOWN * of - 1e-9):
        return Verdict("well", down, well, of, agree)
    return Verdict("unknown", down, well, of, agree)
