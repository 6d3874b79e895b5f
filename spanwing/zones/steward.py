"""What the keeper makes of all evidence: the next change of the fleet's zones.

Guarantees: pure, time passed in; one change at a time, each on the condition that what it was made from still
stands; the last open zone is never left, and one that returns is none; a zone returns only once nobody can
still use it by an older state, and a new deal of feeders is in force only once nobody can still feed by the
former. What an operator holds changes by orders alone. Bounds: one report a session, MOST_ZONES zones.
"""

from __future__ import annotations

import math
import secrets
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec

from spanwing.store.document import Document, Txn
from spanwing.store.keeper import Keeper, Session
from spanwing.zones.evidence import BAD_MS, GOOD_MS, MOST_ZONES, Report, Words, read_report, short
from spanwing.zones.state import DEAL, HISTORY, PAST, STEPS, ZONE, Deal, Fleet, Past, Zone, encode, rank, read
from spanwing.zones.verdict import DOWN, SAMPLE, Observer, Verdict, enough, judge

STAY_MS, STAY_MOST_MS = 1000.0, 120_000.0  # a zone is left so long at least, and at most by itself
FORGIVEN_MS = 600_000.0  # open for so long, a zone's earlier failures count no more
STEP_MS = 600.0  # a step of the return is held so long at least
DEAL_MS = 1000.0  # between two deals
LISTED_MS = 60_000.0  # a zone has as many workers as it had at most in so long
OVER_MOST_S = 3600.0
MOST_LOOKS = 4


def _token() -> str:
    return secrets.token_hex(8)


class Listed(NamedTuple):
    """A job worker as the keeper's own list has it."""

    id: int
    started: float  # wall clock; 0: long ago
    cold: bool


class Bounds(NamedTuple):
    """From settings and the operator's file."""

    wait_ms: float  # a window of cold budgets, and what may be on its way
    cold_ms: float = 0.0  # a worker is cold for so long after its start
    schedulers: int = 1  # that there are, up or down
    regions: Mapping[str, tuple[str, ...]] = {}
    probes: bool = True  # schedulers may ask a zone that was left
    sampled: bool = False  # one scheduler's own evidence: it never sees all workers of a zone


class Order(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's."""

    do: str
    name: str
    over_s: float = 0.0
    by: str = "operator"


class Steward:
    """The keeper's mind."""

    def __init__(
        self,
        bounds: Bounds,
        workers: Callable[[], Mapping[str, list[Listed]]],
        wall_ms: Callable[[], float],
        author: str,
        draw: Callable[[], str] = _token,
    ) -> None:
        """workers: of each zone, as our own list has them; draw: an id for a change."""
        self.bounds, self.workers, self.wall_ms = bounds, workers, wall_ms
        self.author, self.draw = author, draw
        self.reports: dict[str, tuple[float, str, Report]] = {}  # by session: when, zone, what
        self.entered: dict[str, tuple[int, float]] = {}  # by zone, or the deal: when first seen
        self.most: dict[str, dict[int, float]] = {}  # by zone: its workers, and when last listed
        self.begun: dict[str, float] = {}  # zones that return, and since when
        self.cut_since: dict[str, float] = {}  # zones that seem cut off
        self.leaving_over: dict[str, tuple[float, float]] = {}  # ordered over a time: from, for ms
        self.read_of: Document | None = None
        self.fleet = read(Document())

    # -- what comes in

    def look(self, now: float) -> None:
        """Keep in mind how many workers each zone has: the list may drop them before we come to keep."""
        self._listing(now)

    def heard(self, now: float, session: Session, payload: msgspec.Raw) -> None:
        """Raises ValueError where it is no evidence, or comes from nobody that the settings know."""
        if not 0 <= session.position < self.bounds.schedulers:
            raise ValueError(f"position {session.position} is none of {self.bounds.schedulers}")
        self.reports[session.id] = now, session.zone, read_report(bytes(payload))

    def _fleet(self, document: Document) -> Fleet:
        if document is not self.read_of:
            self.read_of, self.fleet = document, read(document)
        return self.fleet

    def _since(self, now: float, what: str, number: int) -> float:
        """For how long we have seen this number; an earlier keeper's time does not count."""
        known = self.entered.get(what)
        if known is None or known[0] != number:
            known = self.entered[what] = number, now
        return now - known[1]

    def _listing(self, now: float) -> dict[str, list[Listed]]:
        listed = dict(sorted(self.workers().items())[:MOST_ZONES])
        for zone, workers in listed.items():
            seen = self.most.setdefault(zone, {})
            seen.update((short(each.id), now) for each in workers)
        for zone, seen in list(self.most.items()):
            self.most[zone] = {each: at for each, at in seen.items() if now - at <= LISTED_MS}
            if not self.most[zone]:
                del self.most[zone]
        return listed

    def observers(self, now: float, keeper: Keeper) -> list[Observer]:
        """Those in contact, with what they saw lately."""
        contact = {each.id for each in keeper.in_contact(now)}
        self.reports = {id: each for id, each in self.reports.items() if id in keeper.sessions}
        return [
            Observer(zone, report.zones if now - at <= GOOD_MS else _only_bad(report.zones))
            for id, (at, zone, report) in self.reports.items()
            if id in contact and now - at <= BAD_MS
        ]

    def _judge(self, name: str, observers: list[Observer]) -> Verdict:
        return judge(name, observers, self.most[name], self.bounds.schedulers, self.bounds.sampled)

    def wonders(self, now: float, keeper: Keeper) -> tuple[str, ...]:
        """Open zones of which an observer that counts sees a worker down, and too few say anything."""
        found = []
        observers = self.observers(now, keeper)
        for name in self.most:
            zone = self.fleet.zone(name)
            if zone.state == "open" and not zone.held:
                verdict = self._judge(name, observers)
                if verdict.agree and verdict.finding == "unknown":
                    found.append(name)
        return tuple(found[:MOST_LOOKS])

    # -- what comes out

    def decide(self, now: float, document: Document, keeper: Keeper) -> Txn | None:
        fleet, listed = self._fleet(document), self._listing(now)
        for name, number in fleet.numbers.items():
            self._since(now, name, number)
            if fleet.zone(name).state == "returning":
                self.begun.setdefault(name, now)
            else:
                self.begun.pop(name, None)
        observers = self.observers(now, keeper)
        made = (
            self._leave(now, fleet, listed, observers)
            or self._left(now, fleet, keeper)
            or self._return(now, fleet, listed, observers, keeper)
        )
        if made:
            return self._txn(document, fleet, made)
        return self._deal(now, document, fleet, listed, keeper)

    def _txn(self, document: Document, fleet: Fleet, made: Mapping[str, Zone]) -> Txn:
        """The change of some zones, with its lines in the history."""
        number, wall = document.revision + 1, self.wall_ms()
        past = [
            *fleet.past,
            *(
                Past(number, wall, name, _called(each), each.step, each.reason, each.author, each.share)
                for name, each in made.items()
            ),
        ]
        writes = {ZONE + name: encode(each) for name, each in made.items()}
        at = document.at(*writes, PAST)
        return Txn(self.draw(), {**writes, PAST: encode(past[-HISTORY:])}, at)

    def _stay(self, zone: Zone) -> float:
        return min(STAY_MOST_MS, STAY_MS * 2 ** min(10, max(0, zone.failures - 1)))

    def _leave(
        self, now: float, fleet: Fleet, listed: Mapping[str, list[Listed]], observers: list[Observer]
    ) -> dict[str, Zone]:
        """Zones that have failed, as far as the others can bear it."""
        found: dict[str, tuple[Verdict, str]] = {}
        for name in self.most:  # also one of which the list has just dropped all workers
            zone = fleet.zone(name)
            if zone.state == "open" and not zone.held:
                verdict = self._judge(name, observers)
                if verdict.finding != "cut":
                    self.cut_since.pop(name, None)
                # What its own schedulers saw good may be older than its loss, until that has aged.
                cut = verdict.finding == "cut" and now - self.cut_since.setdefault(name, now) > 2 * GOOD_MS
                if verdict.finding == "failed" or cut:
                    found[name] = verdict, f"{verdict.finding}: {verdict}"
        if not found:
            return {}
        out = {name for name, zone in fleet.zones.items() if zone.state in ("leaving", "left")}
        for region, names in self.bounds.regions.items():
            lost = [name for name in names if name in found or name in out]
            if len(lost) >= max(2, math.ceil(len(names) / 2)):
                for name in names:
                    if name in listed and name not in found and name not in out and not fleet.zone(name).held:
                        verdict = self._judge(name, observers)
                        found[name] = verdict, f"region {region}: {', '.join(lost)} have failed; {verdict}"
        # One that returns may go back at any step, and takes a part of the work until then: it bears nothing.
        whole = {name for name in listed if listed[name] and fleet.zone(name).state == "open"}
        if whole <= set(found):  # one is kept: the one of which most is seen good
            keep = sorted(whole) or sorted(found)
            del found[max(keep, key=lambda name: found[name][0].good / max(1, found[name][0].of))]
        return {
            name: self._gone(now, name, fleet, verdict, reason, observers, set(found) | out)
            for name, (verdict, reason) in found.items()
        }

    def _gone(
        self,
        now: float,
        name: str,
        fleet: Fleet,
        verdict: Verdict,
        reason: str,
        observers: list[Observer],
        without: set[str],
    ) -> Zone:
        zone = fleet.zone(name)
        calm = name in fleet.numbers and self._since(now, name, fleet.numbers[name]) > FORGIVEN_MS
        words = [(zone_name, each) for observer in observers for zone_name, each in observer.words.items()]
        held = sum(each.held for zone_name, each in words if zone_name == name)
        idle = sum(each.idle for zone_name, each in words if zone_name not in without)
        share = 0.0
        if verdict.finding == "failed" and verdict.good and held > idle:
            share = min(verdict.good / verdict.of, 1.0 - idle / held)
            reason += f"; in part, {idle:.0f} slots are idle elsewhere for {held:.0f}"
        failures = 1 if calm else zone.failures + 1
        return Zone("leaving", 0, share, verdict.finding == "cut", False, failures, reason, self.author)

    def _left(self, now: float, fleet: Fleet, keeper: Keeper) -> dict[str, Zone]:
        """A zone is left once all have heard of it, or can act no more."""
        made = {}
        for name, zone in fleet.zones.items():
            if zone.state != "leaving":
                continue
            over = self.leaving_over.get(name)
            if over is not None:
                rest = 1.0 - (now - over[0]) / over[1]
                if rest > 0:
                    share = math.ceil(rest * STEPS) / STEPS
                    if share < zone.share:
                        made[name] = _with(zone, share=share)
                    continue
                del self.leaving_over[name]
                made[name] = _with(zone, share=0.0)
            elif self._heard_by_all(now, fleet.numbers[name], keeper):
                made[name] = _with(zone, state="left", share=0.0 if zone.held else zone.share)
        return made

    def _heard_by_all(self, now: float, number: int, keeper: Keeper) -> bool:
        # Sessions that only an earlier keeper knew of count as lapsed once ours have lasted for a lease.
        return keeper.lapsed("", now) and keeper.acknowledged(number, list(keeper.sessions), now)

    def _return(
        self,
        now: float,
        fleet: Fleet,
        listed: Mapping[str, list[Listed]],
        observers: list[Observer],
        keeper: Keeper,
    ) -> dict[str, Zone]:
        for name, zone in fleet.zones.items():
            if zone.held or zone.state not in ("left", "returning"):
                continue
            number, workers = fleet.numbers[name], listed.get(name, [])
            since = self._since(now, name, number)
            if zone.state == "left":
                if not workers or since < self._stay(zone) or not self._heard_by_all(now, number, keeper):
                    continue
                word = self._seen(name, observers, [each.id for each in workers])
                if not self.bounds.probes or word.well >= DOWN * self._count(word, len(workers)):
                    why = f"{word.well} of {len(workers)} answer again after {since / 1000:.1f} s"
                    return {name: self._begin(now, zone, workers, since, why, self.author)}
                continue
            admitted = rank([each.id for each in workers])[: math.ceil(zone.step / STEPS * len(workers))]
            word = self._seen(name, observers, admitted)
            most = max(1, math.ceil(DOWN * (word.well + word.bad)))
            if admitted and word.bad >= most and since >= STEP_MS / 2:
                back = zone.step - 1
                why = f"{word.bad} of {len(admitted)} admitted workers are down at step {zone.step}"
                if back:
                    return {name: _with(zone, step=back, reason=why, author=self.author)}
                return {
                    name: _with(
                        zone,
                        state="leaving",
                        step=0,
                        failures=zone.failures + 1,
                        reason=why,
                        author=self.author,
                    )
                }
            if since < STEP_MS or word.well < DOWN * self._count(word, len(admitted)):
                continue
            if zone.step < STEPS:
                return {
                    name: _with(
                        zone,
                        step=zone.step + 1,
                        author=self.author,
                        reason=f"{word.well} of {len(admitted)} admitted workers are well",
                    )
                }
            if now - self.begun[name] >= self.bounds.cold_ms and not any(each.cold for each in workers):
                return {name: _with(zone, state="open", step=0, reason="whole", author=self.author)}
        return {}

    def _begin(self, now: float, zone: Zone, workers: list[Listed], since: float, why: str, by: str) -> Zone:
        """The first step of a return. A worker that the list shows to have begun anew since the zone was left
        is as cold as that; of any other the list may be late, so it counts as just begun."""
        gone = self.wall_ms() - since - self.bounds.wait_ms
        starts = {str(short(each.id)): each.started for each in workers if each.started >= gone}
        return _with(
            zone,
            state="returning",
            step=1,
            inside=False,
            share=0.0,
            held=False,
            starts=starts,
            reason=why,
            author=by,
        )

    def _deal(
        self, now: float, document: Document, fleet: Fleet, listed: Mapping[str, list[Listed]], keeper: Keeper
    ) -> Txn | None:
        """Who feeds the cold workers of returning zones."""
        deal, at = fleet.deal, document.at(DEAL)
        returning = [name for name, zone in fleet.zones.items() if zone.state == "returning"]
        if not returning:
            return None if deal is None else Txn(self.draw(), {DEAL: None}, at)
        sessions = sorted(each.id for each in keeper.in_contact(now))
        if deal is None:
            return Txn(self.draw(), {DEAL: encode(Deal(1, sessions, [], True))}, at) if sessions else None
        since = self._since(now, DEAL, fleet.deal_number)
        if not deal.in_force:
            if keeper.acknowledged(fleet.deal_number, deal.before, now):
                return Txn(self.draw(), {DEAL: encode(_as(deal, in_force=True))}, at)
            return None
        if since < DEAL_MS or sessions == deal.sessions or not sessions:
            return None
        new = Deal(deal.number + 1, sessions, deal.sessions)
        return Txn(self.draw(), {DEAL: encode(new)}, at)

    def _seen(self, name: str, observers: list[Observer], workers: list[int]) -> Seen:
        """What is seen of these workers by all that see anything as good; one alone calls none of them bad
        where there are more than two schedulers."""
        known = {short(each) for each in workers}
        votes, told = dict.fromkeys(known, 0), set[int]()
        for each in observers:
            words = each.words.get(name)
            if words is None or not any(other.good for other in each.words.values()):
                continue
            for into, weight in ((words.good, 1), (words.bad, -1)):
                for worker in known.intersection(into):
                    votes[worker] += weight
                    told.add(worker)
        well = sum(votes[each] > 0 or (votes[each] == 0 and each in told) for each in known)
        least = enough(min(3, self.bounds.schedulers), len(observers))
        return Seen(well, sum(votes[each] <= -least for each in known), len(told))

    def _count(self, word: Seen, workers: int) -> int:
        """Of how many workers it is told how many are well."""
        return max(word.told, min(SAMPLE, workers)) if self.bounds.sampled else workers

    # -- orders

    def order(
        self, now: float, order: msgspec.Raw, document: Document, keeper: Keeper
    ) -> tuple[Txn | None, str]:
        wanted = msgspec.json.decode(bytes(order), type=Order)
        fleet, listed = self._fleet(document), self._listing(now)
        names = self.bounds.regions.get(wanted.name, (wanted.name,))
        unknown = [name for name in names if name not in self.most and name not in fleet.zones]
        if unknown:
            raise ValueError(
                f"{unknown[0]!r} is no zone or region that has job workers; "
                f"known: {', '.join(sorted({*self.most, *self.bounds.regions}))}"
            )
        if not 0 <= wanted.over_s <= OVER_MOST_S:
            raise ValueError(f"--over: 0 to {OVER_MOST_S:.0f} seconds are possible")
        made = getattr(self, f"_order_{wanted.do}", self._order_unknown)(now, wanted, names, fleet, listed)
        said = f"{wanted.name}: {wanted.do} ordered, number {document.revision + 1}"
        return self._txn(document, fleet, made), said

    def _order_unknown(self, now: float, wanted: Order, *_: object) -> dict[str, Zone]:
        raise ValueError(f"unknown order {wanted.do[:20]!r}")

    def _order_leave(
        self,
        now: float,
        wanted: Order,
        names: tuple[str, ...],
        fleet: Fleet,
        listed: Mapping[str, list[Listed]],
    ) -> dict[str, Zone]:
        rest = [
            name
            for name, workers in listed.items()
            if workers and name not in names and fleet.zone(name).state in ("open", "returning")
        ]
        if not rest:
            raise ValueError(f"{wanted.name}: no other zone is in use, and the last one is never left")
        if all(fleet.zone(name).state in ("leaving", "left") and fleet.zone(name).held for name in names):
            raise ValueError(f"{wanted.name} is left already, by an order")
        share = 1.0 if wanted.over_s else 0.0
        for name in names:
            self.leaving_over.pop(name, None)
            if wanted.over_s:
                self.leaving_over[name] = now, wanted.over_s * 1000.0
        return {
            name: Zone("leaving", 0, share, False, True, fleet.zone(name).failures, "ordered", wanted.by)
            for name in names
        }

    def _order_return(
        self,
        now: float,
        wanted: Order,
        names: tuple[str, ...],
        fleet: Fleet,
        listed: Mapping[str, list[Listed]],
    ) -> dict[str, Zone]:
        made = {}
        for name in names:
            zone = fleet.zone(name)
            if zone.state == "leaving":
                raise ValueError(f"{name} is still being left: not all schedulers have heard, or lapsed")
            if zone.state == "left":
                since = self._since(now, name, fleet.numbers[name])
                made[name] = self._begin(now, zone, listed.get(name, []), since, "ordered", wanted.by)
        if not made:
            raise ValueError(f"{wanted.name} is not left")
        return made

    def _order_hold(
        self,
        now: float,
        wanted: Order,
        names: tuple[str, ...],
        fleet: Fleet,
        listed: Mapping[str, list[Listed]],
    ) -> dict[str, Zone]:
        return self._held(wanted, names, fleet, True)

    def _order_release(
        self,
        now: float,
        wanted: Order,
        names: tuple[str, ...],
        fleet: Fleet,
        listed: Mapping[str, list[Listed]],
    ) -> dict[str, Zone]:
        return self._held(wanted, names, fleet, False)

    def _held(self, wanted: Order, names: tuple[str, ...], fleet: Fleet, held: bool) -> dict[str, Zone]:
        reason = "held by order" if held else "released by order"
        made = {
            name: _with(fleet.zone(name), held=held, reason=reason, author=wanted.by)
            for name in names
            if fleet.zone(name).held != held
        }
        if not made:
            raise ValueError(f"{wanted.name} is {'held already' if held else 'not held'}")
        return made


def _only_bad(zones: Mapping[str, Words]) -> dict[str, Words]:
    """A report whose good words have aged."""
    return {name: msgspec.structs.replace(words, good=[]) for name, words in zones.items()}


class Seen(NamedTuple):
    """Of some workers of one zone, whoever saw them."""

    well: int
    bad: int
    told: int  # workers of which anything was seen


def _with(zone: Zone, **changes: object) -> Zone:
    return msgspec.structs.replace(zone, **changes)


def _as(deal: Deal, **changes: object) -> Deal:
    return msgspec.structs.replace(deal, **changes)


def _called(zone: Zone) -> str:
    return f"{zone.state}, held" if zone.held else zone.state
