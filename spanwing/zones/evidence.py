"""What one scheduler saw of each job worker lately, and the few bytes of it that it tells.

Guarantees: pure, time passed in. A word is good (it answered at all), bad (refused, reset, an error, or
silent on a job for SILENT_MS), or none after GOOD_MS or BAD_MS. Bounds: MOST_WORKERS workers, MOST_OPEN
unanswered jobs a worker, TOLD words of each kind and zone, MOST_ZONES zones.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec

from spanwing.interface import Worker

STALLED_MS = 1000.0  # between two of our own reports
SILENT_MS = 500.0  # a worker that lives says by then that it has a job, or that it will not take it
GOOD_MS, BAD_MS = 800.0, 5000.0  # how long a word is told: good ones are quick to come again, and bad ones
# have to outlast the change of a keeper that is lost together with the zone
MOST_WORKERS, MOST_OPEN, TOLD, MOST_ZONES = 4096, 64, 24, 32
UNREACHED_MS = 200.0  # less than any time to connect: others have answered within it
SUSPECT_MS, ASK_INSIDE, ASK_OUTSIDE = 500.0, 3, 2  # on bad news, so many are asked so often at most
LONGEST = 8192  # bytes of one report


class Words(msgspec.Struct, array_like=True):
    """On one zone: workers by the last 16 bits of their number, and slots."""

    good: list[int]
    bad: list[int]
    held: float = 0.0  # slots of our jobs there
    idle: float = 0.0  # slots believed idle at the workers of our own part of the fleet


class Report(msgspec.Struct, array_like=True):
    """What goes with a renewal."""

    zones: dict[str, Words]


DECODER = msgspec.json.Decoder(Report)


def short(worker: int) -> int:
    return worker & 0xFFFF


def read_report(payload: bytes) -> Report:
    """Raises ValueError where it is none, or beyond the bounds."""
    if len(payload) > LONGEST:
        raise ValueError(f"{len(payload)} bytes of evidence, {LONGEST} at most")
    report = DECODER.decode(payload)
    for words in report.zones.values():
        if max(len(words.good), len(words.bad)) > TOLD or not all(
            0 <= each <= 0xFFFF for each in (*words.good, *words.bad)
        ):
            raise ValueError("words beyond their bounds")
        if not (0 <= words.held < math.inf and 0 <= words.idle < math.inf):
            raise ValueError("slots beyond their bounds")
    if len(report.zones) > MOST_ZONES:
        raise ValueError(f"{len(report.zones)} zones, {MOST_ZONES} at most")
    return report


def suspects(zone: str, workers: Iterable[Worker], random: Random, own: str = "") -> list[int]:
    """Whom to ask on bad news of a zone: some of its workers, and some of others, so that our word counts; of
    our own zone only where there is no third."""
    inside, outside, near = [], [], []
    for each in workers:
        if each.state == "healthy":
            (inside if each.zone == zone else near if each.zone == own else outside).append(each.id)
    outside = outside or near
    return random.sample(inside, min(ASK_INSIDE, len(inside))) + random.sample(
        outside, min(ASK_OUTSIDE, len(outside))
    )


@dataclass(slots=True)
class Sight:
    """Of one job worker."""

    zone: str
    good: float = -math.inf
    bad: float = -math.inf
    spoilt: float = -math.inf  # a job there was refused, or came to nothing
    unanswered: dict[tuple[str, int], float] = field(default_factory=dict)  # jobs, and when each was sent

    def word(self, now: float, elsewhere: float = math.inf) -> bool | None:
        """Good or bad; None: nothing was seen lately. elsewhere: when another zone last gave a good word.
        While all are silent it is the network between, or we ourselves, that stalls."""
        bad = self.bad
        for at in self.unanswered.values():
            if now - at >= SILENT_MS and self.good < at and elsewhere >= at + SILENT_MS / 2:
                bad = now
                break
        if self.good > bad:
            return True if self.good >= now - GOOD_MS else None
        return False if bad >= now - BAD_MS else None


class Witness:
    """Takes in what becomes of jobs and probes."""

    def __init__(self, zone: str = "") -> None:
        """zone: our own."""
        self.zone = zone
        self.sights: dict[int, Sight] = {}
        self.reported = -math.inf
        self.far_good = -math.inf  # the last good word of another zone than our own
        self.good_at: dict[str, float] = {}  # by zone: its last good word

    def _sight(self, worker: int, zone: str) -> Sight:
        sight = self.sights.get(worker)
        if sight is None:
            if len(self.sights) >= MOST_WORKERS:
                del self.sights[next(iter(self.sights))]  # the one known for longest
            sight = self.sights[worker] = Sight(zone)
        sight.zone = zone
        return sight

    def _good(self, now: float, sight: Sight) -> None:
        if sight.zone != self.zone:
            if now - self.far_good > SILENT_MS:
                self._if_cut(self.words(now))  # the first good word for a while
            self.far_good = now
        sight.good = self.good_at[sight.zone] = now

    def _elsewhere(self, zone: str) -> float:
        """When a zone other than this last gave a good word."""
        return max((at for name, at in self.good_at.items() if name != zone), default=-math.inf)

    def _bad(self, now: float, sight: Sight, since: float) -> None:
        """No answer to what we asked then or later: it is bad only if others answered meanwhile."""
        if self._elsewhere(sight.zone) >= since:
            sight.bad = now

    def _if_cut(self, words: dict[str, Words]) -> None:
        """Who sees nothing good in two other zones or more is cut off from them itself: what it saw until now
        is no evidence, least of all once it is back."""
        far = [name for name in words if name != self.zone]
        if len(far) > 1 and not any(words[name].good for name in far):
            for sight in self.sights.values():
                if sight.zone in far:
                    sight.bad = sight.spoilt = -math.inf
                    sight.unanswered.clear()
            for name in far:
                del words[name]

    def sent(self, now: float, worker: int, zone: str, job: tuple[str, int]) -> None:
        sight = self._sight(worker, zone)
        if len(sight.unanswered) < MOST_OPEN:
            sight.unanswered[job] = now

    def answered(self, now: float, worker: int, job: tuple[str, int]) -> None:
        """It has taken the job; later than it should is as bad as not at all."""
        sight = self.sights.get(worker)
        if sight is not None:
            sent = sight.unanswered.pop(job, now)
            if now - sent < SILENT_MS:
                self._good(now, sight)
            else:
                self._bad(now, sight, sent + SILENT_MS / 2)

    def ended(self, now: float, worker: int, job: tuple[str, int], result: str) -> bool:
        """How the job ended there; whether that is bad news of a worker that was well."""
        sight = self.sights.get(worker)
        if sight is None:
            return False
        unanswered = sight.unanswered.pop(job, None)
        if result in ("ok", "full", "rejected"):
            if unanswered is not None and now - unanswered < SILENT_MS:
                self._good(now, sight)
        elif result in ("reset", "error"):
            was = sight.word(now)
            sight.bad = sight.spoilt = now
            return was is not False
        elif result == "unreachable" or (result == "timeout" and unanswered is not None):
            was = sight.word(now)
            self._bad(now, sight, now - UNREACHED_MS)
            sight.spoilt = now
            return was is not False
        elif unanswered is not None and now - unanswered >= SILENT_MS and sight.good < unanswered:
            self._bad(now, sight, unanswered + SILENT_MS / 2)  # given up by us, after its time to answer
        return False

    def probed(self, now: float, worker: int, zone: str, result: str, suspected: bool = False) -> bool:
        """Whether it is bad news of a worker that was well, or unknown. suspected: it was asked on bad news
        of its zone. What fails with jobs may well answer probes, so such an answer is no good word."""
        sight = self._sight(worker, zone)
        if result != "ok":
            was = sight.word(now)
            self._bad(now, sight, now - SILENT_MS)
            return was is not False
        if sight.spoilt < now - BAD_MS and not suspected:
            self._good(now, sight)
        return False

    def word(self, now: float, worker: int) -> bool | None:
        """On one worker: good or bad; None: nothing was seen lately."""
        sight = self.sights.get(worker)
        return None if sight is None else sight.word(now, self._elsewhere(sight.zone))

    def words(self, now: float) -> dict[str, Words]:
        """What would be told of each zone now."""
        found: dict[str, Words] = {}
        elsewhere = {zone: self._elsewhere(zone) for zone in {each.zone for each in self.sights.values()}}
        for worker, sight in self.sights.items():
            word = sight.word(now, elsewhere[sight.zone])
            if word is not None:
                words = found.setdefault(sight.zone, Words([], []))
                into = words.good if word else words.bad
                if len(into) < TOLD:
                    into.append(short(worker))
        return found

    def report(self, now: float, slots: Iterable[tuple[str, float, float]] = ()) -> Report:
        """slots: zone, held and idle, of each worker or of many. It is called several times a second; where
        it was not, we were stopped or stalled ourselves, and silence until now says nothing of a worker."""
        if now - self.reported > STALLED_MS:
            for sight in self.sights.values():
                sight.unanswered.clear()
        self.reported = now
        found = self.words(now)
        if len(found) > 1 and not any(words.good for words in found.values()):
            # Who sees all zones as bad is cut off itself: once it is back, what it saw until now is no
            # evidence.
            for sight in self.sights.values():
                sight.bad = -math.inf
                sight.unanswered.clear()
            found = {}
        self._if_cut(found)
        for zone, held, idle in slots:
            words = found.setdefault(zone, Words([], []))
            words.held, words.idle = words.held + held, words.idle + idle
        for words in found.values():
            words.held, words.idle = round(words.held, 1), round(words.idle, 1)
        return Report(dict(sorted(found.items())[:MOST_ZONES]))
